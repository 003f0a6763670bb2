"""Decodes the store's entries of backend servers, and calls the servers."""

import re
from dataclasses import dataclass
from ipaddress import IPv4Address
from typing import Any

from expression import Error, Ok, Result
from msgspec import Struct, field
from msgspec.json import Decoder, encode
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPResponse

from cardamomdyke.adapters.http import HttpCall, TransportFaultKind, send_call
from cardamomdyke.model.errors import DECODE_ERRORS
from cardamomdyke.model.orders import Shape, TaskId
from cardamomdyke.model.servers import (
    CallFault,
    EndKind,
    EndReport,
    RefusalKind,
    RunLists,
    RunReport,
    ServerEntry,
)
from cardamomdyke.platform.numbers import Integer, Number

INSTANCE_HEADER = "Expected-Instance"
# A start or stop is answered within milliseconds. A lost answer must not use much
# of the time that a gang's other members wait.
ORDER_TIMEOUT_SECONDS = 0.7
# Timeout of a poll, beyond its wait.
POLL_MARGIN_SECONDS = 0.7
MILLISECONDS = 1000.0
DRAINING_BY_STATE = {"ready": False, "draining": True}
# Text that a header can carry, without control characters and without white space at
# its ends.
NAME_PATTERN = re.compile(r"[^\x00-\x20\x7f]([^\x00-\x1f\x7f]*[^\x00-\x20\x7f])?")
PORT_PATTERN = re.compile(r"\d{1,5}", re.ASCII)
MAX_PORT = 65_535
TASK_PATTERN = re.compile(r"([0-9a-f]{16})\.(\d+)\.(\d+)\.(\d+)", re.ASCII)
REFUSALS = {
    "fence": RefusalKind.FENCE,
    "old": RefusalKind.OLD,
    "late": RefusalKind.LATE,
    "room": RefusalKind.ROOM,
    "ticket": RefusalKind.TICKET,
}


class _Capacity(Struct):
    cpu_millicores: Integer
    task_memory_mb: Integer
    accelerators: Integer = 0


class _Entry(Struct):
    service: str
    address: str
    zone: str
    state: str
    capacity: _Capacity
    labels: list[str] = field(default_factory=list)
    born: Integer = 0
    remaining_ms: Number | None = None
    cold_remaining_ms: Number = 0.0
    # Only checked: an entry with one of another type is not a server's.
    version: str = ""
    slots: Integer = 0
    sequence: Integer = 0


class _Running(Struct, array_like=True):
    task: str
    run: Integer
    saved: str
    percent: float
    load: float = 0.0


class _Ended(Struct, array_like=True):
    number: Integer
    task: str
    run: Integer
    how: str
    saved: str = ""


class _Lists(Struct):
    clock_ms: Number
    running: list[_Running]
    finished: list[_Ended]
    born: Integer = 0


class _Answer(Struct):
    clock_ms: Number | None = None
    reason: str = ""


_ENTRY_DECODER = Decoder(_Entry)
_LISTS_DECODER = Decoder(_Lists)
_ANSWER_DECODER = Decoder(_Answer)


def format_task(task: TaskId) -> str:
    """Return the platform's name of a task: job, occurrence, step and index."""
    return f"{task.job_id}.{task.occurrence}.{task.step}.{task.index}"


def parse_task(text: str) -> TaskId:
    """Parse the platform's name of a task.

    Raises
    ------
    ValueError
        If the text names no task.
    """
    match = TASK_PATTERN.fullmatch(text)
    if match is None:
        raise ValueError(f"{text!r} is not the name of a task")
    job_id, occurrence, step, index = match.groups()
    return TaskId(job_id, int(occurrence), int(step), int(index))


def decode_entry(name: str, data: bytes) -> Result[ServerEntry, str]:
    """Decode the record of a backend server.

    Parameters
    ----------
    name : str
        Key of the record: the server's id.
    data : bytes
        Value of the record.

    Returns
    -------
    Result of ServerEntry or str
        The entry, or why the server cannot be used.
    """
    try:
        wire = _ENTRY_DECODER.decode(data)
    except DECODE_ERRORS as error:
        return Error(str(error))
    if wire.state not in DRAINING_BY_STATE:
        return Error(f"state {wire.state!r} is unknown")
    if not NAME_PATTERN.fullmatch(name):
        return Error(f"id {name!r} cannot be sent in a header")
    if not check_address(wire.address):
        return Error(f"address {wire.address!r} is not an IPv4 address and a port")
    capacity = wire.capacity
    return Ok(
        ServerEntry(
            name=name,
            pool=wire.service,
            address=wire.address,
            failure_domain=wire.zone,
            capacity=Shape(
                capacity.cpu_millicores, capacity.task_memory_mb, capacity.accelerators
            ),
            labels=tuple(wire.labels),
            instance=wire.born,
            draining=DRAINING_BY_STATE[wire.state],
            remaining_seconds=(
                None if wire.remaining_ms is None else wire.remaining_ms / MILLISECONDS
            ),
            warm_up_seconds=wire.cold_remaining_ms / MILLISECONDS,
        )
    )


def check_address(address: str) -> bool:
    """Return whether an address is an IPv4 address and a port."""
    host, _, port = address.rpartition(":")
    if not PORT_PATTERN.fullmatch(port) or not 0 < int(port) <= MAX_PORT:
        return False
    try:
        IPv4Address(host)
    except ValueError:
        return False
    return True


@dataclass(frozen=True, slots=True)
class StartOrder:
    """Start of one task on one backend server.

    Attributes
    ----------
    task : TaskId
        The task.
    run : int
        Number of the run.
    specification : str
        The job's specification.
    lease_until_seconds : float
        End of the lease, by the server's clock.
    checkpoint : str
        Where to resume; empty to start anew.
    """

    task: TaskId
    run: int
    specification: str
    lease_until_seconds: float
    checkpoint: str = ""


@dataclass(frozen=True)
class ServerClient:
    """Client of the backend servers.

    Attributes
    ----------
    http : CurlAsyncHTTPClient
        HTTP client of the event loop.
    """

    http: CurlAsyncHTTPClient

    async def start_run(
        self, entry: ServerEntry, fence: int, order: StartOrder
    ) -> Result[float, CallFault]:
        """Start a run; a repeated start changes nothing.

        Parameters
        ----------
        entry : ServerEntry
            The server.
        fence : int
            Fencing token.
        order : StartOrder
            The run to start.

        Returns
        -------
        Result of float or CallFault
            The server's clock, in seconds; 0 if the answer has none.
        """
        body: dict[str, Any] = {
            "task": format_task(order.task),
            "run": order.run,
            "specification": order.specification,
            "deadline_ms": int(order.lease_until_seconds * MILLISECONDS),
            "fencing_token": fence,
        }
        if order.checkpoint:
            body["checkpoint"] = order.checkpoint
        # A resent start could be refused though the first one is carried out.
        return await self._send_command(entry, "/run-start", body, single_send=True)

    async def stop_run(
        self, entry: ServerEntry, fence: int, task: TaskId, run: int
    ) -> Result[float, CallFault]:
        """Stop a run; the server refuses a start of it that arrives later.

        Parameters
        ----------
        entry : ServerEntry
            The server.
        fence : int
            Fencing token.
        task : TaskId
            The task.
        run : int
            Number of the run.

        Returns
        -------
        Result of float or CallFault
            The server's clock, in seconds; 0 if the answer has none.
        """
        body = {"task": format_task(task), "run": run, "fencing_token": fence}
        return await self._send_command(entry, "/run-stop", body)

    async def poll(
        self,
        entry: ServerEntry,
        fence: int,
        acknowledged: int,
        lease_until_seconds: float | None,
        wait_seconds: float,
        timeout_seconds: float = POLL_MARGIN_SECONDS,
    ) -> Result[RunLists, CallFault]:
        """Poll a server for its runs, and extend its lease.

        Parameters
        ----------
        entry : ServerEntry
            The server.
        fence : int
            Fencing token.
        acknowledged : int
            Number of the last end that may be dropped; 0 for none.
        lease_until_seconds : float or None
            New end of the lease, by the server's clock; None to leave it.
        wait_seconds : float
            Longest wait for a run's end; 2 s at most.
        timeout_seconds : float
            Timeout of the call, beyond the wait.

        Returns
        -------
        Result of RunLists or CallFault
            Running and ended runs.
        """
        body: dict[str, Any] = {"fencing_token": fence, "last_seen": acknowledged}
        if lease_until_seconds is not None:
            body["deadline_ms"] = int(lease_until_seconds * MILLISECONDS)
        if wait_seconds > 0:
            body["wait_ms"] = round(wait_seconds * MILLISECONDS)
        timeout = wait_seconds + timeout_seconds
        result = await self._call(entry, "/hold", body, timeout)
        if result.is_error():
            return Error(result.error)
        try:
            return Ok(_convert_lists(_LISTS_DECODER.decode(result.ok.body)))
        except (*DECODE_ERRORS, ValueError) as error:
            detail = f"{entry.name} answered with malformed lists: {error}"
            return Error(CallFault(False, None, detail))

    async def _send_command(
        self,
        entry: ServerEntry,
        path: str,
        body: dict[str, Any],
        single_send: bool = False,
    ) -> Result[float, CallFault]:
        result = await self._call(entry, path, body, ORDER_TIMEOUT_SECONDS, single_send)
        if result.is_error():
            return Error(result.error)
        try:
            clock = _ANSWER_DECODER.decode(result.ok.body).clock_ms
        except DECODE_ERRORS as error:
            return Error(
                CallFault(
                    False, None, f"{entry.name} answered with a malformed body: {error}"
                )
            )
        return Ok((clock or 0.0) / MILLISECONDS)

    async def _call(
        self,
        entry: ServerEntry,
        path: str,
        body: dict[str, Any],
        timeout: float,
        single_send: bool = False,
    ) -> Result[HTTPResponse, CallFault]:
        call = HttpCall(
            "POST",
            f"http://{entry.address}{path}",
            headers={
                "Content-Type": "application/json",
                # The client library encodes headers in Latin-1; ids are sent in UTF-8.
                INSTANCE_HEADER: entry.name.encode().decode("latin-1"),
            },
            body=encode(body),
            timeout_seconds=timeout,
            single_send=single_send,
        )
        result = await send_call(self.http, call)
        if result.is_error():
            fault = result.error
            not_sent = fault.kind is TransportFaultKind.NOT_SENT
            return Error(CallFault(not_sent, None, f"{entry.name}: {fault.detail}"))
        if result.ok.code == 200:
            return Ok(result.ok)
        return Error(_convert_refusal(entry, result.ok))


def _convert_lists(wire: _Lists) -> RunLists:
    running = tuple(
        RunReport(parse_task(row.task), row.run, row.saved, row.percent, row.load)
        for row in wire.running
    )
    ended = tuple(
        EndReport(
            row.number, parse_task(row.task), row.run, EndKind(row.how), row.saved
        )
        for row in wire.finished
    )
    return RunLists(wire.clock_ms / MILLISECONDS, wire.born, running, ended)


def _convert_refusal(entry: ServerEntry, response: HTTPResponse) -> CallFault:
    code = response.code
    try:
        answer = _ANSWER_DECODER.decode(response.body or b"{}")
    except DECODE_ERRORS:
        answer = _Answer()
    clock = None if answer.clock_ms is None else answer.clock_ms / MILLISECONDS
    detail = f"{entry.name} answered {code} {answer.reason}".rstrip()
    if code == 409 and answer.reason in REFUSALS:
        return CallFault(True, REFUSALS[answer.reason], detail, clock)
    if code in (429, 503):
        return CallFault(True, RefusalKind.UNWELL, detail, clock)
    if code == 421:
        return CallFault(True, RefusalKind.OTHER_LIFE, detail, clock)
    if 400 <= code < 500:
        return CallFault(True, RefusalKind.REJECTED, detail, clock)
    return CallFault(False, None, detail, clock)
