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

SWEEP_PERIOD_SECONDS = 5.0
# Reads of the few servers that a previous planner's jobs wait for.
URGENT_READ_PERIOD_SECONDS = 0.5
# Sweeps of a VM that has just become the planner.
TAKEOVER_SWEEP_PERIOD_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class InventoryReading:
    """An inventory and the time of the request for it.

    Attributes
    ----------
    inventory : Inventory or None
        None when the backend server did not answer.
    requested_at : float
        Steady-clock seconds.
    """

    inventory: Inventory | None
    requested_at: float


@dataclass
class Inventories:
    """Newest inventory of each backend server of the failure domain.

    Times are steady-clock seconds; minus infinity means never.

    Attributes
    ----------
    node : Node
        The daemon's shared state.
    newest : dict of str to InventoryReading
        By name of the backend server.
    swept_at : float
        Start of the last sweep.
    urgent_read_at : float
        Start of the last read of single servers.
    """

    node: Node
    newest: dict[str, InventoryReading] = field(default_factory=dict)
    swept_at: float = float("-inf")
    urgent_read_at: float = float("-inf")

    def list_pools(self) -> list[Pool]:
        """Return the pools of the own failure domain."""
        configuration = self.node.configuration
        if configuration is None:
            return []
        own_domain = self.node.settings.failure_domain
        return [p for p in configuration.tables.pools if p.failure_domain == own_domain]

    def find_servers(self) -> dict[str, BackendServer]:
        """Return the backend servers of the own failure domain, by name."""
        return {s.name: s for pool in self.list_pools() for s in pool.servers}

    async def sweep(self) -> None:
        """Read all inventories concurrently."""
        self.swept_at = self.node.clock()
        servers = self.find_servers()
        self.newest = {n: r for n, r in self.newest.items() if n in servers}
        await asyncio.gather(*(self.read_server(s) for s in servers.values()))

    async def read_servers(self, names: Iterable[str]) -> None:
        """Read the inventories of some servers concurrently."""
        self.urgent_read_at = self.node.clock()
        servers = self.find_servers()
        chosen = [servers[name] for name in sorted(names) if name in servers]
        await asyncio.gather(*(self.read_server(server) for server in chosen))

    def record_unreachable(self, server: str) -> None:
        """Exclude a server that refused a connection until its next inventory."""
        self.newest[server] = InventoryReading(None, self.node.clock())

    async def read_server(self, server: BackendServer) -> None:
        """Read one inventory and store its start ticket."""
        requested_at = self.node.clock()
        result = await self.node.backend.read_inventory(server.address)
        inventory = result.ok if result.is_ok() else None
        before = self.newest.get(server.name)
        self.newest[server.name] = InventoryReading(inventory, requested_at)
        if inventory is not None:
            self.node.update_ticket(server.name, inventory.ticket)
        if (before is None or before.inventory is None) != (inventory is None):
            kind = "inventory.read" if inventory else "inventory.unreachable"
            self.node.timeline.record_change(kind, server.name)

    def list_unusable(self, pool: Pool) -> frozenset[str]:
        """Return the backend servers of a pool that accept no new tasks."""
        return frozenset(s.name for s in pool.servers if not self.check_usable(s.name))

    def check_usable(self, server: str) -> bool:
        """Return whether a server answers and is neither draining nor leaving."""
        machine = self.node.machines.get(server)
        if machine is not None and machine.state is MachineState.LEAVING:
            return False
        reading = self.newest.get(server)
        if reading is None or reading.inventory is None:
            return False
        return not reading.inventory.draining

    def list_reports(self) -> list[tuple[str, TaskReport]]:
        """Return the tasks of all inventories with their server names."""
        return [
            (name, task)
            for name, reading in self.newest.items()
            if reading.inventory is not None
            for task in reading.inventory.tasks
        ]

    def check_read_since(self, servers: Iterable[str], since: float) -> bool:
        """Return whether each server answered a request sent since a time."""
        known = self.find_servers()
        for name in servers:
            reading = self.newest.get(name)
            if name not in known:
                # It left the tables and can no longer be read.
                continue
            if (
                reading is None
                or reading.inventory is None
                or reading.requested_at < since
            ):
                return False
        return True


def make_observed_member(server: str, report: TaskReport) -> ObservedMember:
    """Create an observed member from a task of an inventory."""
    return ObservedMember(
        member=report.member,
        placement=MemberPlacement(server, report.accelerators),
        state=AnswerKind(report.state.value),
        confirmed=report.confirmed,
        borrowed=report.borrowed,
        epoch=report.epoch,
    )
