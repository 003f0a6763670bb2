"""Tests of HTTP calls while the wall clock is set back."""

import asyncio
import time

import pytest
from tornado.platform.asyncio import BaseAsyncIOLoop

from cardamomdyke.adapters.http import HttpCall, make_http_client, send_call
from tests.adapters.scripted import SILENCE, make_reply, run_script

STEP_SECONDS = 3600.0
TURN_SECONDS = 0.05
# The calls take 0.5 s at most; on a busy machine, the turns take longer too.
MAX_TURNS = 100


def set_back_wall_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let each reading of the loop's wall clock be an hour before the last one."""
    readings: list[float] = []

    def read_clock(loop: BaseAsyncIOLoop) -> float:
        readings.append(time.time())
        return readings[-1] - STEP_SECONDS * len(readings)

    monkeypatch.setattr(BaseAsyncIOLoop, "time", read_clock)


async def send_one_call(entry: bytes) -> str:
    """Return how a call to a server with this script ends; empty if it does not."""
    async with run_script([entry]) as server:
        client = make_http_client()
        call = HttpCall("GET", f"http://{server.address}/", timeout_seconds=0.5)
        sending = asyncio.create_task(send_call(client, call))
        for _ in range(MAX_TURNS):
            await asyncio.wait([sending], timeout=TURN_SECONDS)
            if sending.done():
                client.close()
                result = sending.result()
                return "answered" if result.is_ok() else result.error.kind.value
        sending.cancel()
        client.close()
        return ""


@pytest.mark.parametrize(
    ("entry", "end"),
    [(make_reply(b"sacks"), "answered"), (SILENCE, "uncertain")],
)
def test_call_ends_although_the_wall_clock_is_set_back(
    monkeypatch: pytest.MonkeyPatch, entry: bytes, end: str
) -> None:
    """Guards against a call that outlasts its timeout by the step of the clock.

    Tornado set the timers of libcurl by two readings of the wall clock. After a step
    between them, a call was neither sent nor ended by its timeout.
    """
    set_back_wall_clock(monkeypatch)
    assert asyncio.run(send_one_call(entry)) == end
