"""The project's stand-in platform, faster, and with backend servers that can leave.

It looks at a server's runs only when one of them is due, and for new ends each 0.1 s,
since thousands of runs would otherwise make the stand-in the slowest part.

``PUT /drain`` at a server makes it publish that it drains, and answers with the
steady-clock time at which the store has taken the entry. It serves on after that.
"""

import time
from typing import Any

from fire import Fire
from msgspec.json import decode, encode
from tornado.web import Application, RequestHandler

from cardamomdyke_standins import platform

PLAIN_ENTRY = platform.make_entry
PlainServer = platform.PlatformServer
# `drain_ms` of vjf-orders-grown: the least time that a draining server stays.
DRAIN_MS = 3000
TICK_PERIOD_SECONDS = 0.1


class Stores:
    """The store of this process."""

    store: platform.Store


class KeptStore(platform.Store):
    """A store that handlers can find."""

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        Stores.store = self


class QuickServer(PlainServer):
    """A server that knows when its next run is due."""

    due_at = 0.0

    def advance(self, now: float) -> None:
        """End the runs that are due; gangs are looked at each time."""
        if now < self.due_at and self.read_clock(now) < self.lease_until:
            return
        super().advance(now)
        self.due_at = min(map(self.find_due, self.runs.values()), default=now)

    def find_due(self, item: platform.Run) -> float:
        """Return when a run may have to be looked at."""
        if item.plan.gang or item.working_since is None or self.faulty:
            return 0.0
        end = item.working_since + item.plan.seconds * self.slowness - item.saved_work
        return end if item.stops_at is None else min(end, item.stops_at)

    def start(self, task: Any, *arguments: Any) -> None:
        """Start a run."""
        super().start(task, *arguments)
        self.due_at = min(self.due_at, self.find_due(self.runs[task]))

    def stop(self, task: Any, run: int, fence: int, now: float) -> None:
        """Stop a run."""
        super().stop(task, run, fence, now)
        if task in self.runs:
            self.due_at = min(self.due_at, self.find_due(self.runs[task]))


class DrainHandler(RequestHandler):
    """``PUT /drain`` makes a server publish that it leaves."""

    def initialize(self, server: platform.PlatformServer) -> None:
        """Set the server."""
        self.server = server

    def put(self) -> None:
        """Publish the entry at once."""
        self.server.draining = True
        entry = make_entry(self.server, self.get_query_argument("address"))
        Stores.store.put("keyed.servers", self.server.name, entry)
        self.finish(encode({"at": time.monotonic()}))


def make_entry(server: platform.PlatformServer, address: str) -> bytes:
    """Return the store entry of a server, with its remaining time if it drains."""
    entry = decode(PLAIN_ENTRY(server, address))
    if server.draining:
        entry["remaining_ms"] = DRAIN_MS
    return encode(entry)


def make_application(handlers: list[Any], **settings: Any) -> Application:
    """Create a web application; that of a server gets the further call."""
    for pattern, _, arguments in list(handlers):
        if pattern == "/life":
            handlers.append((r"/drain", DrainHandler, arguments))
    return Application(handlers, **settings)


if __name__ == "__main__":
    platform.TICK_PERIOD_SECONDS = TICK_PERIOD_SECONDS
    platform.Store = KeptStore
    platform.PlatformServer = QuickServer
    platform.Application = make_application
    platform.make_entry = make_entry
    Fire(platform.main)
