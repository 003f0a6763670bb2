"""Reads the inventories of a failure domain's backend servers."""

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass, field

from cardamomdyke.adapters.backend import Inventory, TaskReport
from cardamomdyke.adapters.vmlist import MachineState
from cardamomdyke.daemon.node import Node
from cardamomdyke.gangs.state import AnswerKind, ObservedMember
from cardamomdyke.model.jobs import MemberPlacement
from cardamomdyke.model.tables import BackendServer, Pool

SWEEP_SECONDS = 5.0
# Between reads of the few servers that a job of a former planner waits for.
URGENT_READ_SECONDS = 0.5
# Between sweeps of a VM that has just become the planner.
FIRST_SWEEP_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class ReadInventory:
    """An inventory and the time of the call that read it.

    Attributes
    ----------
    inventory : Inventory or None
        None when the backend server did not answer.
    asked_at : float
        Monotonic time, in seconds.
    """

    inventory: Inventory | None
    asked_at: float


@dataclass
class Inventories:
    """Newest inventory of each backend server of the failure domain.

    Attributes
    ----------
    node : Node
        The daemon's shared state.
    read : dict of str to ReadInventory
        By name of the backend server.
    swept_at : float
        Monotonic time of the last sweep, in seconds.
    urgent_at : float
        Monotonic time of the last read of single servers, in seconds.
    """

    node: Node
    read: dict[str, ReadInventory] = field(default_factory=dict)
    swept_at: float = float("-inf")
    urgent_at: float = float("-inf")

    def list_pools(self) -> list[Pool]:
        """Return the pools of the own failure domain."""
        configuration = self.node.configuration
        if configuration is None:
            return []
        own = self.node.settings.failure_domain
        return [p for p in configuration.tables.pools if p.failure_domain == own]

    def find_servers(self) -> dict[str, BackendServer]:
        """Return the backend servers of the own failure domain, by name."""
        return {s.name: s for pool in self.list_pools() for s in pool.servers}

    async def sweep(self) -> None:
        """Read all inventories at the same time."""
        self.swept_at = self.node.clock()
        servers = self.find_servers()
        self.read = {n: r for n, r in self.read.items() if n in servers}
        await asyncio.gather(*(self.read_server(s) for s in servers.values()))

    async def read_servers(self, names: Iterable[str]) -> None:
        """Read the inventories of some servers at the same time."""
        self.urgent_at = self.node.clock()
        servers = self.find_servers()
        chosen = [servers[name] for name in sorted(names) if name in servers]
        await asyncio.gather(*(self.read_server(server) for server in chosen))

    def record_unreachable(self, server: str) -> None:
        """Take a server whose connection was refused out of use until it is read."""
        self.read[server] = ReadInventory(None, self.node.clock())

    async def read_server(self, server: BackendServer) -> None:
        """Read one inventory and keep its ticket."""
        asked_at = self.node.clock()
        result = await self.node.backend.read_inventory(server.address)
        inventory = result.ok if result.is_ok() else None
        before = self.read.get(server.name)
        self.read[server.name] = ReadInventory(inventory, asked_at)
        if inventory is not None:
            self.node.remember_ticket(server.name, inventory.ticket)
        if (before is None or before.inventory is None) != (inventory is None):
            kind = "inventory.read" if inventory else "inventory.unreachable"
            self.node.timeline.record_change(kind, server.name)

    def list_unusable(self, pool: Pool) -> frozenset[str]:
        """Return the backend servers that take nothing new."""
        return frozenset(s.name for s in pool.servers if not self.check_usable(s.name))

    def check_usable(self, server: str) -> bool:
        """Tell whether a backend server answers, stays and takes work."""
        machine = self.node.machines.get(server)
        if machine is not None and machine.state is MachineState.LEAVING:
            return False
        read = self.read.get(server)
        if read is None or read.inventory is None:
            return False
        return not read.inventory.draining

    def list_reports(self) -> list[tuple[str, TaskReport]]:
        """Return all members seen, with the names of their backend servers."""
        return [
            (name, task)
            for name, read in self.read.items()
            if read.inventory is not None
            for task in read.inventory.tasks
        ]

    def check_read_since(self, servers: Iterable[str], since: float) -> bool:
        """Tell whether each of the servers answered a call made since a time."""
        known = self.find_servers()
        for name in servers:
            read = self.read.get(name)
            if name not in known:
                # Its row is gone; nothing can be read there any more.
                continue
            if read is None or read.inventory is None or read.asked_at < since:
                return False
        return True


def make_observed_member(server: str, report: TaskReport) -> ObservedMember:
    """Return a member of a gang as an inventory shows it."""
    return ObservedMember(
        member=report.member,
        placement=MemberPlacement(server, report.accelerators),
        state=AnswerKind(report.state.value),
        confirmed=report.confirmed,
        borrowed=report.borrowed,
        epoch=report.epoch,
    )
