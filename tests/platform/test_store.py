"""Tests of reads from the platform's store over slow and silent connections."""

import asyncio
from base64 import b64encode

from expression import Result
from msgspec.json import encode

from cardamomdyke.adapters.http import make_http_client
from cardamomdyke.platform.records import StoreFault
from cardamomdyke.platform.store import NewestPage, StoreClient, StoreContact
from tests.adapters.scripted import make_reply, run_script

RECORDS = 500
# The narrowest link of the users' deployments: 5 Mbit/s.
LINK_BYTES_PER_SECOND = 625_000.0
WAIT_SECONDS = 12.0


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
