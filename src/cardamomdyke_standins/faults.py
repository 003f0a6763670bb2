"""Faults that can be switched on in every stand-in."""

import asyncio
from dataclasses import dataclass, replace

from msgspec.json import decode
from tornado.web import RequestHandler


@dataclass(frozen=True, slots=True)
class Faults:
    """Current faults of a stand-in.

    Attributes
    ----------
    delay_seconds : float
        Delay before each answer, in seconds.
    down : bool
        Answer 503 to everything.
    silent : bool
        Never answer on connections in use when this was set.
    lose_answers : int
        Number of next state-changing calls that take effect unanswered.
    fail_tasks : bool
        Fail every task and short request.
    hold_starts : bool
        Delay the starts of gang members, without effect, until switched off.
    """

    delay_seconds: float = 0.0
    down: bool = False
    silent: bool = False
    lose_answers: int = 0
    fail_tasks: bool = False
    hold_starts: bool = False


class FaultControl:
    """Holds the faults of a stand-in and its silent connections."""

    def __init__(self) -> None:
        self.faults = Faults()
        self.known_connections: set[object] = set()
        self.silent_connections: set[object] = set()

    def set_faults(self, faults: Faults) -> None:
        """Replace the faults; `silent` silences the connections known so far."""
        self.faults = faults
        if faults.silent:
            self.silent_connections |= self.known_connections
        else:
            self.silent_connections.clear()

    def take_lost_answer(self) -> bool:
        """Count down `lose_answers`; return False when it is already 0."""
        if self.faults.lose_answers < 1:
            return False
        remaining = self.faults.lose_answers - 1
        self.faults = replace(self.faults, lose_answers=remaining)
        return True


class FaultyHandler(RequestHandler):
    """Base class of the handlers that show faults."""

    control: FaultControl

    def initialize(self, control: FaultControl, **attributes: object) -> None:
        """Set all arguments as attributes."""
        self.control = control
        for name, value in attributes.items():
            setattr(self, name, value)

    async def prepare(self) -> None:
        """Apply the faults that precede the effect of a call."""
        connection = self.request.connection
        self.control.known_connections.add(getattr(connection, "stream", connection))
        if getattr(connection, "stream", connection) in self.control.silent_connections:
            await asyncio.Event().wait()
        if self.control.faults.delay_seconds:
            await asyncio.sleep(self.control.faults.delay_seconds)
        if self.control.faults.down:
            self.set_status(503)
            self.finish("down")

    def finish_change(self, body: bytes) -> None:
        """Answer a state-changing call, or lose the answer."""
        if self.control.take_lost_answer():
            self.request.connection.stream.close()  # type: ignore[union-attr]
            return
        self.finish(body)


class FaultsHandler(RequestHandler):
    """``PUT /faults`` replaces the stand-in's faults."""

    def initialize(self, control: FaultControl) -> None:
        """Set the fault control."""
        self.control = control

    def put(self) -> None:
        """Decode and set the faults."""
        self.control.set_faults(decode(self.request.body, type=Faults))
        self.finish(b"{}")
