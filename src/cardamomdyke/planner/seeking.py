"""Choice of servers for a unit: its data's rack, or one rack for a gang, come first."""

from collections import Counter
from dataclasses import replace

from cardamomdyke.model.orders import StepOrder
from cardamomdyke.planner.drafts import (
    Draft,
    find_capacity_with_suspended,
    make_requirements,
)
from cardamomdyke.planner.relaxation import ONE_RACK, SOUND_SERVERS, may_relax
from cardamomdyke.planner.slack import prefers_usual_servers
from cardamomdyke.planner.state import Job, Unit, list_indices
from cardamomdyke.scheduling.placement import PoolCapacity, choose_servers

# The platform counts a task as lost that waits 3 s while its pool has capacity.
MAX_RACK_WAIT_SECONDS = 2.0


def choose_unit_servers(
    draft: Draft, pool_capacity: PoolCapacity, job: Job, unit: Unit
) -> list[str] | None:
    """Choose a server for each task of a unit, or None if they do not fit.

    A unit waits for its data's rack as long as that can save time. After a wait in a
    mostly idle pool a gang that needs one rack is spread, and servers are used that are
    suspended.
    """
    step = job.find_step(unit)
    placed = count_placed(job, unit) if step.server_limit else Counter()
    count = len(list_indices(step, unit))
    rack_capacity = filter_data_rack(pool_capacity, step)
    waited = draft.now - unit.ready_since if unit.ready_since else 0.0
    prefers_usual = prefers_usual_servers(draft, job, unit)
    if rack_capacity.by_name:
        found = choose_servers(
            rack_capacity, step, count, placed, unit.avoided_servers, prefers_usual
        )
        max_wait = find_max_rack_wait(step, draft.state.limits.remote_factor)
        if found is not None or waited < max_wait:
            return found
    found = choose_in_any_rack(draft, pool_capacity, job, unit, placed, prefers_usual)
    if found is not None:
        return found
    spread_step = find_spread_step(draft, job, unit, placed)
    if spread_step is not None:
        found = choose_servers(
            pool_capacity,
            spread_step,
            count,
            placed,
            unit.avoided_servers,
            prefers_usual,
        )
    if found is None and may_use_suspended(draft, job, unit, placed):
        return choose_servers(
            find_capacity_with_suspended(draft, job.record.pool),
            spread_step or step,
            count,
            placed,
            unit.avoided_servers,
            prefers_usual,
        )
    return found


def may_use_suspended(draft: Draft, job: Job, unit: Unit, placed: Counter[str]) -> bool:
    """Return whether a unit that fits nowhere else may take suspended servers.

    Its last attempt is kept for a server that is not known to fail.
    """
    step = job.find_step(unit)
    attempts_left = job.record.attempt_limit - len(unit.failed_runs)
    if attempts_left < 2 and not step.long_running:
        return False
    return may_relax(draft, job, unit, placed, SOUND_SERVERS)


def find_spread_step(
    draft: Draft, job: Job, unit: Unit, placed: Counter[str]
) -> StepOrder | None:
    """Return the step of a gang that has waited for one rack, as one for all racks.

    Returns
    -------
    StepOrder or None
        None while the gang waits for a rack, or if it needs none. In a busy pool it
        goes on waiting: over several racks it runs for longer, and servers get free.
    """
    step = job.find_step(unit)
    if not step.rack_sensitive:
        return None
    if not may_relax(draft, job, unit, placed, ONE_RACK):
        return None
    return replace(step, rack_sensitive=False)


def choose_in_any_rack(
    draft: Draft,
    pool_capacity: PoolCapacity,
    job: Job,
    unit: Unit,
    placed: Counter[str],
    prefers_usual: bool,
) -> list[str] | None:
    """Choose servers in any rack, unless as many are known not to fit."""
    step = job.find_step(unit)
    count = len(list_indices(step, unit))
    if step.server_limit:
        # Not cached: the result depends on the other tasks of the step.
        return choose_servers(
            pool_capacity, step, count, placed, unit.avoided_servers, prefers_usual
        )
    requirements = make_requirements(job.record.pool, step)
    if count >= draft.unplaceable.get(requirements, count + 1):
        return None
    found = choose_servers(
        pool_capacity, step, count, placed, unit.avoided_servers, prefers_usual
    )
    if found is None:
        draft.unplaceable[requirements] = count
    return found


def filter_data_rack(pool_capacity: PoolCapacity, step: StepOrder) -> PoolCapacity:
    """Return the servers in the data's rack; none if no rack is set."""
    return PoolCapacity(
        {
            name: capacity
            for name, capacity in pool_capacity.by_name.items()
            if step.data_rack and capacity.rack == step.data_rack
        }
    )


def find_max_rack_wait(step: StepOrder, remote_factor: float) -> float:
    """Return the seconds to wait for the data's rack: what it can save."""
    extra_seconds = (remote_factor - 1.0) * step.estimated_seconds
    return min(MAX_RACK_WAIT_SECONDS, max(0.0, extra_seconds))


def count_placed(job: Job, unit: Unit) -> Counter[str]:
    """Count the tasks of a unit's step and occurrence on each server.

    Reservations of its other units count, since two of them would wait for each other.
    """
    counts: Counter[str] = Counter()
    for other in job.units.values():
        if other.key[:2] != unit.key[:2]:
            continue
        if other.attempt is not None:
            counts.update(member.server for member in other.attempt.members.values())
        elif other is not unit:
            counts.update(other.reserved_servers)
    return counts
