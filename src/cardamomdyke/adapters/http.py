"""HTTP calls; a fault says whether the request may have reached the server."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum
from math import ceil
from typing import cast

import pycurl
from expression import Error, Ok, Result
from tornado.curl_httpclient import CurlAsyncHTTPClient, CurlError
from tornado.httpclient import HTTPClientError, HTTPRequest, HTTPResponse
from tornado.httputil import HTTPHeaders, HTTPInputError
from tornado.platform.asyncio import BaseAsyncIOLoop

MAX_CLIENTS = 256
CONNECT_TIMEOUT_SECONDS = 1.0
# A connection is closed after this long without a byte in either direction; see the
# design page on silent connections.
PROGRESS_TIMEOUT_SECONDS = 3
# libcurl reports progress each second while a low-speed limit is set; a longer time
# between two reports is a pause of the process.
PROGRESS_PAUSE_SECONDS = 1.25
# Raised for a header or an address that no request can carry.
UNSENDABLE_ERRORS = (HTTPInputError, ValueError, pycurl.error)


class TransportFaultKind(StrEnum):
    """Whether the request of a failed HTTP call may have been sent."""

    NOT_SENT = "not_sent"
    UNCERTAIN = "uncertain"


@dataclass(frozen=True, slots=True)
class TransportFault:
    """An HTTP call that got no complete reply.

    Attributes
    ----------
    kind : TransportFaultKind
        ``NOT_SENT`` only when no byte of the request was sent.
    detail : str
        Error message of the client library.
    silent : bool
        True when the request was sent and a total or progress timeout followed.
    """

    kind: TransportFaultKind
    detail: str
    silent: bool = False


@dataclass
class SendTracker:
    """Tracks whether libcurl may have sent a byte of one call.

    libcurl's error code does not tell: when a reused connection closes before the
    first reply byte, libcurl opens a new one, and a refusal of that one is reported
    like a request that was never sent.

    Attributes
    ----------
    single_send : bool
        True to abort the call instead of sending its request again.
    sent : bool
        True once a connection, new or reused, was ready for the request.
    """

    single_send: bool = False
    sent: bool = False

    def record_connection(self, *addresses: object) -> int:
        """Handle libcurl's callback between connecting and sending."""
        resends = self.sent
        self.sent = True
        if resends and self.single_send:
            return int(pycurl.PREREQFUNC_ABORT)
        return int(pycurl.PREREQFUNC_OK)


@dataclass
class StallDetector:
    """Detects a transfer in which no byte has arrived or left for some time.

    libcurl's low-speed limit does not measure this. It compares a mean rate over about
    5 s that is calculated once a second, so it notices silence about 6 s late. Until
    the first second ends, the rate is 0, and a limit of 1 s may be reached before.

    Attributes
    ----------
    limit_seconds : float
        Longest silence; 0 for no limit.
    clock : callable
        Steady clock, in seconds.
    checked_at : float
        Time of the last check.
    silent_seconds : float
        Time without a byte up to then.
    transferred : int
        Bytes received and sent up to then.
    stalled : bool
        True once the limit was exceeded.
    """

    limit_seconds: float
    clock: Callable[[], float]
    checked_at: float = 0.0
    silent_seconds: float = 0.0
    transferred: int = -1
    stalled: bool = False

    def check_progress(
        self, total_received: int, received: int, total_sent: int, sent: int
    ) -> int:
        """Handle libcurl's progress callback; return 1 to end the transfer.

        The silence is counted anew after a pause of the process, which says nothing
        about the server.
        """
        now = self.clock()
        elapsed = now - self.checked_at
        was_silent = received + sent == self.transferred
        self.checked_at = now
        self.transferred = received + sent
        if was_silent and elapsed <= PROGRESS_PAUSE_SECONDS:
            self.silent_seconds += elapsed
        else:
            self.silent_seconds = 0.0
        self.stalled = 0 < self.limit_seconds < self.silent_seconds
        return int(self.stalled)


@dataclass(frozen=True, slots=True)
class HttpCall:
    """One HTTP request to an external service or another VM.

    Attributes
    ----------
    method : str
        HTTP method.
    url : str
        Absolute URL.
    headers : dict of str to str
        Request headers.
    body : bytes or None
        Request body.
    timeout_seconds : float
        Time limit of the whole call.
    fresh_connection : bool
        True to open a new connection, which a request that must not run twice
        needs: libcurl resends a request when a reused connection closes before the
        first reply byte.
    single_send : bool
        True to fail instead of resending, as an uncertain call. Cheaper than a new
        connection for each call.
    progress_timeout_seconds : int
        libcurl's low-speed time at a limit of 1 byte/s; 0 for none. Use at least 2: a
        limit of 1 s may end a transfer that makes progress. Silence after the first
        bytes ends the call about 6 s late; see `StallDetector`.
    stall_timeout_seconds : float
        Time without a byte in either direction after which the call fails, checked
        once a second; 0 for none. Takes the place of ``progress_timeout_seconds``.
    """

    method: str
    url: str
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes | None = None
    timeout_seconds: float = 3.0
    fresh_connection: bool = False
    single_send: bool = False
    progress_timeout_seconds: int = 0
    stall_timeout_seconds: float = 0.0


class SteadyTimerClient(CurlAsyncHTTPClient):
    """A curl client whose timers do not depend on the wall clock.

    Tornado converts libcurl's delay to a time of the wall clock and back. If the clock
    is set back in between, the timer is late by the step, and a call is neither sent
    nor ended by its timeout until then.
    """

    def _set_timeout(self, msecs: int) -> None:
        if self._timeout is not None:
            self.io_loop.remove_timeout(self._timeout)
        # libcurl asks to delete its timer with -1, which tornado handles as 0 ms.
        delay_seconds = max(msecs, 0) / 1000.0
        loop = cast(BaseAsyncIOLoop, self.io_loop).asyncio_loop
        self._timeout = loop.call_later(delay_seconds, self._handle_timeout)


def make_http_client(source_host: str = "") -> CurlAsyncHTTPClient:
    """Create a curl client for the running event loop.

    Parameters
    ----------
    source_host : str
        Source IP address of outgoing connections; empty for any.

    Returns
    -------
    CurlAsyncHTTPClient
        A new client, which shares no connections with others.
    """
    defaults = {"network_interface": source_host} if source_host else {}
    return SteadyTimerClient(
        force_instance=True, max_clients=MAX_CLIENTS, defaults=defaults
    )


async def send_call(
    client: CurlAsyncHTTPClient, call: HttpCall
) -> Result[HTTPResponse, TransportFault]:
    """Send one HTTP request and wait for the complete reply.

    Parameters
    ----------
    client : CurlAsyncHTTPClient
        Client of the running event loop.
    call : HttpCall
        The request.

    Returns
    -------
    Result of HTTPResponse or TransportFault
        Any complete HTTP reply, whatever its status.
    """
    tracker = SendTracker(call.single_send)
    detector = StallDetector(
        call.stall_timeout_seconds, asyncio.get_running_loop().time
    )

    def prepare_curl(curl: pycurl.Curl) -> None:
        curl.setopt(pycurl.PREREQFUNCTION, tracker.record_connection)
        curl.setopt(pycurl.FRESH_CONNECT, 1 if call.fresh_connection else 0)
        low_speed_seconds = call.progress_timeout_seconds
        if call.stall_timeout_seconds:
            # A low-speed limit makes libcurl report progress while no byte arrives.
            # It never takes effect itself: the whole call times out first.
            low_speed_seconds = ceil(call.timeout_seconds) + 1
            curl.setopt(pycurl.NOPROGRESS, 0)
            curl.setopt(pycurl.XFERINFOFUNCTION, detector.check_progress)
        curl.setopt(pycurl.LOW_SPEED_LIMIT, 1 if low_speed_seconds else 0)
        curl.setopt(pycurl.LOW_SPEED_TIME, low_speed_seconds)

    try:
        request = HTTPRequest(
            call.url,
            method=call.method,
            headers=HTTPHeaders(call.headers),
            body=call.body,
            allow_nonstandard_methods=True,
            connect_timeout=min(CONNECT_TIMEOUT_SECONDS, call.timeout_seconds),
            request_timeout=call.timeout_seconds,
            follow_redirects=False,
            decompress_response=False,
            prepare_curl_callback=prepare_curl,
        )
        # Without a reply, tornado raises even with ``raise_error=False``.
        return Ok(await client.fetch(request, raise_error=False))
    except (HTTPClientError, OSError, *UNSENDABLE_ERRORS) as error:
        return Error(classify_failure(error, tracker, detector))


def classify_failure(
    error: Exception, tracker: SendTracker, detector: StallDetector
) -> TransportFault:
    """Classify a failed call as not sent or uncertain.

    Parameters
    ----------
    error : Exception
        What the client library raised.
    tracker : SendTracker
        Whether the request may have been sent.
    detector : StallDetector
        Whether the call was ended for lack of progress.

    Returns
    -------
    TransportFault
        ``NOT_SENT`` only when no connection was ever ready for the request.
    """
    if not tracker.sent:
        return TransportFault(TransportFaultKind.NOT_SENT, str(error))
    if detector.stalled:
        detail = f"no byte arrived for more than {detector.limit_seconds:g} s"
        return TransportFault(TransportFaultKind.UNCERTAIN, detail, silent=True)
    timed_out = (
        isinstance(error, CurlError) and error.errno == pycurl.E_OPERATION_TIMEDOUT
    )
    return TransportFault(TransportFaultKind.UNCERTAIN, str(error), silent=timed_out)
