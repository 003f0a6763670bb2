"""Base of HTTP handlers that limit the bodies of requests."""

from tornado.httputil import HTTPHeaders
from tornado.web import stream_request_body

from cardamomdyke.protocol.connections import CallerStream
from cardamomdyke.protocol.limits import RECEIVE_BUFFER_BYTES
from cardamomdyke.protocol.progress import CountedHandler

# Bodies are kept in blocks of this size. One buffer for each, grown piece by piece,
# left the allocator with several times the bytes of all bodies.
BLOCK_BYTES = 16_384


@stream_request_body
class BodyHandler(CountedHandler):
    """Reads the body in chunks and refuses one over the limit before its end.

    The server reads and drops the rest; see `CallerServer`.
    """

    def find_body_limit(self) -> int:
        """Return the limit of the body, in bytes."""
        raise NotImplementedError

    def refuse_large_body(self) -> None:
        """Reply that the body exceeds the limit."""
        raise NotImplementedError

    def start_body(self) -> None:
        """Prepare to read the body, or refuse it by its declared length."""
        self.body_blocks: list[bytearray] = []
        self.body_bytes = 0
        self.is_body_released = False
        stream = getattr(self.request.connection, "stream", None)
        if isinstance(stream, CallerStream):
            stream.release_body = self.release_body
        declared = self.request.headers.get("Content-Length", "")
        if is_over_limit(declared, self.find_body_limit()):
            self.refuse_rest_of_body()
        elif isinstance(stream, CallerStream) and expects_long_body(
            self.request.headers
        ):
            stream.enlarge_receive_buffer()

    def data_received(self, chunk: bytes) -> None:
        """Store a chunk of the body, or refuse the body."""
        if self._finished or self.is_body_released:
            return
        self.body_bytes += len(chunk)
        if self.body_bytes > self.find_body_limit():
            self.body_blocks.clear()
            self.refuse_rest_of_body()
            return
        blocks = self.body_blocks
        if blocks and len(blocks[-1]) + len(chunk) <= BLOCK_BYTES:
            blocks[-1] += chunk
        else:
            blocks.append(bytearray(chunk))

    def release_body(self) -> None:
        """Release an incomplete body; the handler itself may live longer."""
        if not self.request._body_future.done():
            self.is_body_released = True
            self.body_blocks = []

    def on_connection_close(self) -> None:
        """Release the body if its connection closes before it is complete."""
        self.release_body()
        super().on_connection_close()

    def refuse_rest_of_body(self) -> None:
        """Refuse the body, and tell the caller that the connection ends."""
        self.set_header("Connection", "close")
        self.refuse_large_body()

    def read_body(self) -> bytes:
        """Return the body, which is complete when a method runs, and release it."""
        body = b"".join(self.body_blocks)
        self.body_blocks.clear()
        return body


def expects_long_body(headers: HTTPHeaders) -> bool:
    """Return whether a body may exceed the receive buffer of a new connection."""
    declared = headers.get("Content-Length", "")
    is_chunked = "Transfer-Encoding" in headers
    return is_chunked or is_over_limit(declared, RECEIVE_BUFFER_BYTES)


def is_over_limit(digits: str, limit: int) -> bool:
    """Return whether decimal digits, however many, stand for more than a limit.

    What is not a number is left to the server, which refuses it.
    """
    significant = digits.lstrip("0")
    if not significant.isascii() or not significant.isdigit():
        return False
    bound = str(limit)
    return (len(significant), significant) > (len(bound), bound)
