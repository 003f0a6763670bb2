"""Placement of suspect tasks, apart from other starts.

A crash makes all runs suspect that had just started on the server, so a suspect task
starts where every other run has outlived its start, and nothing starts beside it until
it has outlived its own.
"""

from collections import Counter

from cardamomdyke.planner.crashes import outlived_start
from cardamomdyke.planner.drafts import Draft, find_capacity_with_suspended
from cardamomdyke.planner.seeking import (
    count_placed,
    filter_data_rack,
    find_spread_step,
    may_use_suspended,
)
from cardamomdyke.planner.servers import Server
from cardamomdyke.planner.state import (
    Job,
    PlannerState,
    Unit,
    list_holders,
    list_indices,
)
from cardamomdyke.scheduling.placement import PoolCapacity, choose_servers

# A suspect unit waits this long for a server that nothing has to be kept from. The
# platform counts a job as lost that waits 3 s while its pool has capacity.
ISOLATION_WAIT_SECONDS = 1.0


def choose_isolated_servers(
    draft: Draft, pool_capacity: PoolCapacity, job: Job, unit: Unit
) -> list[str] | None:
    """Choose servers for a suspect unit, or None if none are suitable.

    Idle servers come first, since a crash there disturbs nobody. A gang that has waited
    for one rack is spread, as other gangs are. Results are not cached in the draft,
    which would hold for other units too.
    """
    step = job.find_step(unit)
    placed = count_placed(job, unit) if step.server_limit else Counter()
    names = choose_settled_servers(draft, pool_capacity, job, unit, placed)
    if names is None and may_use_suspended(draft, job, unit, placed):
        capacity = find_capacity_with_suspended(draft, job.record.pool)
        names = choose_settled_servers(draft, capacity, job, unit, placed)
    return names


def choose_settled_servers(
    draft: Draft,
    pool_capacity: PoolCapacity,
    job: Job,
    unit: Unit,
    placed: Counter[str],
) -> list[str] | None:
    """Choose servers on which every run has outlived its start, idle ones first."""
    step = job.find_step(unit)
    count = len(list_indices(step, unit))
    settled = filter_servers(pool_capacity, find_settled(draft))
    idle = filter_servers(settled, find_idle(draft.state))
    for allowed_step in (step, find_spread_step(draft, job, unit, placed)):
        if allowed_step is None:
            continue
        for candidates in (idle, settled):
            for capacity in (filter_data_rack(candidates, step), candidates):
                names = choose_servers(
                    capacity, allowed_step, count, placed, unit.avoided_servers
                )
                if names is not None:
                    return names
    return None


def filter_servers(pool_capacity: PoolCapacity, names: set[str]) -> PoolCapacity:
    """Return the part of a pool's capacity on some servers."""
    return PoolCapacity(
        {
            name: capacity
            for name, capacity in pool_capacity.by_name.items()
            if name in names
        }
    )


def find_idle(state: PlannerState) -> set[str]:
    """Return the servers without runs."""
    return {
        name
        for name, server in state.servers.items()
        if not server.holders and not server.unknown_runs
    }


def find_settled(draft: Draft) -> set[str]:
    """Return the servers on which every run has outlived its start."""
    if draft.settled is None:
        draft.settled = {
            name
            for name, server in draft.state.servers.items()
            if is_settled(draft.state, server)
        }
    return draft.settled


def is_settled(state: PlannerState, server: Server) -> bool:
    """Return whether every run on a server has outlived its start."""
    return not server.unknown_runs and all(
        unit.attempt is not None
        and outlived_start(state.limits, unit, unit.attempt, member)
        for _, unit, member in list_holders(state, server)
    )
