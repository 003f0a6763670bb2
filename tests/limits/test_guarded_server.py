"""A server whose connections are accounted for, over loopback sockets."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, cast

import pytest
from tornado.web import Application

from cardamomdyke.protocol import connections
from cardamomdyke.protocol.bodies import BodyHandler
from cardamomdyke.protocol.budget import CONNECTION_BYTES, KERNEL_FACTOR, Phase
from cardamomdyke.protocol.connections import CallerStream, start_caller_server
from cardamomdyke.protocol.guard import InputGuard, make_guard
from cardamomdyke.protocol.limits import (
    InputLimits,
    PortClass,
    PortLimits,
    RequestLimits,
)
from cardamomdyke.protocol.progress import Progress

TIMEOUT_SECONDS = 10.0
BODY_LIMIT = 20_000
LIMITS = InputLimits(dict.fromkeys(PortClass, PortLimits(400_000, 16)), 1000)
REQUESTS = RequestLimits(header_bytes=2000, idle_seconds=60.0)
HEAD = b"POST / HTTP/1.1\r\nHost: x\r\n"
REQUEST = HEAD + b"Content-Length: 5\r\n\r\nhello"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
SLOW = HEAD + b"Slow: 1\r\nContent-Length: 5\r\n\r\nhello"

Open = Callable[[], Awaitable[tuple[asyncio.StreamReader, asyncio.StreamWriter]]]
Talk = Callable[[Open, InputGuard], Awaitable[Any]]


class EchoHandler(BodyHandler):
    progress = Progress()

    def prepare(self) -> None:
        self.start_body()

    def find_body_limit(self) -> int:
        return BODY_LIMIT

    def refuse_large_body(self) -> None:
        self.set_status(413)
        self.finish(b"")

    async def post(self) -> None:
        self.start_counting()
        body = self.read_body()
        if "Slow" in self.request.headers:
            await asyncio.sleep(0.5)
        self.finish(body)


def talk_to_server(talk: Talk, requests: RequestLimits = REQUESTS) -> None:
    """Run clients against a server, then check that nothing is held or waits."""

    async def run() -> None:
        guard = make_guard(LIMITS, lambda: requests)
        application = Application([("/", EchoHandler)], log_function=lambda _: None)
        server = start_caller_server(application, "127.0.0.1", 0, guard=guard)
        port = next(iter(server._sockets.values())).getsockname()[1]
        writers: list[asyncio.StreamWriter] = []

        async def open_connection() -> tuple[
            asyncio.StreamReader, asyncio.StreamWriter
        ]:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writers.append(writer)
            return reader, writer

        await asyncio.wait_for(talk(open_connection, guard), TIMEOUT_SECONDS)
        for writer in writers:
            writer.close()
        deadline = asyncio.get_running_loop().time() + TIMEOUT_SECONDS
        tasks = asyncio.all_tasks
        while guard.budget.holdings or tasks() != {asyncio.current_task()}:
            assert asyncio.get_running_loop().time() < deadline, "still held"
            await asyncio.sleep(0.01)
        assert (guard.budget.groups, guard.connections) == ({}, {})
        assert (guard.discarding, EchoHandler.progress.requests) == (0, 0)
        server.stop()

    asyncio.run(run())


async def read_reply(reader: asyncio.StreamReader) -> bytes:
    """Read one reply with a Content-Length; return its body."""
    head = await reader.readuntil(b"\r\n\r\n")
    assert b" 200 " in head, head
    length = head.lower().partition(b"content-length: ")[2].split(b"\r\n")[0]
    return await reader.readexactly(int(length))


def test_requests_on_one_connection_release_what_they_held() -> None:
    """Guards against an account that grows with each request of a connection."""

    async def talk(open_connection: Open, guard: InputGuard) -> None:
        reader, writer = await open_connection()
        enlarged = KERNEL_FACTOR * REQUESTS.body_buffer_bytes
        for body, buffer_bytes in (
            (b"hello", 0),
            (b"x" * 20_000, enlarged),
            (b"hello", enlarged),
        ):
            length = str(len(body)).encode()
            writer.write(HEAD + b"Content-Length: " + length + b"\r\n\r\n" + body)
            assert await read_reply(reader) == body
            await asyncio.sleep(0.05)
            (holding,) = guard.budget.holdings
            assert holding.buffer_bytes == buffer_bytes
            assert holding.held_bytes == CONNECTION_BYTES + buffer_bytes

    talk_to_server(talk)


@pytest.mark.parametrize("size", [80, 1000])
def test_ordinary_chunks_are_read(size: int) -> None:
    """Guards against a limit of chunks that ordinary clients reach."""

    async def talk(open_connection: Open, guard: InputGuard) -> None:
        reader, writer = await open_connection()
        writer.write(CHUNKED)
        for _ in range(20_000 // size):
            writer.write(b"%x\r\n" % size + b"x" * size + b"\r\n")
        writer.write(b"0\r\n\r\n")
        assert len(await read_reply(reader)) == 20_000

    talk_to_server(talk)


@pytest.mark.parametrize(
    ("sent", "status"),
    [
        (HEAD + b"X: " + b"x" * 3000, b" 431 "),
        (HEAD + b"a: b\r\n" * 129 + b"\r\n", b" 431 "),
        (HEAD.replace(b"/ ", b"/?" + b"a&" * 129 + b" ") + b"\r\n", b" 431 "),
        (HEAD + b"Content-Length: 20001\r\n\r\n", b" 413 "),
        (CHUNKED + (b"3e8\r\n" + b"x" * 1000 + b"\r\n") * 21, b" 413 "),
        (CHUNKED + b"1\r\nx\r\n" * 5000, b""),
        (REQUEST[:-2], b""),
        (HEAD, b""),
        (b"", b""),
        (b"\r\n\r\n", b" 400 "),
    ],
)
def test_unfinished_requests_are_released(sent: bytes, status: bytes) -> None:
    """Guards against an account that keeps connections which are closed."""

    async def talk(open_connection: Open, guard: InputGuard) -> None:
        for _ in range(40):
            reader, writer = await open_connection()
            writer.write(sent)
            if status:
                assert status in await reader.readline()
            else:
                await asyncio.sleep(0.002)
        assert len(guard.budget.holdings) <= LIMITS.ports[PortClass.CALLERS].connections

    talk_to_server(talk)


def test_body_after_an_interim_reply_is_read() -> None:
    """Guards against a slow body that counts as an answer which is not read."""

    async def talk(open_connection: Open, guard: InputGuard) -> None:
        reader, writer = await open_connection()
        writer.write(HEAD + b"Expect: 100-continue\r\nContent-Length: 5\r\n\r\n")
        assert b" 100 " in await reader.readuntil(b"\r\n\r\n")
        (holding,) = guard.budget.holdings
        assert holding.phase is Phase.BODY
        writer.write(b"hello")
        assert await read_reply(reader) == b"hello"

    talk_to_server(talk)


def test_dropped_body_is_released_at_once() -> None:
    """Guards against bodies of many dropped connections in one pass of the loop."""

    async def talk(open_connection: Open, guard: InputGuard) -> None:
        _, writer = await open_connection()
        writer.write(HEAD + b"Content-Length: 20000\r\n\r\n" + b"x" * 15_000)
        await asyncio.sleep(0.1)
        (holding,) = guard.budget.holdings
        release = cast(CallerStream, guard.connections[holding]).release_body
        handler: EchoHandler = cast(Any, release).__self__
        assert sum(len(block) for block in handler.body_blocks) == 15_000
        guard.reject(holding, "late_body")
        assert handler.body_blocks == []

    talk_to_server(talk)


def test_request_that_is_served_is_not_dropped() -> None:
    """Guards against a request that runs and is not answered under a crowd."""

    async def talk(open_connection: Open, guard: InputGuard) -> None:
        reader, writer = await open_connection()
        writer.write(SLOW)
        await asyncio.sleep(0.1)
        for _ in range(60):
            _, crowd_writer = await open_connection()
            crowd_writer.write(HEAD + b"Content-Length: 20000\r\n\r\n" + b"x" * 15_000)
        assert await read_reply(reader) == b"hello"
        assert guard.counts["callers.no_room"] > 0

    talk_to_server(talk)


def test_answer_that_is_not_read_is_dropped(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against answers that are kept for clients that never read them."""
    monkeypatch.setattr(EchoHandler, "read_body", lambda self: b"x" * 30_000_000)
    requests = RequestLimits(bytes_per_second=100_000_000.0, grace_seconds=0.1)
    big = InputLimits(
        dict.fromkeys(PortClass, PortLimits(100_000_000, 16)), LIMITS.relay_bytes
    )
    monkeypatch.setitem(globals(), "LIMITS", big)

    async def talk(open_connection: Open, guard: InputGuard) -> None:
        _, writer = await open_connection()
        writer.transport.pause_reading()  # type: ignore[attr-defined]
        writer.write(REQUEST)
        while not guard.counts["callers.late_answer"]:
            await asyncio.sleep(0.05)

    talk_to_server(talk, requests)


def test_idle_connection_is_closed() -> None:
    """Guards against silent connections that stay open."""

    async def talk(open_connection: Open, guard: InputGuard) -> None:
        reader, _ = await open_connection()
        assert await reader.read() == b""
        assert guard.counts["callers.late_idle"] == 1

    talk_to_server(talk, RequestLimits(idle_seconds=0.2))


def test_discarding_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against refused clients that keep all connections of a port."""
    monkeypatch.setattr(connections, "MAX_DROPPING_SECONDS", 3.0)

    async def talk(open_connection: Open, guard: InputGuard) -> None:
        for _ in range(12):
            _, writer = await open_connection()
            writer.write(HEAD + b"Content-Length: 99999999\r\n\r\nx")
            await asyncio.sleep(0.01)
        assert 0 < guard.discarding <= 4

    talk_to_server(talk)
