"""Client of the backend servers' short requests and idempotency keys."""

from dataclasses import dataclass, replace

from expression import Error, Ok, Result
from msgspec.json import decode, encode
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPResponse

from cardamomdyke.adapters.backend import (
    CONTROL_TIMEOUT_SECONDS,
    BackendFault,
    BackendFaultKind,
    convert_transport_fault,
    parse_refusal,
)
from cardamomdyke.adapters.http import PROGRESS_TIMEOUT_SECONDS, HttpCall, send_call
from cardamomdyke.model.errors import DECODE_ERRORS
from cardamomdyke.model.requests import KeyClaim, ShortRequest

REQUEST_ID_HEADER = "Request-Id"
TICKET_HEADER = "Start-Ticket"
DEFAULT_MEDIA_TYPE = "application/octet-stream"


@dataclass(frozen=True, slots=True)
class RunReply:
    """Complete answer to a short request.

    Attributes
    ----------
    body : bytes
        The answer.
    content_type : str
        Its media type.
    ticket : str
        New start ticket.
    """

    body: bytes
    content_type: str
    ticket: str


@dataclass(frozen=True, slots=True)
class KeyCall:
    """Request to claim an idempotency key at a claim home.

    Attributes
    ----------
    claim : KeyClaim
        Created unless the key already has a claim.
    first : bool
        True when no earlier claim of the key can exist; a claim home that restarted
        recently then need not refuse.
    ticket : str
        Start ticket of the claim home; required for a first claim.
    """

    claim: KeyClaim
    first: bool
    ticket: str


@dataclass(frozen=True, slots=True)
class KeyReply:
    """Claim in force after a call.

    Attributes
    ----------
    claim : KeyClaim
        The first claim of the key.
    created : bool
        True when the call created it.
    remaining_seconds : float
        Time until the claim home deletes it.
    ticket : str
        New start ticket of the claim home.
    """

    claim: KeyClaim
    created: bool
    remaining_seconds: float
    ticket: str


@dataclass(frozen=True, slots=True)
class _WireTicket:
    ticket: str


@dataclass(frozen=True)
class RunClient:
    """Client of all backend servers, for short requests.

    Attributes
    ----------
    http : CurlAsyncHTTPClient
        The loop's HTTP client.
    """

    http: CurlAsyncHTTPClient

    async def run_request(
        self, address: str, request: ShortRequest, ticket: str
    ) -> Result[RunReply, BackendFault]:
        """Run a short request.

        Parameters
        ----------
        address : str
            ``host:port`` of the backend server.
        request : ShortRequest
            The request.
        ticket : str
            Newest start ticket of this backend server; empty when unknown.

        Returns
        -------
        Result of RunReply or BackendFault
            The complete answer to this request; the fault tells whether it may have
            run.
        """
        call = HttpCall(
            "POST",
            f"http://{address}/v1/run",
            headers={
                REQUEST_ID_HEADER: request.request_id,
                TICKET_HEADER: ticket,
                "Client-Account": request.client_account,
                "Content-Type": request.content_type,
            },
            body=request.body,
            timeout_seconds=request.deadline_seconds,
            fresh_connection=not request.repeatable,
            progress_timeout_seconds=PROGRESS_TIMEOUT_SECONDS,
        )
        return await self._exchange(call, request.request_id)

    async def look_up(
        self, address: str, request_id: str, ticket: str
    ) -> Result[RunReply, BackendFault]:
        """Query the outcome of a request, on a new connection.

        Parameters
        ----------
        address : str
            ``host:port`` of the backend server.
        request_id : str
            Id that the request was sent with.
        ticket : str
            Start ticket that the request was sent with; empty when not known.

        Returns
        -------
        Result of RunReply or BackendFault
            The answer, or ``IN_PROGRESS``; ``PENDING`` while the request may still
            arrive; ``UNKNOWN`` when it did not run and never will;
            ``FORGOTTEN`` after a restart; ``FAILED`` when it ran and failed.
        """
        call = HttpCall(
            "GET",
            f"http://{address}/v1/answers/{request_id}",
            headers={TICKET_HEADER: ticket},
            timeout_seconds=CONTROL_TIMEOUT_SECONDS,
            fresh_connection=True,
        )
        return await self._exchange(call, request_id)

    async def claim_key(
        self, address: str, call: KeyCall
    ) -> Result[KeyReply, BackendFault]:
        """Create a claim unless the key has one, and return the claim in force."""
        result = await send_call(
            self.http,
            HttpCall(
                "POST",
                f"http://{address}/v1/keys",
                headers={"Content-Type": "application/json"},
                body=encode(call),
                timeout_seconds=CONTROL_TIMEOUT_SECONDS,
            ),
        )
        if result.is_error():
            fault = result.error
            return Error(convert_transport_fault(fault.kind, fault.detail))
        if result.ok.code != 200:
            return Error(parse_refusal(result.ok))
        try:
            reply = decode(result.ok.body, type=KeyReply)
        except DECODE_ERRORS as error:
            detail = f"malformed reply from {address}: {error}"
            return Error(BackendFault(BackendFaultKind.UNCERTAIN, detail))
        if reply.claim.key != call.claim.key:
            detail = f"{address} replied with the claim of another key"
            return Error(BackendFault(BackendFaultKind.UNCERTAIN, detail))
        return Ok(reply)

    async def read_ticket(self, address: str) -> str:
        """Return a new start ticket; empty when the request fails."""
        url = f"http://{address}/v1/ticket"
        call = HttpCall("GET", url, timeout_seconds=CONTROL_TIMEOUT_SECONDS)
        result = await send_call(self.http, call)
        if result.is_error() or result.ok.code != 200:
            return ""
        try:
            return decode(result.ok.body, type=_WireTicket).ticket
        except DECODE_ERRORS:
            return ""

    async def _exchange(
        self, call: HttpCall, request_id: str
    ) -> Result[RunReply, BackendFault]:
        result = await send_call(self.http, call)
        if result.is_error():
            fault = result.error
            return Error(
                replace(
                    convert_transport_fault(fault.kind, fault.detail),
                    silent=fault.silent,
                )
            )
        response = result.ok
        mismatch = find_mismatch(response, request_id)
        if mismatch:
            return Error(BackendFault(BackendFaultKind.UNCERTAIN, mismatch))
        if response.code != 200:
            return Error(parse_refusal(response))
        return Ok(
            RunReply(
                response.body,
                response.headers.get("Content-Type", DEFAULT_MEDIA_TYPE),
                response.headers.get(TICKET_HEADER, ""),
            )
        )


def find_mismatch(response: HTTPResponse, request_id: str) -> str:
    """Return why a reply is not the complete reply to a request; empty when it is.

    Refusals are checked too: the refusal of another request proves nothing about this
    one.
    """
    if response.headers.get(REQUEST_ID_HEADER) != request_id:
        return f"reply {response.code} has another request id than {request_id}"
    length = response.headers.get("Content-Length", "")
    if length != str(len(response.body or b"")):
        return (
            f"{len(response.body or b'')} bytes received, Content-Length is {length!r}"
        )
    return ""
