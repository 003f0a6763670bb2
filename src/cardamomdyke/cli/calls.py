"""Calls from the operators' client to the VMs."""

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from expression import Error, Ok, Result
from msgspec.json import decode
from tornado.httpclient import HTTPResponse

from cardamomdyke.adapters.http import (
    HttpCall,
    TransportFaultKind,
    make_http_client,
    send_call,
)
from cardamomdyke.model.errors import DECODE_ERRORS, Problem, ProblemKind, make_problem

CALL_TIMEOUT_SECONDS = 30.0
# Commands that query all VMs wait this long for one that is down.
ALL_VMS_TIMEOUT_SECONDS = 5.0


@dataclass(frozen=True, slots=True)
class Call:
    """One HTTP request to a VM.

    Attributes
    ----------
    address : str
        ``host:port`` of the VM's interface for callers.
    path : str
        URL path and query.
    method : str
        HTTP method.
    body : bytes or None
        Request body.
    timeout_seconds : float
        Time limit of the call.
    """

    address: str
    path: str
    method: str = "GET"
    body: bytes | None = None
    timeout_seconds: float = CALL_TIMEOUT_SECONDS


@dataclass(frozen=True, slots=True)
class Answer:
    """A VM's reply with a 2xx status.

    Attributes
    ----------
    value : Any
        The decoded JSON.
    events_left_out : int
        Older events omitted from a timeline.
    """

    value: Any
    events_left_out: int = 0


@dataclass(frozen=True, slots=True)
class _WireProblem:
    kind: str
    message: str
    remedy: str


def call_vms(calls: Iterable[Call]) -> list[Result[Answer, Problem]]:
    """Send calls concurrently and return their results in order."""
    return asyncio.run(_call_all(list(calls)))


def call_vm(call: Call) -> Result[Answer, Problem]:
    """Send one call."""
    return call_vms([call])[0]


async def _call_all(calls: list[Call]) -> list[Result[Answer, Problem]]:
    client = make_http_client()
    try:
        return await asyncio.gather(*(_call_one(client, call) for call in calls))
    finally:
        client.close()


async def _call_one(client: Any, call: Call) -> Result[Answer, Problem]:
    http_call = HttpCall(
        call.method,
        f"http://{call.address}{call.path}",
        headers={"Content-Type": "application/json"} if call.body else {},
        body=call.body,
        timeout_seconds=call.timeout_seconds,
        # A resend by libcurl could submit a job twice.
        fresh_connection=True,
    )
    try:
        result = await send_call(client, http_call)
    except (ValueError, UnicodeError) as error:
        message = f"{call.address!r} is not a VM address: {error}"
        return Error(make_problem(ProblemKind.VM_UNREACHABLE, message))
    if result.is_ok():
        return parse_answer(call, result.ok)
    message = f"VM at {call.address} did not answer: {result.error.detail}"
    if call.method != "GET" and result.error.kind is not TransportFaultKind.NOT_SENT:
        return Error(
            Problem(
                ProblemKind.START_UNCONFIRMED,
                message,
                "the command may have taken effect; check before repeating it",
            )
        )
    return Error(make_problem(ProblemKind.VM_UNREACHABLE, message))


def parse_answer(call: Call, response: HTTPResponse) -> Result[Answer, Problem]:
    """Decode the JSON of a reply, or its problem."""
    try:
        if 200 <= response.code < 300:
            left_out = response.headers.get("Events-Left-Out", "0")
            return Ok(Answer(decode(response.body), int(left_out)))
        wire = decode(response.body, type=_WireProblem)
        return Error(Problem(ProblemKind(wire.kind), wire.message, wire.remedy))
    except (*DECODE_ERRORS, ValueError):
        message = f"{call.address} sent status {response.code} without a valid VM reply"
        return Error(make_problem(ProblemKind.VM_UNREACHABLE, message))
