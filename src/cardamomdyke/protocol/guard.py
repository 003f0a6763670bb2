"""Applies the decisions of `InputBudget` to the connections of a daemon."""

import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from tornado.ioloop import PeriodicCallback

from cardamomdyke.protocol.budget import (
    CONNECTION_BYTES,
    FIELD_BYTES,
    REQUEST_BYTES,
    Holding,
    InputBudget,
    Phase,
)
from cardamomdyke.protocol.limits import (
    InputLimits,
    PortClass,
    RequestLimits,
    VmLimits,
    make_input_limits,
    read_descriptor_limit,
)

CHECK_PERIOD_MS = 500
# Pressure has ended once no connection was dropped for this long.
CALM_SECONDS = 5.0
# A longer time between two checks is a pause of the process.
PAUSE_SECONDS = 1.5
# At most this part of a port's connections only discard input.
DISCARDING_PART = 4
# Phases in which a read byte belongs to the request that is being served, or to none.
UNREAD_PHASES = frozenset({Phase.SERVED, Phase.ANSWER})


class Connection(Protocol):
    """What the guard needs of a connection."""

    def drop(self) -> None:
        """Close the connection at once, without an answer."""


def ignore_count(name: str) -> None:
    """Count nothing."""


def ignore_report(kind: str, subject: str, fields: dict[str, object]) -> None:
    """Report nothing."""


@dataclass
class InputGuard:
    """Owner of all input that is not yet a request.

    Attributes
    ----------
    budget : InputBudget
        Accounts, and decisions.
    read_limits : callable
        Returns the limits of requests that are in force.
    report : callable
        Called with kind, subject and fields at each change of state.
    count : callable
        Called with ``connections.PORT.REASON`` for each dropped connection.
    clock : callable
        Steady clock, in seconds.
    connections : dict of Holding to Connection
        Open connections.
    discarding : int
        Connections that only discard input.
    counts : Counter of str to int
        Dropped connections by ``PORT.REASON``.
    pressed_at : dict of PortClass to float
        Last drop for lack of room, by port under pressure.
    checked_at : float
        Last check of the time limits, in seconds of `clock`.
    """

    budget: InputBudget
    read_limits: Callable[[], RequestLimits]
    report: Callable[[str, str, dict[str, object]], None] = ignore_report
    count: Callable[[str], None] = ignore_count
    clock: Callable[[], float] = time.monotonic
    connections: dict[Holding, Connection] = field(default_factory=dict)
    discarding: int = 0
    counts: Counter[str] = field(default_factory=Counter)
    pressed_at: dict[PortClass, float] = field(default_factory=dict)
    checked_at: float = float("inf")
    timer: PeriodicCallback | None = None

    def start(self) -> None:
        """Check time limits periodically; requires a running event loop."""
        if self.timer is None:
            self.timer = PeriodicCallback(self.check_connections, CHECK_PERIOD_MS)
            self.timer.start()

    def admit(self, port: PortClass, address: str) -> Holding:
        """Account for an accepted connection; `register` has to follow."""
        holding, dropped = self.budget.open(port, address, self.clock())
        self.drop(dropped)
        return holding

    def register(self, holding: Holding, connection: Connection) -> None:
        """Set the object that closes a connection."""
        if holding.is_open:
            self.connections[holding] = connection

    def release(self, holding: Holding) -> None:
        """Stop accounting for a connection that is closed."""
        self.connections.pop(holding, None)
        if holding.is_open and holding.phase is Phase.DISCARDED:
            self.discarding -= 1
        self.budget.close(holding)

    def begin_request(self, holding: Holding, unread_bytes: int) -> None:
        """Account for the end of a request and the wait for the next one."""
        held = CONNECTION_BYTES + holding.buffer_bytes + unread_bytes
        holding.enter(Phase.HEADERS if unread_bytes else Phase.IDLE, self.clock())
        self.drop(self.budget.hold(holding, held - holding.held_bytes, holding.since))

    def receive(self, holding: Holding, count: int) -> None:
        """Account for received bytes."""
        now = self.clock()
        if holding.phase is Phase.IDLE:
            holding.enter(Phase.HEADERS, now)
        if holding.phase not in UNREAD_PHASES:
            holding.moved_bytes += count
        self.drop(self.budget.hold(holding, count, now))

    def begin_body(self, holding: Holding, field_count: int, unread_bytes: int) -> None:
        """Account for decoded headers, which a part of the body may follow."""
        now = self.clock()
        holding.enter(Phase.BODY, now)
        holding.moved_bytes = unread_bytes
        amount = REQUEST_BYTES + FIELD_BYTES * field_count
        self.drop(self.budget.hold(holding, amount, now))

    def begin_service(self, holding: Holding) -> None:
        """Note that a request is complete and will be served."""
        holding.enter(Phase.SERVED, self.clock())

    def begin_answer(
        self, holding: Holding, count: int, is_interim: bool = False
    ) -> None:
        """Account for an answer that is being written; the body follows an interim."""
        now = self.clock()
        if not is_interim and holding.phase is not Phase.ANSWER:
            holding.enter(Phase.ANSWER, now)
        self.drop(self.budget.hold(holding, count, now))

    def send(self, holding: Holding, count: int) -> None:
        """Account for sent bytes of an answer."""
        if holding.phase is Phase.ANSWER:
            holding.moved_bytes += count
        self.budget.hold(holding, -count, 0.0)

    def begin_discarding(self, holding: Holding) -> bool:
        """Account for a connection that only discards input; False if too many do."""
        bounds = self.budget.limits.ports[holding.port]
        is_full = self.discarding >= bounds.connections // DISCARDING_PART
        if is_full or not holding.is_open:
            return False
        self.begin_request(holding, 0)
        holding.enter(Phase.DISCARDED, self.clock())
        self.discarding += 1
        return True

    def assign_account(self, holding: Holding, account: str) -> None:
        """Set the client account of a connection."""
        self.drop(self.budget.assign_account(holding, account, self.clock()))

    def drop(self, dropped: list[Holding], reason: str = "no_room") -> None:
        """Close connections that the budget has removed."""
        for holding in dropped:
            self.counts[f"{holding.port}.{reason}"] += 1
            self.count(f"connections.{holding.port}.{reason}")
            if holding.phase is Phase.DISCARDED:
                self.discarding -= 1
            connection = self.connections.pop(holding, None)
            if connection is not None:
                connection.drop()
        if dropped and reason == "no_room":
            self.note_pressure(dropped[0].port)

    def reject(self, holding: Holding, reason: str) -> None:
        """Drop a connection that exceeds one of its own limits."""
        self.budget.close(holding)
        self.drop([holding], reason)

    def note_pressure(self, port: PortClass) -> None:
        """Report the begin of pressure on a port."""
        is_new = port not in self.pressed_at
        self.pressed_at[port] = self.clock()
        if is_new:
            self.report("clients.pressure_began", port, self.describe(port))

    def describe(self, port: PortClass) -> dict[str, object]:
        """Return what the connections of a port hold, and their bounds."""
        usage = self.budget.groups.get(("port", port, ""))
        members = usage.members if usage else ()
        bounds = self.budget.limits.ports[port]
        return {
            "held_bytes": usage.held_bytes if usage else 0,
            "most_bytes": bounds.held_bytes,
            "connections": len(members),
            "buffer_bytes": sum(holding.buffer_bytes for holding in members),
            "most_connections": bounds.connections,
            "dropped": self.counts[f"{port}.no_room"],
        }

    def check_connections(self) -> None:
        """Drop overdue connections, and report the end of pressure."""
        self.budget.requests = self.read_limits()
        now = self.clock()
        # Input that arrived during a pause of the process has to be read first.
        was_paused = now - self.checked_at > PAUSE_SECONDS
        self.checked_at = now
        for holding in [] if was_paused else self.budget.list_overdue(now):
            self.reject(holding, f"late_{holding.phase}")
        for port, pressed_at in list(self.pressed_at.items()):
            if now - pressed_at > CALM_SECONDS:
                del self.pressed_at[port]
                self.report("clients.pressure_ended", port, self.describe(port))


def make_guard(
    limits: InputLimits,
    read_limits: Callable[[], RequestLimits],
    report: Callable[[str, str, dict[str, object]], None] = ignore_report,
    count: Callable[[str], None] = ignore_count,
) -> InputGuard:
    """Create the guard of a daemon's listening ports."""
    base = read_limits()
    return InputGuard(InputBudget(limits, base, base), read_limits, report, count)


def make_default_guard() -> InputGuard:
    """Create a guard with the limits of the smallest VM."""
    vm = VmLimits()
    limits = make_input_limits(vm.memory_mb, read_descriptor_limit(vm.file_descriptors))
    return make_guard(limits, RequestLimits)
