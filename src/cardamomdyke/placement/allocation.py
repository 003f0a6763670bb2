"""Which gangs hold the accelerators of a pool, updated while a plan is made."""

from dataclasses import dataclass, field

from cardamomdyke.model.jobs import Adjacency, JobSpecification, MemberPlacement
from cardamomdyke.model.tables import BackendServer, Pool
from cardamomdyke.placement.cells import (
    ServerMasks,
    add_members,
    group_racks,
    make_pool_masks,
)
from cardamomdyke.placement.plan import PlacedGang, PoolState

# Preemption cost of a gang that is already stopping: more than free accelerators,
# which need no wait, and less than any running gang.
STOPPING_COST = 1e-3


@dataclass
class Borrower:
    """A borrowed gang and what its preemption would cost.

    Attributes
    ----------
    job_id : str
        Id of the job.
    masks : dict of str to int
        Accelerators that it holds, by backend server.
    cost : float
        Accelerator seconds that its stop would lose.
    started_at : float
        Steady-clock time of its start, in seconds.
    queued_at : float
        Steady-clock time of the job's arrival, in seconds; 0 when it is not known.
    stopping : bool
        True once it is ordered to stop.
    """

    job_id: str
    masks: ServerMasks
    cost: float
    started_at: float
    queued_at: float
    stopping: bool


@dataclass
class Allocation:
    """Accelerators by holder, with the decisions of the current plan.

    Attributes
    ----------
    pool : Pool
        Capacity and guarantees.
    servers : dict of str to BackendServer
        Backend servers that accept new tasks.
    racks : dict of str to list of str
        Names of these backend servers, by rack.
    unusable : frozenset of str
        Backend servers that accept no new tasks.
    free : dict of str to int
        Accelerators that no gang holds and this plan has not reserved.
    guaranteed_work : dict of str to dict of str to int
        Accelerators of guaranteed work, with those that this plan reserved for it,
        by client account.
    borrowers : dict of str to Borrower
        Borrowed gangs, by job id.
    borrowed_by_server : dict of str to dict of str to int
        Masks of borrowed gangs by backend server and job id.
    reclaim_costs : dict of str to float
        Cost of reclaiming a whole backend server, in accelerator seconds.
    borrowed_masks : dict of str to int
        Accelerators that borrowed gangs hold.
    reserved_masks : dict of str to int
        Accelerators that this plan has reserved.
    """

    pool: Pool
    servers: dict[str, BackendServer]
    racks: dict[str, list[str]]
    unusable: frozenset[str]
    free: ServerMasks
    guaranteed_work: dict[str, ServerMasks] = field(default_factory=dict)
    borrowers: dict[str, Borrower] = field(default_factory=dict)
    borrowed_by_server: dict[str, dict[str, int]] = field(default_factory=dict)
    reclaim_costs: dict[str, float] = field(default_factory=dict)
    borrowed_masks: ServerMasks = field(default_factory=dict)
    reserved_masks: ServerMasks = field(default_factory=dict)


def make_allocation(state: PoolState, now: float, restart_seconds: float) -> Allocation:
    """Create the allocation of a pool from its placed gangs.

    Parameters
    ----------
    state : PoolState
        Capacity and placed gangs.
    now : float
        Steady-clock time, in seconds.
    restart_seconds : float
        Work that each member loses in a stop and a new start.

    Returns
    -------
    Allocation
        Allocation before the first decision of the plan.
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
        free=make_pool_masks(state.pool, state.unusable),
    )
    for gang in state.placed:
        add_gang(allocation, gang, now, restart_seconds)
    for borrower in allocation.borrowers.values():
        add_reclaim_cost(allocation, borrower, borrower.cost)
    return allocation


def add_gang(
    allocation: Allocation, gang: PlacedGang, now: float, restart_seconds: float
) -> None:
    """Record the accelerators of a placed gang."""
    masks: ServerMasks = {}
    add_members(masks, gang.placements)
    remove_free(allocation, masks)
    if not gang.borrowed:
        account = gang.specification.client_account
        add_members(allocation.guaranteed_work.setdefault(account, {}), gang.placements)
        return
    borrower = Borrower(
        gang.job_id,
        masks,
        measure_loss(gang, now, restart_seconds),
        gang.started_at,
        gang.queued_at,
        gang.stopping,
    )
    allocation.borrowers[gang.job_id] = borrower
    for server, mask in masks.items():
        allocation.borrowed_by_server.setdefault(server, {})[gang.job_id] = mask
        allocation.borrowed_masks[server] = (
            allocation.borrowed_masks.get(server, 0) | mask
        )


def measure_loss(gang: PlacedGang, now: float, restart_seconds: float) -> float:
    """Return the accelerator seconds that a stop would lose.

    The reported age can lag, so it is never taken to be more than the run time.
    """
    if gang.stopping:
        return STOPPING_COST
    age = min(gang.checkpoint_age_seconds, max(now - gang.started_at, 0.0))
    size = gang.specification.accelerators_per_task * len(gang.placements)
    return size * (age + restart_seconds)


def add_reclaim_cost(allocation: Allocation, borrower: Borrower, cost: float) -> None:
    """Add to the reclaim cost of each backend server of a borrowed gang."""
    for server in borrower.masks:
        allocation.reclaim_costs[server] = (
            allocation.reclaim_costs.get(server, 0.0) + cost
        )


def remove_free(allocation: Allocation, masks: ServerMasks) -> None:
    """Remove accelerators from the free ones."""
    for server, mask in masks.items():
        if server in allocation.free:
            allocation.free[server] &= ~mask


def reserve_guaranteed_members(
    allocation: Allocation, account: str, placements: tuple[MemberPlacement, ...]
) -> None:
    """Reserve accelerators for a client account's guaranteed work."""
    add_members(allocation.guaranteed_work.setdefault(account, {}), placements)
    reserve_members(allocation, placements)


def reserve_members(
    allocation: Allocation, placements: tuple[MemberPlacement, ...]
) -> None:
    """Reserve accelerators, so that the rest of the plan cannot use them."""
    add_members(allocation.reserved_masks, placements)
    remove_free(allocation, allocation.reserved_masks)


def mark_stopping(allocation: Allocation, job_id: str) -> bool:
    """Mark a borrowed gang as stopping; False when it was stopping already."""
    borrower = allocation.borrowers[job_id]
    if borrower.stopping:
        return False
    add_reclaim_cost(allocation, borrower, STOPPING_COST - borrower.cost)
    borrower.cost = STOPPING_COST
    borrower.stopping = True
    return True


def list_server_groups(
    allocation: Allocation, specification: JobSpecification
) -> list[list[str]]:
    """Return the groups of backend servers that may hold one whole gang."""
    if specification.gang_size == 1 or specification.adjacency is Adjacency.NONE:
        return [list(allocation.servers)]
    if specification.adjacency is Adjacency.RACK:
        return list(allocation.racks.values())
    return [[name] for name in allocation.servers]
