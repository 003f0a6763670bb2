"""Tests of reads from the platform's store over slow and silent connections."""

import asyncio
from base64 import b64encode
from collections.abc import Awaitable, Callable

import pytest
from expression import Result
from msgspec.json import encode

from cardamomdyke.adapters.http import make_http_client
from cardamomdyke.platform import store as store_module
from cardamomdyke.platform.records import StoreFault
from cardamomdyke.platform.store import NewestPage, StoreClient, StoreContact
from tests.adapters.scripted import make_reply, run_script

RECORDS = 500
# The narrowest link of the users' deployments: 5 Mbit/s.
LINK_BYTES_PER_SECOND = 625_000.0
WAIT_SECONDS = 12.0
# Longer than any test, so that only the limit on silence ends a read.
NO_TIMEOUT_SECONDS = 600.0
TURN_SECONDS = 0.5
# A read that stalls ends 1.5 to 2.5 s after the last byte, which is 3 to 6 turns.
MAX_SILENT_TURNS = 10
Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


def make_page() -> bytes:
    """Return a page of about 1 MB, the largest that the store sends."""
    value = b64encode(bytes(1500)).decode()
    items = [
        {"key": f"j{number:016x}", "value": value, "offset": number}
        for number in range(RECORDS)
    ]
    return encode({"items": items, "has_more": False, "end_offset": RECORDS})


def read_page(reply: bytes, bytes_per_second: float) -> Result[NewestPage, StoreFault]:
    """Read the newest records from a store that sends a reply at this rate."""

    async def run() -> Result[NewestPage, StoreFault]:
        async with run_script([reply], bytes_per_second=bytes_per_second) as server:
            contact = StoreContact(
                asyncio.get_running_loop().time, lambda path, seconds: None
            )
            client = StoreClient(make_http_client(), server.address, contact)
            reading = client.read_newest("keyed.work")
            return await asyncio.wait_for(reading, WAIT_SECONDS)

    return asyncio.run(run())


def test_large_page_comes_over_a_narrow_link() -> None:
    """Guards against a daemon that never finishes reading the jobs.

    On vjf-orders-grown trouble-1, seed 11, all daemons lost power. Each read of
    500 KB was abandoned after 0.8 s with 440 KB received, and none ever ended.
    """
    page = read_page(make_reply(make_page()), LINK_BYTES_PER_SECOND)
    assert page.is_ok(), page
    assert len(page.ok.records) == RECORDS


def test_page_that_stops_midway_is_abandoned() -> None:
    """Guards against a reader that waits on a connection that has gone silent."""
    half = make_page()[: 200 * 1024]
    page = read_page(make_reply(half, length=2 * len(half)), 0.0)
    assert page.is_error()


async def read_served_page(serve: Serve) -> Result[NewestPage, StoreFault]:
    """Read the newest records from a store that serves one connection so."""

    async def serve_and_close(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            await serve(reader, writer)
        finally:
            writer.close()

    server = await asyncio.start_server(serve_and_close, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    contact = StoreContact(asyncio.get_running_loop().time, lambda path, seconds: None)
    http = make_http_client()
    client = StoreClient(http, f"{host}:{port}", contact)
    try:
        return await client.read_newest("keyed.work")
    finally:
        http.close()
        server.close()
        await server.wait_closed()


def test_page_whose_data_arrives_is_read_past_the_first_second(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a read that is abandoned although its data arrives.

    libcurl's low-speed limit of 1 s ended a transfer when the limit was checked in the
    millisecond before its second record of the rate. Data that arrives without a break
    around that time makes it check then.
    """
    monkeypatch.setattr(store_module, "PAGE_TIMEOUT_SECONDS", NO_TIMEOUT_SECONDS)
    reply = make_reply(make_page())
    began_at: list[float] = []

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        clock = asyncio.get_running_loop().time
        began_at.append(clock())
        # The first recorded rate is 0 only if nothing has arrived by then.
        await asyncio.sleep(0.05)
        sent = 0
        while clock() - began_at[-1] < 1.1 and not writer.is_closing():
            writer.write(reply[sent : sent + 1])
            sent += 1
            near_limit = clock() - began_at[-1] > 0.9
            await asyncio.sleep(0.0 if near_limit else 0.05)
        writer.write(reply[sent:])
        await reader.read()

    for _ in range(3):
        page = asyncio.run(read_served_page(serve))
        assert page.is_ok(), page
    assert len(began_at) == 3


def test_page_that_stops_midway_is_abandoned_before_its_timeout(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a stalled read that only the timeout of the call ends.

    The silence is counted in turns of the event loop that the client shares, so a busy
    machine delays both.
    """
    monkeypatch.setattr(store_module, "PAGE_TIMEOUT_SECONDS", NO_TIMEOUT_SECONDS)
    reply = make_reply(make_page())
    turns: list[int] = []

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(reply[: len(reply) // 2])
        closed = asyncio.ensure_future(reader.read())
        while not closed.done() and len(turns) < MAX_SILENT_TURNS:
            turns.append(1)
            await asyncio.sleep(TURN_SECONDS)

    page = asyncio.run(read_served_page(serve))
    assert page.is_error()
    assert len(turns) < MAX_SILENT_TURNS
