"""Server of the Thrift messages between VMs."""

from collections.abc import Awaitable, Callable
from typing import Any

from tornado.web import Application

from cardamomdyke.protocol.client import MEDIA_TYPE
from cardamomdyke.protocol.codec import (
    MalformedMessageError,
    decode_message,
    encode_message,
)
from cardamomdyke.protocol.progress import CountedHandler, Progress

PeerMethod = Callable[[Any], Awaitable[Any]]


class PeerHandler(CountedHandler):
    """Decodes a struct, calls one method and sends its reply."""

    def initialize(
        self, method: PeerMethod, message_type: type, progress: Progress
    ) -> None:
        """Set the method of this URL and its message struct."""
        self.progress = progress
        self.method = method
        self.message_type = message_type

    def set_default_headers(self) -> None:
        """Omit headers that VMs do not use and that enlarge gossip replies."""
        self.clear_header("Server")
        self.clear_header("Date")

    def compute_etag(self) -> None:
        """Omit the entity tag, which VMs do not use."""

    async def post(self) -> None:
        """Answer one call from another VM."""
        try:
            message: Any = decode_message(self.request.body, self.message_type)
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
) -> Application:
    """Create the web application that serves other VMs.

    Parameters
    ----------
    methods : dict of str to (callable, type)
        Coroutine function and message struct by method name.
    progress : Progress
        Counts the calls in progress.

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
                },
            )
            for name, (method, message_type) in methods.items()
        ],
        log_function=lambda handler: None,
    )
