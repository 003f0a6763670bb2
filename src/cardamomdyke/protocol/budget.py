"""Accounts for input that is not yet a request, and decides who is dropped.

The state does no input or output and takes the time as an argument.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import StrEnum

from cardamomdyke.protocol.limits import (
    RECEIVE_BUFFER_BYTES,
    InputLimits,
    PortClass,
    RequestLimits,
)

# The kernel keeps up to this many times the size of a receive buffer.
KERNEL_FACTOR = 2
# Memory of an open connection with its receive buffer, and of the objects of a request
# and a header field.
CONNECTION_BYTES = 8192 + KERNEL_FACTOR * RECEIVE_BUFFER_BYTES
REQUEST_BYTES = 4096
FIELD_BYTES = 400
# Under pressure this part of a bound is freed at once, so that the search for the
# connections to drop is not repeated for every byte.
RELIEF_PART = 16
# Receive buffers are enlarged up to this part of a bound, so that they never make the
# guard drop a connection.
ENLARGING_PART = 2
# Weight of a connection that has only begun, in seconds.
INITIAL_AGE_SECONDS = 0.1


class Phase(StrEnum):
    """What a connection does."""

    IDLE = "idle"
    HEADERS = "headers"
    BODY = "body"
    SERVED = "served"
    ANSWER = "answer"
    DISCARDED = "discarded"


Group = tuple[str, PortClass, str]


@dataclass(slots=True, eq=False)
class Holding:
    """What one connection holds.

    Attributes
    ----------
    port : PortClass
        Kind of port that accepted it.
    since : float
        Start of the phase, in seconds.
    groups : list of GroupUsage
        Groups whose bounds it counts against: its client account if that is known,
        its client address and its port.
    held_bytes : int
        Bytes that the connection holds, with the memory of its objects.
    moved_bytes : int
        Bytes received, or sent, in this phase.
    phase : Phase
        What the connection does.
    is_open : bool
        False once the connection was dropped or closed.
    buffer_bytes : int
        Further bytes that the kernel may keep in an enlarged receive buffer.
    """

    port: PortClass
    since: float
    groups: list["GroupUsage"] = field(default_factory=list)
    held_bytes: int = CONNECTION_BYTES
    moved_bytes: int = 0
    phase: Phase = Phase.IDLE
    is_open: bool = True
    buffer_bytes: int = 0

    def weigh(self, now: float) -> float:
        """Return the bytes held times the seconds without progress to a request."""
        return self.held_bytes * (now - self.since + INITIAL_AGE_SECONDS)

    def enter(self, phase: Phase, now: float) -> None:
        """Begin a phase."""
        self.phase = phase
        self.since = now
        self.moved_bytes = 0


@dataclass(slots=True, eq=False)
class GroupUsage:
    """What the connections of a port, client address or client account hold.

    Attributes
    ----------
    group : tuple of (str, PortClass, str)
        Kind of the group, port, and address or account.
    most_bytes : int
        Most bytes that they hold together.
    most_connections : int
        Most open connections.
    held_bytes : int
        Bytes held.
    members : dict of Holding to None
        Open connections, in the order of their start.
    """

    group: Group
    most_bytes: int
    most_connections: int
    held_bytes: int = 0
    members: dict[Holding, None] = field(default_factory=dict)

    def is_over(self) -> bool:
        """Return whether a bound is exceeded."""
        return (
            self.held_bytes > self.most_bytes
            or len(self.members) > self.most_connections
        )


@dataclass
class InputBudget:
    """Memory and connections of all listening ports of a daemon.

    Attributes
    ----------
    limits : InputLimits
        Limits of each kind of port.
    base_requests : RequestLimits
        Limits of one request or connection at all ports but those for callers.
    requests : RequestLimits
        The same at the ports for callers; replaced with the configuration.
    holdings : dict of Holding to None
        Open connections, in the order of their start.
    groups : dict of tuple to GroupUsage
        What each port, client address and client account holds.
    relayed_bytes : int
        Bytes of requests that are being relayed.
    """

    limits: InputLimits
    base_requests: RequestLimits
    requests: RequestLimits
    holdings: dict[Holding, None] = field(default_factory=dict)
    groups: dict[Group, GroupUsage] = field(default_factory=dict)
    relayed_bytes: int = 0

    def open(
        self, port: PortClass, address: str, now: float
    ) -> tuple[Holding, list[Holding]]:
        """Add a connection.

        Parameters
        ----------
        port : PortClass
            Kind of port that accepted it.
        address : str
            IP address of the client.
        now : float
            Time, in seconds.

        Returns
        -------
        tuple of (Holding, list of Holding)
            The connection, and those to drop for it; it may be among them.
        """
        holding = Holding(port, now)
        self.holdings[holding] = None
        for group in (("address", port, address), ("port", port, "")):
            self.join(group, holding)
        return holding, self.relieve(holding, now)

    def hold(self, holding: Holding, amount: int, now: float) -> list[Holding]:
        """Change what a connection holds; return the connections to drop.

        Parameters
        ----------
        holding : Holding
            The connection; one that was dropped or closed changes nothing.
        amount : int
            Further bytes; negative for bytes that are no longer held.
        now : float
            Time, in seconds.
        """
        if not holding.is_open:
            return []
        holding.held_bytes += amount
        is_over = False
        for usage in holding.groups:
            usage.held_bytes += amount
            is_over = is_over or usage.held_bytes > usage.most_bytes
        return self.relieve(holding, now) if is_over and amount > 0 else []

    def enlarge_buffer(self, holding: Holding) -> bool:
        """Reserve an enlarged receive buffer until the end of a connection.

        Returns
        -------
        bool
            False if there is no room, or the buffer is enlarged already.
        """
        amount = KERNEL_FACTOR * self.base_requests.body_buffer_bytes
        has_room = all(
            usage.held_bytes + amount <= usage.most_bytes // ENLARGING_PART
            for usage in holding.groups
        )
        if not holding.is_open or holding.buffer_bytes or not has_room:
            return False
        holding.buffer_bytes = amount
        self.hold(holding, amount, 0.0)
        return True

    def assign_account(
        self, holding: Holding, account: str, now: float
    ) -> list[Holding]:
        """Set the client account of a connection; return the connections to drop."""
        group = ("account", holding.port, account)
        first = holding.groups[0] if holding.is_open else None
        if first is None or first.group == group:
            return []
        if first.group[0] == "account":
            holding.groups.remove(first)
            self.leave(first, holding)
        if not account:
            return []
        self.join(group, holding)
        holding.groups.insert(0, holding.groups.pop())
        return self.relieve(holding, now)

    def join(self, group: Group, holding: Holding) -> None:
        """Add a connection to a group."""
        usage = self.groups.get(group)
        if usage is None:
            usage = GroupUsage(group, *self.find_bounds(group))
            self.groups[group] = usage
        usage.members[holding] = None
        usage.held_bytes += holding.held_bytes
        holding.groups.append(usage)

    def leave(self, usage: GroupUsage, holding: Holding) -> None:
        """Take a connection out of a group, which is forgotten with its last one."""
        del usage.members[holding]
        usage.held_bytes -= holding.held_bytes
        if not usage.members:
            del self.groups[usage.group]

    def close(self, holding: Holding) -> None:
        """Remove a connection; further calls do nothing."""
        if not holding.is_open:
            return
        holding.is_open = False
        del self.holdings[holding]
        for usage in holding.groups:
            self.leave(usage, holding)

    def relieve(self, newest: Holding, now: float) -> list[Holding]:
        """Remove connections until all bounds hold that the newest change touches.

        Parameters
        ----------
        newest : Holding
            Connection whose change may have exceeded a bound.
        now : float
            Time, in seconds.

        Returns
        -------
        list of Holding
            Connections to drop. They hold most and have progressed least. Requests
            that are being served are never dropped.
        """
        dropped: list[Holding] = []
        for usage in tuple(newest.groups):
            if not newest.is_open:
                break
            if not usage.is_over():
                continue
            aim_bytes = usage.most_bytes - usage.most_bytes // RELIEF_PART
            aim_connections = usage.most_connections
            if len(usage.members) > aim_connections:
                aim_connections -= aim_connections // RELIEF_PART
            for holding in rank_holdings(usage.members, now):
                if (
                    usage.held_bytes <= aim_bytes
                    and len(usage.members) <= aim_connections
                ):
                    break
                self.close(holding)
                dropped.append(holding)
        return dropped

    def find_bounds(self, group: Group) -> tuple[int, int]:
        """Return the most bytes and connections of a group."""
        kind, port, _ = group
        bounds = self.limits.ports[port]
        if kind == "address":
            share = self.base_requests.address_share
            return int(bounds.held_bytes * share), int(bounds.connections * share)
        if kind == "account":
            share = self.base_requests.account_share
            return int(bounds.held_bytes * share), bounds.connections
        return bounds.held_bytes, bounds.connections

    def list_overdue(self, now: float) -> list[Holding]:
        """Return the connections that exceed a time limit or stay below the rate."""
        return [holding for holding in self.holdings if self.is_overdue(holding, now)]

    def is_overdue(self, holding: Holding, now: float) -> bool:
        """Return whether a connection exceeds a time limit or stays below the rate."""
        requests = self.find_requests(holding.port)
        elapsed = now - holding.since
        if holding.phase is Phase.IDLE:
            return elapsed > requests.idle_seconds
        if holding.phase is Phase.HEADERS:
            return elapsed > requests.header_seconds
        if holding.phase in (Phase.BODY, Phase.ANSWER):
            due = requests.bytes_per_second * (elapsed - requests.grace_seconds)
            return holding.moved_bytes < due
        return False

    def find_requests(self, port: PortClass) -> RequestLimits:
        """Return the limits of one request or connection at a kind of port."""
        return self.requests if port is PortClass.CALLERS else self.base_requests

    def reserve_relay(self, amount: int) -> bool:
        """Reserve bytes for a request to relay; False while there is no room."""
        if self.relayed_bytes + amount > self.limits.relay_bytes and self.relayed_bytes:
            return False
        self.relayed_bytes += amount
        return True

    def release_relay(self, amount: int) -> None:
        """Release the bytes of a relayed request."""
        self.relayed_bytes -= amount


def rank_holdings(holdings: Iterable[Holding], now: float) -> list[Holding]:
    """Return the connections that may be dropped, the heaviest first."""
    droppable = [item for item in holdings if item.phase is not Phase.SERVED]
    return sorted(droppable, key=lambda item: item.weigh(now), reverse=True)
