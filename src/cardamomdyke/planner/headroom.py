"""Headroom: free capacity that batch work leaves to urgent jobs and waiting gangs.

It answers the load of a pool that batch work would fill while urgent gangs arrive in
bursts. On a full pool each urgent gang waits for stops of other work, which loses what
that work had done; and small tasks take each bit of free capacity before a gang of a
higher priority fits. Capacities are counted in whole servers.
"""

from dataclasses import dataclass

from cardamomdyke.jobs.records import GANG_INDEX
from cardamomdyke.model.orders import Shape
from cardamomdyke.planner.inputs import UrgentArrival
from cardamomdyke.planner.state import Job, PlannerState, Unit, list_indices
from cardamomdyke.scheduling.placement import PoolCapacity

# Period over which the demand of urgent jobs is averaged.
DEMAND_PERIOD_SECONDS = 3.0
# The headroom is the urgent demand of this long. A stop frees capacity after up to a
# second, and the demand fluctuates by about its mean.
HEADROOM_SECONDS = 2.0
# Limits, as shares of a pool's servers, so that batch work goes on under overload.
MAX_URGENT_SHARE = 0.125
MAX_WAITING_SHARE = 0.04
# Gangs that need more of the pool than this wait without holding back other work.
MAX_GANG_SHARE = 0.5


@dataclass(slots=True)
class Headroom:
    """Headroom of one pool during a planning pass, in whole servers.

    Attributes
    ----------
    servers : int
        Number of servers that the pool lists.
    total : Shape
        Capacity of a server.
    free : float
        Free capacity that batch work has not taken in this pass.
    urgent : float
        Kept free for urgent jobs.
    waiting : float
        Kept free for gangs that do not fit yet and rank before other work.
    """

    servers: int
    total: Shape
    free: float
    urgent: float
    waiting: float = 0.0


def record_arrival(state: PlannerState, job: Job) -> None:
    """Count the demand of a newly accepted urgent job."""
    arrival = UrgentArrival(job.arrived_at, job.record.pool, job.record.order.steps)
    state.urgent_arrivals.append(arrival)


def make_headroom(
    state: PlannerState, pool: str, pool_capacity: PoolCapacity, now: float
) -> Headroom | None:
    """Return the headroom of a pool, or None for a pool without servers.

    Parameters
    ----------
    state : PlannerState
        State of the planner; forgets urgent arrivals of long ago.
    pool : str
        Name of the pool.
    pool_capacity : PoolCapacity
        Free capacity, after the placement of urgent work.
    now : float
        Steady-clock seconds.

    Returns
    -------
    Headroom or None
        What batch work must leave free in this pass.
    """
    totals = [
        server.entry.capacity
        for server in state.servers.values()
        if server.listed and server.entry.pool == pool
    ]
    if not totals:
        return None
    largest = max(totals, key=lambda shape: (shape.accelerators, shape.millicores))
    while (
        state.urgent_arrivals
        and now - state.urgent_arrivals[0].at > DEMAND_PERIOD_SECONDS
    ):
        state.urgent_arrivals.popleft()
    demand = sum(
        step.count * measure_share(step.shape, largest)
        for arrival in state.urgent_arrivals
        if arrival.pool == pool
        for step in arrival.steps
    )
    urgent = min(
        MAX_URGENT_SHARE * len(totals),
        HEADROOM_SECONDS * demand / DEMAND_PERIOD_SECONDS,
    )
    return Headroom(len(totals), largest, measure_free(pool_capacity), urgent)


def measure_share(shape: Shape, total: Shape) -> float:
    """Return the share of a server that a task takes, by its scarcest resource."""
    pairs = (
        (shape.accelerators, total.accelerators),
        (shape.millicores, total.millicores),
        (shape.memory_mb, total.memory_mb),
    )
    return max((used / most for used, most in pairs if most), default=0.0)


def measure_free(pool_capacity: PoolCapacity) -> float:
    """Return the free capacity of a pool, by the scarcest resource of each server."""
    free = 0.0
    for server in pool_capacity.by_name.values():
        total = server.total
        share = 1.0
        if total.accelerators:
            share = min(share, server.accelerators / total.accelerators)
        if total.millicores:
            share = min(share, server.millicores / total.millicores)
        if total.memory_mb:
            share = min(share, server.memory_mb / total.memory_mb)
        free += max(0.0, share)
    return free


def measure_need(job: Job, unit: Unit, headroom: Headroom) -> float:
    """Return the capacity that a unit takes, in whole servers."""
    step = job.find_step(unit)
    return len(list_indices(step, unit)) * measure_share(step.shape, headroom.total)


def check_headroom(headroom: Headroom, job: Job, unit: Unit) -> bool:
    """Return whether a unit that is not urgent leaves the headroom free.

    Parameters
    ----------
    headroom : Headroom
        Headroom of the job's pool.
    job : Job
        Job of the unit.
    unit : Unit
        Unit that waits only for resources.

    Returns
    -------
    bool
        True if nothing is kept free, or enough is left.
    """
    kept = headroom.urgent + headroom.waiting
    return not kept or measure_need(job, unit, headroom) <= headroom.free - kept


def hold_for_gang(headroom: Headroom, job: Job, unit: Unit) -> None:
    """Keep capacity free for a gang that does not fit, from work that ranks after it.

    Single tasks find room as soon as any task ends, so they hold nothing.
    """
    need = measure_need(job, unit, headroom)
    if unit.key[2] != GANG_INDEX or need > MAX_GANG_SHARE * headroom.servers:
        return
    headroom.waiting = min(
        MAX_WAITING_SHARE * headroom.servers, headroom.waiting + need
    )
