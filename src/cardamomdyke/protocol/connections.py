"""HTTP server with limits, whose refusals arrive while a client still sends.

A connection that is closed with unread input is reset, and the caller's system may
then discard a reply that it has received. Connections are therefore closed for
writing first, and input is read and dropped up to a bound.
"""

import sys
from asyncio import Future
from collections.abc import Awaitable, Callable, Mapping
from contextlib import suppress
from http import HTTPStatus
from socket import SHUT_WR, SO_RCVBUF, SOL_SOCKET, socket
from typing import cast

from tornado.http1connection import HTTP1Connection
from tornado.httpserver import HTTPServer
from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPInputError,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.ioloop import IOLoop
from tornado.iostream import IOStream, StreamClosedError, UnsatisfiableReadError
from tornado.netutil import bind_sockets
from tornado.web import Application

from cardamomdyke.protocol.budget import Holding, Phase
from cardamomdyke.protocol.guard import InputGuard, make_default_guard
from cardamomdyke.protocol.limits import RECEIVE_BUFFER_BYTES, PortClass

MAX_HEADER_BYTES = 65_536
MAX_DROPPED_BYTES = 67_108_864
MAX_DROPPING_SECONDS = 10.0
READ_BYTES = 65_536
# Largest read from a connection; its buffer holds the longest headers and one read.
CHUNK_BYTES = 16_384
BUFFER_BYTES = 262_144
# While a request is served, input is read only to notice the end of the connection.
SERVED_READ_BYTES = 1024
# A chunk costs about as much processor time as 1 KB of a body. A body may have this
# many chunks, and one more for each `CHUNK_MEAN_BYTES` received.
FREE_CHUNKS = 64
CHUNK_MEAN_BYTES = 64
ARGUMENT_SEPARATOR = "&"
# Sent to a client that waits with its body.
INTERIM_REPLY = b"HTTP/1.1 100"
# Ports without bodies accept no longer ones.
SMALL_BODY_BYTES = 1024


class InputDropper:
    """Reads and drops the rest of a connection's input, then closes it.

    Parameters
    ----------
    connection : socket
        Closed for writing.
    guard : InputGuard
        Accounts for the connection.
    holding : Holding
        Account of the connection.
    """

    def __init__(self, connection: socket, guard: InputGuard, holding: Holding) -> None:
        self.connection = connection
        self.guard = guard
        self.holding = holding
        self.remaining_bytes = MAX_DROPPED_BYTES
        self.loop = IOLoop.current()
        self.timer = self.loop.call_later(MAX_DROPPING_SECONDS, self.close)
        self.loop.add_handler(connection.fileno(), self.handle_input, IOLoop.READ)

    def handle_input(self, descriptor: int, events: int) -> None:
        """Drop what has arrived; close at the end of the input or at the bound."""
        count = drop_input(self.connection)
        if count is None:
            return
        self.remaining_bytes -= count
        if not count or self.remaining_bytes <= 0:
            self.close()

    def drop(self) -> None:
        """Close the connection."""
        self.close()

    def close(self) -> None:
        """Close the connection."""
        self.loop.remove_timeout(self.timer)
        self.loop.remove_handler(self.connection.fileno())
        self.connection.close()
        self.guard.release(self.holding)


class CallerStream(IOStream):
    """Connection of a client, which is closed only after its input.

    Parameters
    ----------
    stream : IOStream
        The accepted connection, from which nothing was read.
    make_refusal : callable
        Returns the encoded reply to a request whose headers are too long.
    guard : InputGuard
        Accounts for what the connection holds.
    holding : Holding
        Account of the connection.
    """

    def __init__(
        self,
        stream: IOStream,
        make_refusal: Callable[[], bytes],
        guard: InputGuard,
        holding: Holding,
    ) -> None:
        super().__init__(
            stream.socket,
            max_buffer_size=stream.max_buffer_size,
            read_chunk_size=stream.read_chunk_size,
        )
        self.make_refusal = make_refusal
        self.guard = guard
        self.holding = holding
        self.is_reading_headers = False
        self.chunk_count = 0
        # Releases the body of the request that is being read.
        self.release_body: Callable[[], None] | None = None
        self.is_dropped = False
        # True while this stream's own methods run, which a close would disturb.
        self.is_busy = False
        guard.register(holding, self)

    def read_until_regex(
        self, regex: bytes, max_bytes: int | None = None
    ) -> Awaitable[bytes]:
        """Read up to a regular expression, which only ends headers."""
        self.is_reading_headers = True
        self.chunk_count = 0
        self.release_body = None
        self.guard.begin_request(self.holding, self._read_buffer_size)
        limit = self.guard.budget.find_requests(self.holding.port).header_bytes
        return super().read_until_regex(regex, min(limit, max_bytes or limit))

    def read_until(
        self, delimiter: bytes, max_bytes: int | None = None
    ) -> Awaitable[bytes]:
        """Read up to a delimiter, which only ends the length of a chunk.

        Raises
        ------
        StreamClosedError
            When the chunks of the body are too small.
        """
        self.is_reading_headers = False
        self.chunk_count += 1
        most = FREE_CHUNKS + self.holding.moved_bytes // CHUNK_MEAN_BYTES
        if self.chunk_count > most and not self.is_dropped:
            self.guard.reject(self.holding, "small_chunks")
        if self.is_dropped:
            raise StreamClosedError
        return super().read_until(delimiter, max_bytes)

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """Read what has arrived, unless it makes the guard drop the connection."""
        if self.is_dropped:
            return None
        if self.holding.phase is Phase.SERVED:
            with memoryview(buf) as whole, whole[:SERVED_READ_BYTES] as view:
                count = super().read_from_fd(view)
        else:
            count = super().read_from_fd(buf)
        if count:
            self.is_busy = True
            self.guard.receive(self.holding, count)
            self.is_busy = False
        return None if self.is_dropped else count

    def write(self, data: bytes | memoryview) -> "Future[None]":
        """Send a part of an answer."""
        if data and not self.closed():
            self.is_busy = True
            is_interim = bytes(data[: len(INTERIM_REPLY)]) == INTERIM_REPLY
            self.guard.begin_answer(self.holding, len(data), is_interim)
            self.is_busy = False
        return super().write(data)

    def write_to_fd(self, data: memoryview) -> int:
        """Send what the connection takes."""
        count = super().write_to_fd(data)
        self.guard.send(self.holding, count)
        return count

    def begin_request(self, headers: HTTPHeaders, path: str) -> bool:
        """Account for decoded headers; False if the connection is closed for them."""
        count = sum(1 for _ in headers.get_all())
        most = self.guard.budget.base_requests.header_fields
        if max(count, path.count(ARGUMENT_SEPARATOR)) > most:
            self.close(UnsatisfiableReadError("too many header fields or arguments"))
            return False
        self.guard.begin_body(self.holding, count, self._read_buffer_size)
        return not self.is_dropped

    def enlarge_receive_buffer(self) -> None:
        """Let the client send more of a body at a time, if there is room for that."""
        if self.guard.budget.enlarge_buffer(self.holding):
            size = self.guard.budget.base_requests.body_buffer_bytes
            with suppress(OSError):
                self.socket.setsockopt(SOL_SOCKET, SO_RCVBUF, size)

    def assign_account(self, account: str) -> None:
        """Set the client account of the request that is being read."""
        self.guard.assign_account(self.holding, account)

    def drop(self) -> None:
        """Close the connection at once, without an answer."""
        self.is_dropped = True
        # The handler learns of the end in a later pass of the loop, and hundreds of
        # connections may read a whole body each in one pass.
        if self.release_body is not None:
            self.release_body()
        if self.is_busy:
            self.io_loop.add_callback(self.abort)
        else:
            self.abort()

    def abort(self) -> None:
        """Close the connection with whatever it holds."""
        super().close()
        self.release_input()

    def release_input(self) -> None:
        """Release unread input, since error objects keep a closed stream for long."""
        self._read_buffer = bytearray()
        self._read_buffer_size = 0

    def close(self, exc_info: object = False) -> None:
        """Close for writing, and entirely once the input is read and dropped."""
        if self.closed():
            return
        is_oversized = isinstance(exc_info, UnsatisfiableReadError)
        # After another error the socket is of no use any more.
        is_usable = is_oversized or not exc_info
        if is_oversized and self.is_reading_headers:
            with suppress(OSError):
                self.socket.send(self.make_refusal())
        rest = None
        if is_usable and self.guard.begin_discarding(self.holding):
            rest = duplicate(self.socket)
        super().close(exc_info)  # type: ignore[arg-type]
        if is_oversized:
            self.release_input()
        if rest is None:
            self.guard.release(self.holding)
            return
        finish_connection(rest, self.guard, self.holding)


class LimitedDelegate(HTTPMessageDelegate):
    """Tells a connection's account how far a request has come.

    Parameters
    ----------
    inner : HTTPMessageDelegate
        Serves the request.
    stream : CallerStream
        Connection of the request.
    """

    __slots__ = ("inner", "is_begun", "stream")

    def __init__(self, inner: HTTPMessageDelegate, stream: CallerStream) -> None:
        self.inner = inner
        self.stream = stream
        self.is_begun = False

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> Awaitable[None] | None:
        """Pass decoded headers on, unless the connection is closed for them."""
        path = cast(RequestStartLine, start_line).path
        if not self.stream.begin_request(headers, path):
            raise HTTPInputError("the connection is closed by its limits")
        self.is_begun = True
        return self.inner.headers_received(start_line, headers)

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Pass a part of the body on."""
        return self.inner.data_received(chunk)

    def finish(self) -> None:
        """Pass the end of the request on."""
        self.stream.guard.begin_service(self.stream.holding)
        self.inner.finish()

    def on_connection_close(self) -> None:
        """Pass the end of the connection on."""
        if self.is_begun:
            self.inner.on_connection_close()


class CallerServer(HTTPServer):
    """HTTP server whose connections are limited, and closed only after their input."""

    make_refusal: Callable[[], bytes]
    guard: InputGuard
    port_class: PortClass

    def handle_stream(self, stream: IOStream, address: tuple[object, ...]) -> None:
        """Serve an accepted connection, or close it for lack of room."""
        holding = self.guard.admit(self.port_class, str(address[0]))
        if not holding.is_open:
            stream.close()
            return
        limited = CallerStream(stream, self.make_refusal, self.guard, holding)
        super().handle_stream(limited, address)

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        """Return the delegate of one request."""
        inner = super().start_request(server_conn, request_conn)
        stream = cast(HTTP1Connection, request_conn).stream
        return LimitedDelegate(inner, cast(CallerStream, stream))


def duplicate(connection: socket) -> socket | None:
    """Duplicate a socket; None if the process has no free descriptor."""
    try:
        return connection.dup()
    except OSError:
        return None


def finish_connection(connection: socket, guard: InputGuard, holding: Holding) -> None:
    """Close a connection for writing, and entirely once its input has ended."""
    try:
        connection.shutdown(SHUT_WR)
        is_ended = drop_input(connection) == 0
    except OSError:
        is_ended = True
    if is_ended:
        connection.close()
        guard.release(holding)
        return
    guard.register(holding, InputDropper(connection, guard, holding))


def drop_input(connection: socket) -> int | None:
    """Drop input that has arrived.

    Returns
    -------
    int or None
        Number of bytes; 0 at the end of the input, None while none has arrived.
    """
    try:
        return len(connection.recv(READ_BYTES))
    except BlockingIOError:
        return None
    except OSError:
        return 0


def encode_reply(status: HTTPStatus, headers: Mapping[str, str], body: bytes) -> bytes:
    """Encode a JSON reply that ends its connection."""
    fields = {
        **headers,
        "Content-Type": "application/json",
        "Content-Length": str(len(body)),
        "Connection": "close",
    }
    lines = [f"HTTP/1.1 {status.value} {status.phrase}"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    return "\r\n".join([*lines, "", ""]).encode() + body


def make_plain_refusal() -> bytes:
    """Encode the reply to a request whose headers are too long."""
    return encode_reply(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, {}, b"{}")


def start_caller_server(
    application: Application,
    host: str,
    port: int,
    make_refusal: Callable[[], bytes] = make_plain_refusal,
    *,
    guard: InputGuard | None = None,
    port_class: PortClass = PortClass.CALLERS,
    idle_timeout_seconds: float | None = None,
    body_timeout_seconds: float | None = None,
    body_bytes: int = sys.maxsize,
) -> CallerServer:
    """Start an HTTP server with limits.

    Parameters
    ----------
    application : Application
        Its handlers limit the bodies; see `BodyHandler`.
    host, port : str, int
        Address to listen on.
    make_refusal : callable
        Returns the encoded reply to a request whose headers are too long.
    guard : InputGuard, optional
        Owner of the input; by default one with the limits of the smallest VM.
    port_class : PortClass
        Share of the guard that the connections use.
    idle_timeout_seconds : float, optional
        When a connection without whole headers is closed at the latest; by default
        only the guard's time limits hold, which cost no timer for each request.
    body_timeout_seconds : float, optional
        When a connection without a whole body is closed.
    body_bytes : int
        Limit of the body where the application's handlers have none.
    """
    server = CallerServer(
        application,
        body_timeout=body_timeout_seconds,
        max_header_size=MAX_HEADER_BYTES,
        max_body_size=body_bytes,
        chunk_size=CHUNK_BYTES,
        max_buffer_size=BUFFER_BYTES,
    )
    server.conn_params.header_timeout = idle_timeout_seconds
    server.make_refusal = make_refusal
    server.guard = guard or make_default_guard()
    server.guard.start()
    server.port_class = port_class
    server.add_sockets(open_sockets(host, port))
    return server


def open_sockets(host: str, port: int) -> list[socket]:
    """Listen on an address; accepted connections have the receive buffer set here."""
    sockets = bind_sockets(port, host)
    for item in sockets:
        item.setsockopt(SOL_SOCKET, SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    return sockets
