"""When a unit that waits is placed without a preference of the planner.

One rack for a gang, capacity that is kept for other work, or a server apart from other
starts are preferences: each may delay a start, none may prevent it. The platform counts
work as lost that waits 3 s while its pool has room for it twice over and is used to
less than half, and a long-running task however full the pool is.
"""

from collections import Counter
from dataclasses import dataclass

from cardamomdyke.planner.drafts import Draft, make_requirements
from cardamomdyke.planner.placement import is_in_service
from cardamomdyke.planner.polls import measure_free_capacity
from cardamomdyke.planner.state import Job, PlannerState, Unit, list_indices
from cardamomdyke.scheduling.placement import count_fits

# Attributes of a shape.
RESOURCES = ("millicores", "memory_mb", "accelerators")
# Room for this many times the tasks of a unit.
MIN_SPARE_FACTOR = 2


@dataclass(frozen=True, slots=True)
class Preference:
    """How long a preference may delay a start, and in which pools.

    Attributes
    ----------
    wait_seconds : float
        Time for which it holds.
    max_used_share : float
        Used share of the pool up to which it ends; in a busier pool capacity gets free
        without that.
    """

    wait_seconds: float
    max_used_share: float


# One rack for a gang, which runs for longer over several. The share is above half by
# the starts and stops that are under way, which count as used here.
ONE_RACK = Preference(2.0, 0.52)
# Servers that are not suspended.
SOUND_SERVERS = Preference(2.0, 0.52)
# Servers on which nothing else of higher priority has just started.
ISOLATION = Preference(1.0, 0.52)
# Capacity that is kept for urgent jobs and waiting gangs.
HEADROOM = Preference(1.5, 0.6)


def may_relax(
    draft: Draft, job: Job, unit: Unit, placed: Counter[str], preference: Preference
) -> bool:
    """Return whether a preference has delayed a unit for long enough.

    Parameters
    ----------
    draft : Draft
        Planning pass.
    job : Job
        Job of the unit.
    unit : Unit
        Unit that waits only for resources.
    placed : Counter of str
        Tasks of its step already on each server, if the step limits them.
    preference : Preference
        What the unit waits for.

    Returns
    -------
    bool
        True if the unit is to start without it.
    """
    if not unit.ready_since:
        return False
    # The lease of a silent server was a wait too.
    since = unit.silent_since or unit.ready_since
    if draft.now - since < preference.wait_seconds:
        return False
    if job.find_step(unit).long_running:
        return True
    pool = job.record.pool
    if pool not in draft.used_shares:
        draft.used_shares[pool] = measure_used_share(draft.state, pool)
    if draft.used_shares[pool] >= preference.max_used_share:
        return False
    count = len(list_indices(job.find_step(unit), unit))
    return measure_room(draft, job, unit, placed) >= MIN_SPARE_FACTOR * count


def measure_used_share(state: PlannerState, pool: str) -> float:
    """Return the used share of a pool's most used resource, on servers in service."""
    used = [0, 0, 0]
    total = [0, 0, 0]
    for server in state.servers.values():
        if not is_in_service(state, server, pool):
            continue
        capacity = server.entry.capacity
        free = measure_free_capacity(server)
        for number, name in enumerate(RESOURCES):
            total[number] += getattr(capacity, name)
            used[number] += getattr(capacity, name) - getattr(free, name)
    shares = [part / most for part, most in zip(used, total, strict=True) if most]
    return max(shares, default=1.0)


def measure_room(draft: Draft, job: Job, unit: Unit, placed: Counter[str]) -> int:
    """Return how many tasks like a unit's fit on the servers that its pool lists.

    Servers that get no work for a while count, since the platform counts them too.
    """
    step = job.find_step(unit)
    requirements = make_requirements(job.record.pool, step)
    if not step.server_limit and requirements in draft.rooms:
        return draft.rooms[requirements]
    room = 0
    for name, server in draft.state.servers.items():
        if not is_in_service(draft.state, server, job.record.pool):
            continue
        if step.required_label and step.required_label not in server.entry.labels:
            continue
        fits = count_fits(measure_free_capacity(server), step.shape)
        if step.server_limit:
            fits = max(0, min(fits, step.server_limit - placed[name]))
        room += fits
    if not step.server_limit:
        draft.rooms[requirements] = room
    return room


def forget_measures(draft: Draft, pool: str) -> None:
    """Measure a pool again at the next use, after a start in it."""
    draft.used_shares.pop(pool, None)
    draft.rooms.clear()
