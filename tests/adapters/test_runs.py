"""Checks of the replies to short requests: request id, length and refusals."""

import asyncio

import pytest
from expression import Result

from cardamomdyke.adapters.backend import BackendFault, BackendFaultKind
from cardamomdyke.adapters.http import make_http_client
from cardamomdyke.adapters.runs import RunClient, RunReply
from cardamomdyke.model.requests import ShortRequest
from tests.adapters.scripted import CLOSE, make_reply, run_script

REFUSAL = b'{"refused": "busy", "detail": "no slot", "ticket": "b:1"}'
UNCERTAIN = BackendFaultKind.UNCERTAIN


def run_against(reply: bytes) -> Result[RunReply, BackendFault]:
    """Send request ``r1`` to a server that returns this reply."""

    async def run() -> Result[RunReply, BackendFault]:
        async with run_script([reply]) as server:
            request = ShortRequest("r1", "koffie-invoer", "order-desk", b"work")
            client = RunClient(make_http_client())
            return await client.run_request(server.address, request, "")

    return asyncio.run(run())


def test_complete_answer_is_accepted() -> None:
    """Guards against checks that reject a complete answer."""
    assert run_against(make_reply(b"answer", Request_Id="r1")).ok.body == b"answer"


@pytest.mark.parametrize(
    "reply",
    [
        pytest.param(make_reply(b"answer", Request_Id="r2"), id="crossed"),
        pytest.param(make_reply(b"answer"), id="without-id"),
        pytest.param(
            make_reply(b"answ", length=6, Request_Id="r1") + CLOSE, id="truncated"
        ),
        pytest.param(
            b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n\r\nansw" + CLOSE, id="no-length"
        ),
        pytest.param(
            b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n" + CLOSE, id="headers-cut"
        ),
        pytest.param(CLOSE, id="nothing"),
    ],
)
def test_answer_that_is_incomplete_or_not_own_is_uncertain(reply: bytes) -> None:
    """Guards against a caller getting an incomplete answer or another caller's."""
    assert run_against(reply).error.kind is UNCERTAIN


def test_refusal_of_this_request_is_proof() -> None:
    """Guards against "not known" when the server states that nothing ran."""
    fault = run_against(make_reply(REFUSAL, status="409 Conflict", Request_Id="r1"))
    assert fault.error.kind is BackendFaultKind.BUSY
    assert fault.error.ticket == "b:1"


@pytest.mark.parametrize(
    "reply",
    [
        pytest.param(make_reply(b"bad gateway", status="502 Bad Gateway"), id="proxy"),
        pytest.param(
            make_reply(REFUSAL, status="502 Bad Gateway", Request_Id="r1"),
            id="proxy-copies-refusal",
        ),
        pytest.param(
            make_reply(REFUSAL, status="409 Conflict", Request_Id="r2"), id="crossed"
        ),
        pytest.param(
            make_reply(b"{}", status="409 Conflict", Request_Id="r1"), id="malformed"
        ),
        pytest.param(make_reply(b"", status="503 Unavailable"), id="down"),
    ],
)
def test_other_errors_prove_nothing(reply: bytes) -> None:
    """Guards against "not run" after a proxy's error or another request's refusal."""
    assert run_against(reply).error.kind is UNCERTAIN
