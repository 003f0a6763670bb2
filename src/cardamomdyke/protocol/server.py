"""Server of the Thrift messages between VMs."""

from collections.abc import Awaitable, Callable
from typing import Any

from tornado.web import Application

from cardamomdyke.protocol.bodies import BodyHandler
from cardamomdyke.protocol.client import MEDIA_TYPE
from cardamomdyke.protocol.codec import (
    MalformedMessageError,
    decode_message,
    encode_message,
)
from cardamomdyke.protocol.progress import Progress

PeerMethod = Callable[[Any], Awaitable[Any]]


class PeerHandler(BodyHandler):
    """Decodes a struct, calls one method and sends its reply."""

    def initialize(
        self,
        method: PeerMethod,
        message_type: type,
        progress: Progress,
        body_limit_bytes: int,
    ) -> None:
        """Set the method of this URL and its message struct."""
        self.progress = progress
        self.body_limit_bytes = body_limit_bytes
        self.method = method
        self.message_type = message_type

    def set_default_headers(self) -> None:
        """Omit headers that VMs do not use and that enlarge gossip replies."""
        self.clear_header("Server")
        self.clear_header("Date")

    def compute_etag(self) -> None:
        """Omit the entity tag, which VMs do not use."""

    def prepare(self) -> None:
        """Read the body; a call counts only once that is complete."""
        self.start_body()

    def find_body_limit(self) -> int:
        """Return the limit of a message, in bytes."""
        return self.body_limit_bytes

    def refuse_large_body(self) -> None:
        """Reply that the message exceeds the limit."""
        self.set_status(413)
        self.finish(f"the message is over {self.body_limit_bytes} bytes")

    async def post(self) -> None:
        """Answer one call from another VM."""
        self.start_counting()
        try:
            message: Any = decode_message(self.read_body(), self.message_type)
        except MalformedMessageError as error:
            self.set_status(400)
            self.finish(f"malformed {self.message_type.__name__}: {error}")
            return
        reply = await self.method(message)
        self.set_header("Content-Type", MEDIA_TYPE)
        self.finish(encode_message(reply))


def make_peer_application(
    methods: dict[str, tuple[PeerMethod, type]],
    progress: Progress,
    body_limit_bytes: int,
) -> Application:
    """Create the web application that serves other VMs.

    Parameters
    ----------
    methods : dict of str to (callable, type)
        Coroutine function and message struct by method name.
    progress : Progress
        Counts the calls in progress.
    body_limit_bytes : int
        Limit of a message.

    Returns
    -------
    Application
        Serves ``POST /peer/<name>``.
    """
    return Application(
        [
            (
                f"/peer/{name}",
                PeerHandler,
                {
                    "method": method,
                    "message_type": message_type,
                    "progress": progress,
                    "body_limit_bytes": body_limit_bytes,
                },
            )
            for name, (method, message_type) in methods.items()
        ],
        log_function=lambda handler: None,
    )
