"""HTTP calls by tornado's curl client, with faults sorted by what they prove."""

from dataclasses import dataclass, field
from enum import StrEnum

import pycurl
from expression import Error, Ok, Result
from tornado.curl_httpclient import CurlAsyncHTTPClient, CurlError
from tornado.httpclient import HTTPClientError, HTTPRequest, HTTPResponse
from tornado.httputil import HTTPHeaders

MAX_CLIENTS = 256
CONNECT_TIMEOUT_SECONDS = 1.0
# A connection on which no byte moved for this long is closed; see the design
# page on silent connections.
PROGRESS_TIMEOUT_SECONDS = 3


class TransportFaultKind(StrEnum):
    """What a failed HTTP call proves about the request."""

    NOT_SENT = "not_sent"
    UNCERTAIN = "uncertain"


@dataclass(frozen=True, slots=True)
class TransportFault:
    """A call that brought no whole HTTP reply.

    Attributes
    ----------
    kind : TransportFaultKind
        ``NOT_SENT`` when the request certainly never left this process.
    detail : str
        The client library's words.
    silent : bool
        True when the request left and then nothing moved until a time limit.
    """

    kind: TransportFaultKind
    detail: str
    silent: bool = False


@dataclass
class SendWatch:
    """Whether libcurl may have put a byte of one call on a connection.

    libcurl's error code alone does not tell: when a reused connection ends
    before the first reply byte, libcurl opens a new one, and a refusal of that
    one is reported like a request that never left.

    Attributes
    ----------
    sent : bool
        True once a connection, new or reused, was ready for the request.
    """

    sent: bool = False

    def note_connection(self, *addresses: object) -> int:
        """Take libcurl's call between connecting and sending."""
        self.sent = True
        return int(pycurl.PREREQFUNC_OK)


@dataclass(frozen=True, slots=True)
class HttpCall:
    """One HTTP request to an outside system or another VM.

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
        Limit for the whole call.
    fresh_connection : bool
        True to open a new connection. libcurl sends a request again by itself
        when a reused connection ends before the first reply byte, so a request
        that may not be repeated needs a connection of its own.
    progress_timeout_seconds : int
        Seconds without a byte in either direction before the call fails; 0 to
        wait for ``timeout_seconds``.
    """

    method: str
    url: str
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes | None = None
    timeout_seconds: float = 3.0
    fresh_connection: bool = False
    progress_timeout_seconds: int = 0


def make_http_client(source_host: str = "") -> CurlAsyncHTTPClient:
    """Return a curl client for the running loop.

    Parameters
    ----------
    source_host : str
        IP address that outgoing connections come from; empty for any.

    Returns
    -------
    CurlAsyncHTTPClient
        A client of its own, with its own connections.
    """
    defaults = {"network_interface": source_host} if source_host else {}
    return CurlAsyncHTTPClient(
        force_instance=True, max_clients=MAX_CLIENTS, defaults=defaults
    )


async def send_call(
    client: CurlAsyncHTTPClient, call: HttpCall
) -> Result[HTTPResponse, TransportFault]:
    """Send one HTTP request and wait for the whole reply.

    Parameters
    ----------
    client : CurlAsyncHTTPClient
        The loop's client.
    call : HttpCall
        What to send.

    Returns
    -------
    Result of HTTPResponse or TransportFault
        Any whole HTTP reply, whatever its status; else what the failure proves.
    """
    watch = SendWatch()

    def prepare_curl(curl: pycurl.Curl) -> None:
        curl.setopt(pycurl.PREREQFUNCTION, watch.note_connection)
        curl.setopt(pycurl.FRESH_CONNECT, 1 if call.fresh_connection else 0)
        curl.setopt(pycurl.LOW_SPEED_LIMIT, 1 if call.progress_timeout_seconds else 0)
        curl.setopt(pycurl.LOW_SPEED_TIME, call.progress_timeout_seconds)

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
    try:
        # tornado raises for a call without a reply whatever ``raise_error`` says.
        return Ok(await client.fetch(request, raise_error=False))
    except (HTTPClientError, OSError) as error:
        return Error(classify_failure(error, watch))


def classify_failure(error: Exception, watch: SendWatch) -> TransportFault:
    """Sort a failed call into not sent or uncertain.

    Parameters
    ----------
    error : Exception
        What the client library raised.
    watch : SendWatch
        Whether the request may have left.

    Returns
    -------
    TransportFault
        ``NOT_SENT`` only when no connection was ever ready for the request.
    """
    if not watch.sent:
        return TransportFault(TransportFaultKind.NOT_SENT, str(error))
    timed_out = (
        isinstance(error, CurlError) and error.errno == pycurl.E_OPERATION_TIMEDOUT
    )
    return TransportFault(TransportFaultKind.UNCERTAIN, str(error), silent=timed_out)
