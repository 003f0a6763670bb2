"""Reservations: capacity that is being freed for units and kept until they start."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import replace

from cardamomdyke.model.orders import StepOrder
from cardamomdyke.planner.attempts import abort_attempt
from cardamomdyke.planner.crashes import is_suspect
from cardamomdyke.planner.drafts import (
    Draft,
    clear_unplaceable,
    find_expected_capacity,
    find_pool_capacity,
    find_server_capacity,
    find_victim_index,
    make_requirements,
    mark_stopping,
)
from cardamomdyke.planner.endings import may_await_end
from cardamomdyke.planner.quotas import (
    check_allowance,
    measure_expected_allowance,
    use_allowance,
)
from cardamomdyke.planner.relaxation import ISOLATION, may_relax
from cardamomdyke.planner.seeking import count_placed
from cardamomdyke.planner.state import (
    Job,
    Unit,
    is_ready,
    list_holders,
    list_indices,
    list_unfinished_steps,
)
from cardamomdyke.scheduling.placement import (
    PoolCapacity,
    close_server,
    fits_all,
    open_server,
    take_capacity,
)
from cardamomdyke.scheduling.preemption import (
    Preemption,
    Requester,
    find_preemption,
    is_within_limit,
)
from cardamomdyke.scheduling.victims import Victim, VictimIndex


def hold_reservations(draft: Draft, job: Job) -> None:
    """Subtract a job's reservations from the free capacity; drop unusable ones."""
    pool_capacity = find_pool_capacity(draft, job.record.pool)
    unfinished = list_unfinished_steps(job)
    for unit in job.units.values():
        usable = all(name in pool_capacity.by_name for name in unit.reserved_servers)
        if not usable or not is_ready(job, unit, unfinished, draft.now):
            unit.reserved_servers = ()
        take_reservation(draft, pool_capacity, job, unit)
        if unit.reserved_servers and may_close_ahead(draft, job, unit):
            close_reserved(draft, job, unit)


def close_before_guaranteed(draft: Draft, job: Job) -> None:
    """Close the servers of a job's waiting suspect units before guaranteed jobs.

    Long-running units may wait in a full pool, where guarantees go first.
    """
    by_name = find_pool_capacity(draft, job.record.pool).by_name
    unfinished = list_unfinished_steps(job)
    for unit in job.units.values():
        if not unit.reserved_servers or job.find_step(unit).long_running:
            continue
        usable = all(name in by_name for name in unit.reserved_servers)
        ready = usable and is_ready(job, unit, unfinished, draft.now)
        if ready and may_close_ahead(draft, job, unit):
            close_reserved(draft, job, unit)


def may_close_ahead(draft: Draft, job: Job, unit: Unit) -> bool:
    """Return whether a suspect unit's servers are closed before other jobs are placed.

    Otherwise a stream of starts of higher priority could keep each server unsettled.
    """
    if not is_suspect(draft.state, job, unit):
        return False
    placed = count_placed(job, unit)
    return may_relax(draft, job, unit, placed, ISOLATION)


def close_reserved(draft: Draft, job: Job, unit: Unit) -> None:
    """Start nothing more on a unit's reserved servers, until they are released."""
    if (job.job_id, unit.key) in draft.closures:
        return
    close_servers(draft, job, unit.reserved_servers)
    draft.closures[job.job_id, unit.key] = tuple(set(unit.reserved_servers))


def close_servers(draft: Draft, job: Job, names: Iterable[str]) -> None:
    """Start nothing more on some servers of a job's pool in this plan."""
    for name in set(names):
        close_server(find_server_capacity(draft, job.record.pool, name))


def take_reservation(
    draft: Draft, pool_capacity: PoolCapacity, job: Job, unit: Unit, count: int = 1
) -> None:
    """Subtract a unit's reservation from what is free; -1 adds it back."""
    shape = job.find_step(unit).shape
    for name in unit.reserved_servers:
        take_capacity(pool_capacity.by_name[name], shape, count)
        use_allowance(draft.allowances, job.record.account, shape, count)


def release_reservation(
    draft: Draft, pool_capacity: PoolCapacity, job: Job, unit: Unit
) -> None:
    """Add a unit's reservation back to the free capacity, and open its servers."""
    for name in draft.closures.pop((job.job_id, unit.key), ()):
        open_server(pool_capacity.by_name[name])
    if unit.reserved_servers:
        take_reservation(draft, pool_capacity, job, unit, -1)
        clear_unplaceable(draft)


def check_server_limit(step: StepOrder, unit: Unit, placed: Counter[str]) -> bool:
    """Check a unit's reservation against the step's limit of tasks per server."""
    counts = placed + Counter(unit.reserved_servers)
    return not step.server_limit or max(counts.values()) <= step.server_limit


def reclaim_capacity(
    draft: Draft, pool_capacity: PoolCapacity, job: Job, unit: Unit
) -> bool:
    """Reserve capacity for an urgent unit, by preemption if necessary.

    Capacity that stops will free counts too and is kept from other units of this plan.
    The unit starts in a later plan, once the capacity is free.
    """
    step = job.find_step(unit)
    expected = find_expected_capacity(draft, pool_capacity)
    requester = make_requester(draft, job, unit)
    if not reclaim_allowance(draft, requester, job, unit):
        unit.reserved_servers = ()
        return False
    if unit.reserved_servers and fits_all(expected, unit.reserved_servers, step.shape):
        # Choosing again would stop other work each time that a cost changes.
        take_reservation(draft, pool_capacity, job, unit)
        return True
    unit.reserved_servers = ()
    preemption = find_unit_preemption(draft, pool_capacity, job, unit, step)
    if preemption is None and step.rack_sensitive and must_start(requester):
        spread_step = replace(step, rack_sensitive=False)
        preemption = find_unit_preemption(draft, pool_capacity, job, unit, spread_step)
    if preemption is None:
        return False
    unit.reserved_servers = tuple(preemption.names)
    take_reservation(draft, pool_capacity, job, unit)
    note_awaited(draft, job, unit, len(preemption.victims))
    for victim in preemption.victims.values():
        preempt(draft, job, victim)
    return True


def note_awaited(draft: Draft, job: Job, unit: Unit, stops: int) -> None:
    """Write a line if runs that end by themselves free capacity of a reservation."""
    state = draft.state
    awaited = {
        (other.job_id, holder.key)
        for name in set(unit.reserved_servers)
        for other, holder, member in list_holders(state, state.servers[name])
        if not member.stop_requested and may_await_end(state, other, holder, draft.now)
    }
    if awaited:
        state.note(
            "unit.awaited", job.job_id, unit=unit.key, ends=len(awaited), stops=stops
        )


def must_start(requester: Requester) -> bool:
    """Return whether a unit has to start soon however full its pool is."""
    return requester.guaranteed or requester.is_long_running


def find_unit_preemption(
    draft: Draft, pool_capacity: PoolCapacity, job: Job, unit: Unit, step: StepOrder
) -> Preemption | None:
    """Choose what to preempt for a unit, unless as many tasks are known not to fit."""
    requester = make_requester(draft, job, unit)
    requirements = make_requirements(job.record.pool, step)
    count = len(list_indices(step, unit))
    cacheable = not step.server_limit
    if cacheable and count >= draft.unreclaimable.get(
        (requester, requirements), count + 1
    ):
        return None
    placed = count_placed(job, unit) if step.server_limit else Counter()
    preemption = find_preemption(
        find_expected_capacity(draft, pool_capacity),
        find_victim_index(draft, requester),
        step,
        count,
        placed,
        unit.avoided_servers,
    )
    if preemption is None and cacheable:
        draft.unreclaimable[requester, requirements] = count
    return preemption


def make_requester(draft: Draft, job: Job, unit: Unit) -> Requester:
    """Return the properties of a unit that decide what it may preempt."""
    guaranteed = job.job_id in draft.guaranteed
    is_long_running = job.find_step(unit).long_running
    return Requester(job.record.priority, guaranteed, is_long_running)


def preempt(draft: Draft, job: Job, victim: Victim) -> None:
    """Stop an attempt so that a unit of `job` can start."""
    state = draft.state
    job_id, key = victim.key
    other = state.jobs[job_id]
    state.note(
        "unit.preempted",
        job_id,
        unit=key,
        for_job=job.job_id,
        cost=round(victim.cost, 1),
        lost=round(victim.lost, 1),
        saves=victim.saves,
        repeats=victim.repeats,
    )
    state.count("preemption.lost_core_seconds", round(victim.lost))
    if victim.saves:
        state.count("preemption.saving")
    if victim.repeats:
        state.count("preemption.repeated")
    mark_stopping(draft, victim)
    unit = other.units[key]
    unit.preemptions += 1
    unit.preempted_at = draft.now
    abort_attempt(state, other, unit, f"preempted by {job.job_id}", draft.now)


def reclaim_allowance(draft: Draft, requester: Requester, job: Job, unit: Unit) -> bool:
    """Stop other work of the job's account until the unit fits the account's quota.

    Work that fills the quota may keep an urgent unit from starting even where servers
    are idle. Returns False if the quota does not suffice even so.
    """
    account = job.record.account
    step = job.find_step(unit)
    count = len(list_indices(step, unit))
    if check_allowance(draft.allowances, account, step.shape, count):
        return True
    expected = measure_expected_allowance(
        draft.state, draft.allowances, account, draft.now
    )
    chosen: list[Victim] = []
    victim_index = find_victim_index(draft, requester)
    for victim in list_own_victims(draft, victim_index, account):
        if check_allowance(expected, account, step.shape, count):
            break
        if not is_within_limit(victim_index, chosen, victim):
            continue
        for shape, tasks in victim.tasks.values():
            use_allowance(expected, account, shape, -tasks)
        chosen.append(victim)
    if not check_allowance(expected, account, step.shape, count):
        return False
    for victim in chosen:
        preempt(draft, job, victim)
    return True


def list_own_victims(
    draft: Draft, victim_index: VictimIndex, account: str
) -> list[Victim]:
    """Return the preemptible attempts of one account, the cheapest first."""
    own = [
        victim
        for victim in victim_index.victims.values()
        if draft.state.jobs[victim.key[0]].record.account == account
    ]
    return sorted(own, key=lambda victim: victim.cost)
