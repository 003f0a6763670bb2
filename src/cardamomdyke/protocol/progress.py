"""Count of HTTP requests in progress, for a graceful shutdown."""

from asyncio import Future
from dataclasses import dataclass

from tornado.web import RequestHandler


@dataclass
class Progress:
    """HTTP requests in progress on one server.

    Attributes
    ----------
    requests : int
        Requests whose reply is not completely written to the socket.
    draining : bool
        True once shutdown began; replies then close their connection.
    """

    requests: int = 0
    draining: bool = False


class CountedHandler(RequestHandler):
    """Base of handlers whose requests a shutdown waits for.

    A request counts until the last byte of its reply is written: when the handler
    returns, the reply may still be in the process's own buffer.
    """

    progress: Progress
    counted = False

    def prepare(self) -> None:
        """Count the request as in progress."""
        self.start_counting()

    def start_counting(self) -> None:
        """Count the request as in progress."""
        self.counted = True
        self.progress.requests += 1

    def finish(self, chunk: str | bytes | dict[str, object] | None = None) -> Future:  # type: ignore[type-arg]
        """Send the reply, and stop counting once it is written."""
        if self.progress.draining:
            self.set_header("Connection", "close")
        written = super().finish(chunk)
        written.add_done_callback(lambda _: self.stop_counting())
        return written

    def on_connection_close(self) -> None:
        """Stop counting when the client closes the connection.

        The base class ends a handler that waits for the rest of a body.
        """
        self.stop_counting()
        super().on_connection_close()

    def stop_counting(self) -> None:
        """Stop counting the request; further calls do nothing."""
        if self.counted:
            self.counted = False
            self.progress.requests -= 1
