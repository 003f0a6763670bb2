"""HTTP server for callers, whose refusals arrive while a caller still sends.

A connection that is closed with unread input is reset, and the caller's system may
then discard a reply that it has received. Connections are therefore closed for
writing first, and input is read and dropped up to a bound.
"""

import sys
from collections.abc import Awaitable, Callable, Mapping
from http import HTTPStatus
from socket import SHUT_WR, socket

from tornado.httpserver import HTTPServer
from tornado.ioloop import IOLoop
from tornado.iostream import IOStream, UnsatisfiableReadError
from tornado.web import Application

MAX_HEADER_BYTES = 65_536
MAX_DROPPED_BYTES = 67_108_864
MAX_DROPPING_SECONDS = 10.0
READ_BYTES = 65_536


class InputDropper:
    """Reads and drops the rest of a connection's input, then closes it.

    Parameters
    ----------
    connection : socket
        Closed for writing.
    """

    def __init__(self, connection: socket) -> None:
        self.connection = connection
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

    def close(self) -> None:
        """Close the connection."""
        self.loop.remove_timeout(self.timer)
        self.loop.remove_handler(self.connection.fileno())
        self.connection.close()


class CallerStream(IOStream):
    """Connection of a caller, which is closed only after its input.

    Parameters
    ----------
    stream : IOStream
        The accepted connection, from which nothing was read.
    make_refusal : callable
        Returns the encoded reply to a request whose headers are too long.
    """

    def __init__(self, stream: IOStream, make_refusal: Callable[[], bytes]) -> None:
        super().__init__(
            stream.socket,
            max_buffer_size=stream.max_buffer_size,
            read_chunk_size=stream.read_chunk_size,
        )
        self.make_refusal = make_refusal
        self.is_reading_headers = False

    def read_until_regex(
        self, regex: bytes, max_bytes: int | None = None
    ) -> Awaitable[bytes]:
        """Read up to a regular expression, which only ends headers."""
        self.is_reading_headers = True
        return super().read_until_regex(regex, max_bytes)

    def read_until(
        self, delimiter: bytes, max_bytes: int | None = None
    ) -> Awaitable[bytes]:
        """Read up to a delimiter, which only ends the length of a chunk."""
        self.is_reading_headers = False
        return super().read_until(delimiter, max_bytes)

    def close(self, exc_info: object = False) -> None:
        """Close for writing, and entirely once the input is read and dropped."""
        if self.closed():
            return
        is_oversized = isinstance(exc_info, UnsatisfiableReadError)
        # After another error the socket is of no use any more.
        rest = duplicate(self.socket) if is_oversized or not exc_info else None
        super().close(exc_info)  # type: ignore[arg-type]
        if rest is None:
            return
        is_refused = is_oversized and self.is_reading_headers
        finish_connection(rest, self.make_refusal() if is_refused else b"")


class CallerServer(HTTPServer):
    """HTTP server whose connections are closed only after their input."""

    make_refusal: Callable[[], bytes]

    def handle_stream(self, stream: IOStream, address: tuple[object, ...]) -> None:
        """Serve an accepted connection."""
        super().handle_stream(CallerStream(stream, self.make_refusal), address)


def duplicate(connection: socket) -> socket | None:
    """Duplicate a socket; None if the process has no free descriptor."""
    try:
        return connection.dup()
    except OSError:
        return None


def finish_connection(connection: socket, reply: bytes) -> None:
    """Send a last reply, and close a connection once its input has ended."""
    try:
        if reply:
            connection.send(reply)
        connection.shutdown(SHUT_WR)
    except OSError:
        connection.close()
        return
    if drop_input(connection) == 0:
        connection.close()
        return
    InputDropper(connection)


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


def start_caller_server(
    application: Application,
    host: str,
    port: int,
    make_refusal: Callable[[], bytes],
    *,
    idle_timeout_seconds: float,
    body_timeout_seconds: float | None = None,
) -> CallerServer:
    """Start an HTTP server for callers.

    Parameters
    ----------
    application : Application
        Its handlers limit the bodies; see `BodyHandler`.
    host, port : str, int
        Address to listen on.
    make_refusal : callable
        Returns the encoded reply to a request whose headers are too long.
    idle_timeout_seconds : float
        When a connection without whole headers is closed.
    body_timeout_seconds : float, optional
        When a connection without a whole body is closed.
    """
    server = CallerServer(
        application,
        idle_connection_timeout=idle_timeout_seconds,
        body_timeout=body_timeout_seconds,
        max_header_size=MAX_HEADER_BYTES,
        max_body_size=sys.maxsize,
    )
    server.make_refusal = make_refusal
    server.listen(port, host)
    return server
