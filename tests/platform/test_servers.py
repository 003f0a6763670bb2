"""Calls of backend servers through the HTTP client."""

import asyncio

import pytest

from cardamomdyke.adapters.http import make_http_client
from cardamomdyke.model.orders import Shape, TaskId
from cardamomdyke.model.servers import ServerEntry
from cardamomdyke.platform.servers import ServerClient, StartOrder
from tests.adapters.scripted import CLOSE, make_reply, run_script

TASK = TaskId("00000000000000a1", 0, 0, 0)


@pytest.mark.parametrize("status", ["200 OK", "503 Service Unavailable"])
def test_start_is_not_resent_on_another_connection(status: str) -> None:
    """Guards against a certain answer to a start that libcurl has sent twice.

    The server may carry out the first request though it refuses the second one.
    """

    async def run() -> None:
        answer = make_reply(b'{"clock_ms":1000}')
        script = [answer, CLOSE, make_reply(b'{"clock_ms":1000}', status=status)]
        async with run_script(script) as server:
            entry = ServerEntry("s0", "pool", server.address, "a", Shape())
            client = ServerClient(make_http_client())
            assert (await client.stop_run(entry, 1, TASK, 1)).is_ok()
            result = await client.start_run(entry, 1, StartOrder(TASK, 2, "[]", 2.0))
        starts = [data for _, data in server.requests if b"/run-start" in data]
        assert len(starts) == 1
        assert result.is_error() and not result.error.certain

    asyncio.run(run())
