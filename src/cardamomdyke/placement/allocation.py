"""Accelerators of a pool, by who holds them, while a plan is made."""

from dataclasses import dataclass, field

from cardamomdyke.model.jobs import Adjacency, JobSpecification, MemberPlacement
from cardamomdyke.model.tables import BackendServer, Pool
from cardamomdyke.placement.cells import (
    CellMap,
    add_cells,
    group_racks,
    map_pool,
)
from cardamomdyke.placement.plan import PlacedGang, PoolState

# Cost of a gang that is stopping already: above a free cell, which needs no wait,
# and below any gang that still runs.
STOPPING_COST = 1e-3


@dataclass
class Borrower:
    """A borrowed gang and what its preemption would cost.

    Attributes
    ----------
    job_id : str
        Id of the job.
    cells : CellMap
        Accelerators that it holds.
    cost : float
        Accelerator seconds that its stop would lose.
    started_at : float
        Monotonic time of its start, in seconds.
    queued_at : float
        Monotonic time of the job's arrival, in seconds.
    stopping : bool
        True once it is ordered to stop.
    """

    job_id: str
    cells: CellMap
    cost: float
    started_at: float
    queued_at: float
    stopping: bool


@dataclass
class Allocation:
    """Working state of one plan.

    Attributes
    ----------
    pool : Pool
        Capacity and guarantees.
    servers : dict of str to BackendServer
        Backend servers that take new work.
    racks : dict of str to list of str
        Names of these backend servers, by rack.
    unusable : frozenset of str
        Backend servers that take nothing new.
    free : CellMap
        Accelerators that nobody holds or was promised in this plan.
    used : dict of str to CellMap
        Accelerators of guaranteed work, with what this plan promised to it.
    borrowers : dict of str to Borrower
        Borrowed gangs, by job id.
    holders : dict of str to dict of str to int
        Masks of borrowed gangs by backend server and job id.
    costs : dict of str to float
        Cost of reclaiming a whole backend server.
    occupied : CellMap
        Accelerators that borrowed gangs hold.
    promised : CellMap
        Accelerators that this plan gave to a job.
    """

    pool: Pool
    servers: dict[str, BackendServer]
    racks: dict[str, list[str]]
    unusable: frozenset[str]
    free: CellMap
    used: dict[str, CellMap] = field(default_factory=dict)
    borrowers: dict[str, Borrower] = field(default_factory=dict)
    holders: dict[str, dict[str, int]] = field(default_factory=dict)
    costs: dict[str, float] = field(default_factory=dict)
    occupied: CellMap = field(default_factory=dict)
    promised: CellMap = field(default_factory=dict)


def make_allocation(state: PoolState, now: float, restart_seconds: float) -> Allocation:
    """Enter the gangs of a pool.

    Parameters
    ----------
    state : PoolState
        Capacity and placed gangs.
    now : float
        Monotonic time, in seconds.
    restart_seconds : float
        Work that each member loses in a stop and a new start.

    Returns
    -------
    Allocation
        State before any decision.
    """
    usable = [s for s in state.pool.servers if s.name not in state.unusable]
    allocation = Allocation(
        pool=state.pool,
        servers={server.name: server for server in usable},
        racks={
            rack: [server.name for server in servers]
            for rack, servers in group_racks(usable).items()
        },
        unusable=state.unusable,
        free=map_pool(state.pool, state.unusable),
    )
    for gang in state.placed:
        enter_gang(allocation, gang, now, restart_seconds)
    for borrower in allocation.borrowers.values():
        add_cost(allocation, borrower, borrower.cost)
    return allocation


def enter_gang(
    allocation: Allocation, gang: PlacedGang, now: float, restart_seconds: float
) -> None:
    """Enter one gang that holds accelerators."""
    cells: CellMap = {}
    add_cells(cells, gang.placements)
    remove_free(allocation, cells)
    if not gang.borrowed:
        account = gang.specification.client_account
        add_cells(allocation.used.setdefault(account, {}), gang.placements)
        return
    borrower = Borrower(
        gang.job_id,
        cells,
        measure_loss(gang, now, restart_seconds),
        gang.started_at,
        gang.queued_at,
        gang.stopping,
    )
    allocation.borrowers[gang.job_id] = borrower
    for server, mask in cells.items():
        allocation.holders.setdefault(server, {})[gang.job_id] = mask
        allocation.occupied[server] = allocation.occupied.get(server, 0) | mask


def measure_loss(gang: PlacedGang, now: float, restart_seconds: float) -> float:
    """Return the accelerator seconds that a stop would lose.

    The reported age can lag, so it is never taken to be more than the run time.
    """
    if gang.stopping:
        return STOPPING_COST
    age = min(gang.checkpoint_age_seconds, max(now - gang.started_at, 0.0))
    size = gang.specification.accelerators_per_task * len(gang.placements)
    return size * (age + restart_seconds)


def add_cost(allocation: Allocation, borrower: Borrower, cost: float) -> None:
    """Change the cost of reclaiming the backend servers of a borrowed gang."""
    for server in borrower.cells:
        allocation.costs[server] = allocation.costs.get(server, 0.0) + cost


def remove_free(allocation: Allocation, cells: CellMap) -> None:
    """Take accelerators off the free ones."""
    for server, mask in cells.items():
        if server in allocation.free:
            allocation.free[server] &= ~mask


def promise_cells(
    allocation: Allocation, account: str, placements: tuple[MemberPlacement, ...]
) -> None:
    """Give accelerators to a client account's guaranteed work."""
    add_cells(allocation.used.setdefault(account, {}), placements)
    hold_cells(allocation, placements)


def hold_cells(allocation: Allocation, placements: tuple[MemberPlacement, ...]) -> None:
    """Keep accelerators from the rest of the plan."""
    add_cells(allocation.promised, placements)
    remove_free(allocation, allocation.promised)


def stop_borrower(allocation: Allocation, job_id: str) -> bool:
    """Mark a borrowed gang as stopping; False when it was stopping already."""
    borrower = allocation.borrowers[job_id]
    if borrower.stopping:
        return False
    add_cost(allocation, borrower, STOPPING_COST - borrower.cost)
    borrower.cost = STOPPING_COST
    borrower.stopping = True
    return True


def list_groups(
    allocation: Allocation, specification: JobSpecification
) -> list[list[str]]:
    """Return the groups of backend servers that may hold one whole gang."""
    if specification.gang_size == 1 or specification.adjacency is Adjacency.NONE:
        return [list(allocation.servers)]
    if specification.adjacency is Adjacency.RACK:
        return list(allocation.racks.values())
    return [[name] for name in allocation.servers]
