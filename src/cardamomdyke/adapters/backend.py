"""Client of the backend servers' gang, claim and usage interface."""

from dataclasses import dataclass
from enum import StrEnum
from typing import TypeVar

from expression import Error, Ok, Result
from msgspec.json import decode, encode
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPResponse

from cardamomdyke.adapters.http import (
    PROGRESS_TIMEOUT_SECONDS,
    HttpCall,
    TransportFaultKind,
    send_call,
)
from cardamomdyke.model.errors import DECODE_ERRORS

CONTROL_TIMEOUT_SECONDS = 1.0
REFUSAL_STATUS = 409

Reply = TypeVar("Reply")


class BackendFaultKind(StrEnum):
    """Why a call to a backend server failed.

    Every kind except ``UNCERTAIN`` and ``FAILED`` proves that the call had no effect.
    """

    NOT_SENT = "not_sent"
    UNCERTAIN = "uncertain"
    STALE_TICKET = "stale_ticket"
    BUSY = "busy"
    DRAINING = "draining"
    IN_PROGRESS = "in_progress"
    CONFLICT = "conflict"
    LEASE_EXPIRED = "lease_expired"
    FENCED = "fenced"
    PENDING = "pending"
    FORGOTTEN = "forgotten"
    UNKNOWN = "unknown"
    FAILED = "failed"
    BAD_REQUEST = "bad_request"


@dataclass(frozen=True, slots=True)
class BackendFault:
    """A call to a backend server that failed or was refused.

    Attributes
    ----------
    kind : BackendFaultKind
        Reason; tells whether the call may have had an effect.
    detail : str
        Text for the log line.
    ticket : str
        New start ticket from the refusal; empty without one.
    silent : bool
        True when the request was sent and the call then timed out.
    """

    kind: BackendFaultKind
    detail: str
    ticket: str = ""
    silent: bool = False


@dataclass(frozen=True, slots=True)
class Claim:
    """First claim of an idempotency key or job at its claim home.

    Attributes
    ----------
    key : str
        Client account and idempotency key, or job id.
    digest : str
        Digest of the claiming request.
    server : str
        Backend server chosen to run it; empty for a job.
    holder : str
        VM and incarnation that may start it.
    epoch : int
        Increases with each takeover.
    """

    key: str
    digest: str
    server: str
    holder: str
    epoch: int = 1


@dataclass(frozen=True, slots=True)
class ClaimReply:
    """Claim in force after a claim call.

    Attributes
    ----------
    claim : Claim
        The first claim, or the one taken over.
    created : bool
        True when this call created or changed it.
    ticket : str
        New start ticket of the claim home.
    """

    claim: Claim
    created: bool
    ticket: str


@dataclass(frozen=True, slots=True)
class Reservation:
    """Reservation of accelerators for one member of a gang.

    Attributes
    ----------
    job_id : str
        Job of the member.
    member : int
        Index within the gang, from 0.
    gang_size : int
        Number of members.
    epoch : int
        Fencing token, first part.
    holder : str
        Fencing token, second part: VM and incarnation.
    client_account : str
        Client account that is billed.
    accelerators : tuple of int
        Indices that are reserved.
    lease_seconds : float
        Time until it expires unless the member starts.
    ticket : str
        Start ticket of this backend server.
    borrowed : bool
        True when the cells are outside the client account's guarantee.
    specification : str
        The job's specification as JSON, for adoption by another VM.
    """

    job_id: str
    member: int
    gang_size: int
    epoch: int
    holder: str
    client_account: str
    accelerators: tuple[int, ...]
    lease_seconds: float
    ticket: str
    borrowed: bool = False
    specification: str = ""


class TaskState(StrEnum):
    """State of a member on its backend server."""

    RESERVED = "reserved"
    RUNNING = "running"
    FINISHED = "finished"
    FAILED = "failed"
    STOPPED = "stopped"


@dataclass(frozen=True, slots=True)
class LeaseCall:
    """Request to start, renew, checkpoint or release one member.

    Attributes
    ----------
    job_id : str
        Job of the member.
    member : int
        Index within the gang, from 0.
    epoch : int
        Fencing token, first part.
    holder : str
        Fencing token, second part.
    lease_seconds : float
        Length of the new lease. A renewal's lease counts from its sending or before,
        however late the server carries it out.
    ticket : str
        Start ticket; required for a start and a renewal.
    ticket_age_seconds : float
        Time from the ticket's receipt to the start of a renewed lease. With the time
        in the ticket it gives that start on the server's clock. Negative when the
        ticket came later.
    """

    job_id: str
    member: int
    epoch: int
    holder: str
    lease_seconds: float = 0.0
    ticket: str = ""
    ticket_age_seconds: float = 0.0


@dataclass(frozen=True, slots=True)
class TaskReport:
    """A backend server's report of one member.

    Attributes
    ----------
    job_id : str
        Job of the member.
    member : int
        Index within the gang, from 0.
    gang_size : int
        Number of members.
    epoch : int
        Highest fencing token seen, first part.
    holder : str
        Fencing token, second part.
    client_account : str
        Client account that is billed.
    accelerators : tuple of int
        Indices of its accelerators.
    state : TaskState
        Current state.
    confirmed : bool
        True once its start lease has been extended.
    borrowed : bool
        True when outside the client account's guarantee.
    ran_seconds : float
        Time since the start.
    checkpoint_age_seconds : float
        Run time that a stop would lose.
    answer : str
        The member's answer once finished, or its error once failed.
    specification : str
        The job's specification as JSON.
    """

    job_id: str
    member: int
    gang_size: int
    epoch: int
    holder: str
    client_account: str
    accelerators: tuple[int, ...]
    state: TaskState
    confirmed: bool
    borrowed: bool
    ran_seconds: float
    checkpoint_age_seconds: float
    answer: str = ""
    specification: str = ""


@dataclass(frozen=True, slots=True)
class TaskReply:
    """Reports of the members that a call named.

    Attributes
    ----------
    tasks : tuple of TaskReport
        One entry per member known.
    ticket : str
        New start ticket.
    """

    tasks: tuple[TaskReport, ...]
    ticket: str


@dataclass(frozen=True, slots=True)
class Inventory:
    """A backend server and all its members.

    Attributes
    ----------
    server : str
        Its name.
    boot_id : str
        Changes at each restart.
    accelerators : int
        Number of accelerators.
    healthy : tuple of int
        Indices that work.
    busy_slots : int
        Short requests running.
    draining : bool
        True when it accepts no new work.
    tasks : tuple of TaskReport
        Members reserved, running, or ended and not yet released.
    ticket : str
        New start ticket.
    """

    server: str
    boot_id: str
    accelerators: int
    healthy: tuple[int, ...]
    busy_slots: int
    draining: bool
    tasks: tuple[TaskReport, ...]
    ticket: str


@dataclass(frozen=True, slots=True)
class UsageReport:
    """Usage in one interval, reported with a delay.

    Attributes
    ----------
    server : str
        Reporting backend server.
    boot_id : str
        Boot of the sequence number.
    sequence : int
        Number within the boot, from 1 without gaps.
    client_account : str
        Client account that is billed.
    pool : str
        Pool whose price applies; empty when the server does not know it.
    accelerator_seconds : float
        Accelerators held times seconds.
    requests : int
        Short requests finished.
    ended_at : float
        Unix time of the interval's end, in seconds.
    """

    server: str
    boot_id: str
    sequence: int
    client_account: str
    pool: str
    accelerator_seconds: float
    requests: int
    ended_at: float


@dataclass(frozen=True, slots=True)
class UsagePage:
    """Usage reports after a sequence number.

    Attributes
    ----------
    boot_id : str
        Current boot of the backend server.
    reports : tuple of UsageReport
        In sequence order.
    """

    boot_id: str
    reports: tuple[UsageReport, ...]


@dataclass(frozen=True, slots=True)
class _WireRefusal:
    refused: str
    detail: str = ""
    ticket: str = ""


@dataclass(frozen=True)
class BackendClient:
    """Client of all backend servers.

    Attributes
    ----------
    http : CurlAsyncHTTPClient
        The loop's HTTP client.
    """

    http: CurlAsyncHTTPClient

    async def claim_key(
        self, address: str, claim: Claim
    ) -> Result[ClaimReply, BackendFault]:
        """Create a claim unless the key has one, and return the claim in force."""
        return await self._post(address, "/v1/claims", claim, ClaimReply)

    async def take_claim(
        self, address: str, claim: Claim
    ) -> Result[ClaimReply, BackendFault]:
        """Take over a claim; refused unless the epoch is higher."""
        return await self._post(address, "/v1/claims/take", claim, ClaimReply)

    async def reserve_member(
        self, address: str, reservation: Reservation
    ) -> Result[TaskReply, BackendFault]:
        """Reserve accelerators for one member under a short lease."""
        return await self._post(address, "/v1/reservations", reservation, TaskReply)

    async def start_member(
        self, address: str, lease: LeaseCall
    ) -> Result[TaskReply, BackendFault]:
        """Start a reserved member under a start lease."""
        return await self._post(address, "/v1/tasks/start", lease, TaskReply)

    async def renew_leases(
        self, address: str, leases: tuple[LeaseCall, ...]
    ) -> Result[TaskReply, BackendFault]:
        """Extend the leases of members on one backend server."""
        return await self._post(address, "/v1/tasks/renew", leases, TaskReply)

    async def checkpoint_tasks(
        self, address: str, leases: tuple[LeaseCall, ...]
    ) -> Result[TaskReply, BackendFault]:
        """Request checkpoints of members, which keep running."""
        return await self._post(address, "/v1/tasks/checkpoint", leases, TaskReply)

    async def release_tasks(
        self, address: str, leases: tuple[LeaseCall, ...]
    ) -> Result[TaskReply, BackendFault]:
        """Stop members or cancel their reservations, and delete their answers."""
        return await self._post(address, "/v1/tasks/release", leases, TaskReply)

    async def read_inventory(self, address: str) -> Result[Inventory, BackendFault]:
        """Read a backend server's state and members."""
        return await self._get(address, "/v1/inventory", Inventory)

    async def read_usage(
        self, address: str, after_sequence: int
    ) -> Result[UsagePage, BackendFault]:
        """Read the usage reports after a sequence number."""
        return await self._get(address, f"/v1/usage?after={after_sequence}", UsagePage)

    async def _post(
        self, address: str, path: str, body: object, reply_type: type[Reply]
    ) -> Result[Reply, BackendFault]:
        call = HttpCall(
            "POST",
            f"http://{address}{path}",
            headers={"Content-Type": "application/json"},
            body=encode(body),
            timeout_seconds=CONTROL_TIMEOUT_SECONDS,
        )
        return await self._exchange(call, reply_type)

    async def _get(
        self, address: str, path: str, reply_type: type[Reply]
    ) -> Result[Reply, BackendFault]:
        call = HttpCall(
            "GET",
            f"http://{address}{path}",
            timeout_seconds=CONTROL_TIMEOUT_SECONDS,
            progress_timeout_seconds=PROGRESS_TIMEOUT_SECONDS,
        )
        return await self._exchange(call, reply_type)

    async def _exchange(
        self, call: HttpCall, reply_type: type[Reply]
    ) -> Result[Reply, BackendFault]:
        result = await send_call(self.http, call)
        if result.is_error():
            return Error(
                convert_transport_fault(result.error.kind, result.error.detail)
            )
        response = result.ok
        if response.code != 200:
            return Error(parse_refusal(response))
        try:
            return Ok(decode(response.body, type=reply_type))
        except DECODE_ERRORS as error:
            detail = f"malformed reply from {call.url}: {error}"
            return Error(BackendFault(BackendFaultKind.UNCERTAIN, detail))


def convert_transport_fault(kind: TransportFaultKind, detail: str) -> BackendFault:
    """Convert the fault of a call without a complete reply."""
    if kind is TransportFaultKind.NOT_SENT:
        return BackendFault(BackendFaultKind.NOT_SENT, detail)
    return BackendFault(BackendFaultKind.UNCERTAIN, detail)


def parse_refusal(response: HTTPResponse) -> BackendFault:
    """Convert a reply other than 200 to a fault.

    Only a well-formed refusal proves that nothing ran. After any other status, such
    as a proxy's 502, the request may have run.
    """
    if response.code != REFUSAL_STATUS:
        return BackendFault(
            BackendFaultKind.UNCERTAIN, f"unexpected status {response.code}"
        )
    try:
        refusal = decode(response.body or b"", type=_WireRefusal)
        kind = BackendFaultKind(refusal.refused)
    except (*DECODE_ERRORS, ValueError):
        return BackendFault(
            BackendFaultKind.UNCERTAIN, f"unexpected status {response.code}"
        )
    return BackendFault(kind, refusal.detail, refusal.ticket)
