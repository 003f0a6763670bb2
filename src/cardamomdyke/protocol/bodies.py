"""Base of HTTP handlers that limit the bodies of requests."""

from tornado.web import stream_request_body

from cardamomdyke.protocol.progress import CountedHandler


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
        self.body_chunks: list[bytes] = []
        self.body_bytes = 0
        declared = self.request.headers.get("Content-Length", "")
        if is_over_limit(declared, self.find_body_limit()):
            self.refuse_rest_of_body()

    def data_received(self, chunk: bytes) -> None:
        """Store a chunk of the body, or refuse the body."""
        if self._finished:
            return
        self.body_bytes += len(chunk)
        if self.body_bytes > self.find_body_limit():
            self.body_chunks.clear()
            self.refuse_rest_of_body()
            return
        self.body_chunks.append(chunk)

    def refuse_rest_of_body(self) -> None:
        """Refuse the body, and tell the caller that the connection ends."""
        self.set_header("Connection", "close")
        self.refuse_large_body()

    def read_body(self) -> bytes:
        """Return the body, which is complete when a method runs."""
        return b"".join(self.body_chunks)


def is_over_limit(digits: str, limit: int) -> bool:
    """Return whether decimal digits, however many, stand for more than a limit.

    What is not a number is left to the server, which refuses it.
    """
    significant = digits.lstrip("0")
    if not significant.isascii() or not significant.isdigit():
        return False
    bound = str(limit)
    return (len(significant), significant) > (len(bound), bound)
