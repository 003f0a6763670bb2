"""Planning pass: which units start, on which servers, and what is preempted."""

from collections import Counter
from collections.abc import Callable, Iterable, Sequence

from cardamomdyke.jobs.records import GANG_INDEX
from cardamomdyke.planner.attempts import abort_attempt, create_attempt
from cardamomdyke.planner.claims import (
    check_server_limit,
    close_before_guaranteed,
    close_servers,
    hold_reservations,
    make_requester,
    may_close_ahead,
    reclaim_allowance,
    reclaim_capacity,
    release_reservation,
)
from cardamomdyke.planner.crashes import is_suspect
from cardamomdyke.planner.departures import move_departing
from cardamomdyke.planner.drafts import (
    Draft,
    find_headroom,
    find_pool_capacity,
    find_server_capacity,
)
from cardamomdyke.planner.headroom import (
    Headroom,
    check_headroom,
    hold_for_gang,
    measure_need,
)
from cardamomdyke.planner.inputs import SetAside
from cardamomdyke.planner.isolation import (
    ISOLATION_WAIT_SECONDS,
    choose_isolated_servers,
)
from cardamomdyke.planner.occurrences import update_occurrences
from cardamomdyke.planner.ordering import rank_jobs
from cardamomdyke.planner.pending import PendingReason, begin_report, report_pending
from cardamomdyke.planner.quotas import (
    check_allowance,
    measure_allowances,
    use_allowance,
)
from cardamomdyke.planner.rates import review_progress
from cardamomdyke.planner.relaxation import HEADROOM, forget_measures, may_relax
from cardamomdyke.planner.seeking import choose_unit_servers, count_placed
from cardamomdyke.planner.state import (
    Job,
    PlannerState,
    Unit,
    has_work,
    is_ready,
    list_indices,
    list_unfinished_steps,
)
from cardamomdyke.scheduling.placement import PoolCapacity, fits_all, take_capacity

# A job that could not be planned because of an unexpected error is tried again after
# this time. The platform counts it as lost after 3 s.
SET_ASIDE_SECONDS = 1.0
# Kind of the log line for a placed unit.
PLACED_KIND = "unit.placed"


def plan_starts(state: PlannerState, now: float) -> None:
    """Create attempts for waiting units that fit, in order of job priority.

    Parameters
    ----------
    state : PlannerState
        Modified in place.
    now : float
        Steady-clock seconds.
    """
    update_occurrences(state, now)
    move_departing(state, now)
    review_progress(state, now)
    draft = Draft(state, now)
    waiting = [job for job in state.jobs.values() if not job.is_final]
    draft.guaranteed = find_guaranteed(state, waiting)
    draft.allowances = measure_allowances(state)
    mark_guaranteed(waiting, draft.guaranteed)
    draft.ranks = rank_jobs(state, waiting, now, state.learning.estimate_seconds)
    ranked = [state.jobs[job_id] for job_id in draft.ranks]
    covered = sorted(
        (job for job in waiting if job.job_id in draft.guaranteed), key=rank_covered
    )
    others = [job for job in ranked if job.job_id not in draft.guaranteed]
    # Guaranteed jobs come first: in the order of arrival, an older job would take the
    # capacity that a guaranteed one has just reclaimed. Capacity reserved for a
    # guaranteed job goes to no other job, that of another urgent job to no job
    # without a guarantee.
    suspect_ids = {job_id for job_id, _ in state.suspect_units}
    for job in others:
        if job.job_id in suspect_ids:
            plan_safely(draft, job, close_before_guaranteed)
    for group in (covered, others):
        for plan_job in (hold_reservations, place_job):
            for job in group:
                plan_safely(draft, job, plan_job)
    for job in ranked:
        plan_safely(draft, job, move_long_running)
    forget_set_aside(state, now)
    if begin_report(state, now):
        for job in ranked:
            plan_safely(draft, job, report_pending)


def plan_safely(draft: Draft, job: Job, plan_job: Callable[[Draft, Job], None]) -> None:
    """Plan one job; after an unexpected error it is set aside for a while.

    An error that ends the term would end that of each later planner too, and one job
    would keep all others from starting.
    """
    state, job_id = draft.state, job.job_id
    former = state.set_aside.get(job_id)
    if former is not None and draft.now < former.next_try_at:
        return
    try:
        plan_job(draft, job)
    except Exception as error:
        next_try_at = draft.now + SET_ASIDE_SECONDS
        state.set_aside[job_id] = SetAside(repr(error), next_try_at)
        if former is None or former.error != repr(error):
            state.note("job.set_aside", job_id, error=repr(error))


def forget_set_aside(state: PlannerState, now: float) -> None:
    """Forget the jobs that were set aside and have been planned without an error."""
    for job_id, item in list(state.set_aside.items()):
        if item.next_try_at <= now or job_id not in state.jobs:
            del state.set_aside[job_id]


def rank_covered(job: Job) -> tuple[int, bool, float]:
    """Return the sort key of a covered job: its account's share, then arrival."""
    return job.record.priority, job.beyond_share, job.arrived_at


def find_guaranteed(state: PlannerState, jobs: Iterable[Job]) -> frozenset[str]:
    """Return the ids of jobs covered by their client accounts' guarantees.

    A guarantee is a number of accelerators for the account's jobs of the highest
    priority, the oldest first.
    """
    if state.tables is None:
        return frozenset()
    remaining = {
        account.name: account.guaranteed_accelerators
        for account in state.tables.accounts
    }
    covered: set[str] = set()
    urgent = [job for job in jobs if job.is_urgent]
    for job in sorted(urgent, key=lambda item: item.arrived_at):
        account = job.record.account
        need = count_accelerators(job)
        if account in remaining and need <= remaining[account]:
            remaining[account] -= need
            covered.add(job.job_id)
    return frozenset(covered)


def mark_guaranteed(jobs: Iterable[Job], covered: frozenset[str]) -> None:
    """Mark the attempts of covered jobs as guaranteed, and no others."""
    for job in jobs:
        for unit in job.units.values():
            if unit.attempt is not None:
                unit.attempt.guaranteed = job.job_id in covered


def count_accelerators(job: Job) -> int:
    """Return the accelerators that a job's units need until they are done."""
    return sum(
        len(list_indices(job.find_step(unit), unit))
        * job.find_step(unit).shape.accelerators
        for unit in job.units.values()
        if not unit.done
    )


def place_job(draft: Draft, job: Job) -> None:
    """Create attempts for the ready units of a job.

    Once a unit does not fit, the rest of its step is skipped, except units for which
    capacity is reserved.
    """
    unfinished = list_unfinished_steps(job)
    ready = [
        unit
        for unit in job.units.values()
        if is_ready(job, unit, unfinished, draft.now)
    ]
    if not ready:
        return
    for unit in ready:
        unit.ready_since = unit.ready_since or draft.now
        unit.pending_reason = PendingReason.PLACEMENT
    pool_capacity = find_pool_capacity(draft, job.record.pool)
    unplaceable_steps: dict[int, str] = {}
    for unit in ready:
        step_number = unit.key[1]
        if step_number in unplaceable_steps and not unit.reserved_servers:
            unit.pending_reason = unplaceable_steps[step_number]
            continue
        release_reservation(draft, pool_capacity, job, unit)
        if is_suspect(draft.state, job, unit):
            place_suspect(draft, pool_capacity, job, unit)
            continue
        if job.is_urgent or job.find_step(unit).long_running:
            placed = place_with_priority(draft, pool_capacity, job, unit)
        else:
            placed = place_batch_unit(draft, pool_capacity, job, unit)
        if not placed:
            unplaceable_steps[step_number] = unit.pending_reason


def place_suspect(
    draft: Draft, pool_capacity: PoolCapacity, job: Job, unit: Unit
) -> None:
    """Start a suspect unit apart from other starts, or free servers for it.

    Other work is preempted for it only after a wait, since it is likely to crash its
    server again.
    """
    if not (job.is_urgent or job.find_step(unit).long_running):
        headroom = find_headroom(draft, job.record.pool)
        if headroom is None or not may_use_headroom(draft, headroom, job, unit):
            unit.pending_reason = PendingReason.HEADROOM
            unit.reserved_servers = ()
            return
    if not check_quota(draft, job, unit):
        unit.reserved_servers = ()
        if job.is_urgent or job.find_step(unit).long_running:
            reclaim_allowance(draft, make_requester(draft, job, unit), job, unit)
        return
    unit.pending_reason = PendingReason.ISOLATION
    names = choose_isolated_servers(draft, pool_capacity, job, unit)
    if names is not None:
        unit.reserved_servers = ()
        start_unit(draft, job, unit, names)
        close_servers(draft, job, names)
    elif draft.now - unit.ready_since >= ISOLATION_WAIT_SECONDS:
        free_servers(draft, pool_capacity, job, unit)


def free_servers(
    draft: Draft, pool_capacity: PoolCapacity, job: Job, unit: Unit
) -> None:
    """Start nothing more on the servers that a suspect unit can use soonest.

    They stay the same as long as they fit, since each needs a while without a start.
    """
    step = job.find_step(unit)
    names: Sequence[str] = unit.reserved_servers
    may_reclaim = job.is_urgent or step.long_running
    if may_reclaim and reclaim_capacity(draft, pool_capacity, job, unit):
        close_servers(draft, job, unit.reserved_servers)
        return
    if not names or not fits_all(pool_capacity, names, step.shape):
        names = choose_unit_servers(draft, pool_capacity, job, unit) or ()
    close_servers(draft, job, names)
    unit.reserved_servers = ()
    if may_close_ahead(draft, job, unit):
        unit.reserved_servers = tuple(names)


def place_with_priority(
    draft: Draft, pool_capacity: PoolCapacity, job: Job, unit: Unit
) -> bool:
    """Start an urgent or long-running unit, or reserve capacity for it."""
    if place_unit(draft, pool_capacity, job, unit):
        unit.reserved_servers = ()
        return True
    if not reclaim_capacity(draft, pool_capacity, job, unit):
        return False
    unit.pending_reason = PendingReason.RESERVATION
    return True


def place_batch_unit(
    draft: Draft, pool_capacity: PoolCapacity, job: Job, unit: Unit
) -> bool:
    """Start a unit if it fits and leaves the headroom of its pool free."""
    headroom = find_headroom(draft, job.record.pool)
    if headroom is None:
        return False
    if not may_use_headroom(draft, headroom, job, unit):
        unit.pending_reason = PendingReason.HEADROOM
    elif place_unit(draft, pool_capacity, job, unit):
        headroom.free -= measure_need(job, unit, headroom)
        return True
    hold_for_gang(headroom, job, unit)
    return False


def may_use_headroom(draft: Draft, headroom: Headroom, job: Job, unit: Unit) -> bool:
    """Return whether a unit leaves the headroom free, or has waited for too long.

    Only a job of which nothing runs goes into the headroom.
    """
    if check_headroom(headroom, job, unit):
        return True
    if has_work(draft.state, job):
        return False
    placed = count_placed(job, unit)
    return may_relax(draft, job, unit, placed, HEADROOM)


def move_long_running(draft: Draft, job: Job) -> None:
    """Stop long-running tasks on draining servers if they fit on other servers.

    They restart there in a later plan, sooner than after the server has gone.
    """
    for unit in job.units.values():
        attempt = unit.attempt
        if attempt is None or attempt.reason or not job.find_step(unit).long_running:
            continue
        servers = draft.state.servers
        draining = any(
            servers[member.server].entry.draining
            for member in attempt.members.values()
            if member.server in servers
        )
        pool_capacity = find_pool_capacity(draft, job.record.pool)
        names = (
            choose_unit_servers(draft, pool_capacity, job, unit) if draining else None
        )
        if names is None:
            continue
        for name in names:
            capacity = find_server_capacity(draft, job.record.pool, name)
            take_capacity(capacity, job.find_step(unit).shape)
        abort_attempt(draft.state, job, unit, "its server is draining", draft.now)


def place_unit(draft: Draft, pool_capacity: PoolCapacity, job: Job, unit: Unit) -> bool:
    """Create an attempt for a unit if it fits, preferably on its reserved servers."""
    if not check_quota(draft, job, unit):
        return False
    step = job.find_step(unit)
    placed = count_placed(job, unit) if step.server_limit else Counter()
    names = choose_unit_servers(draft, pool_capacity, job, unit)
    if unit.reserved_servers and fits_all(
        pool_capacity, unit.reserved_servers, step.shape
    ):
        names = (
            list(unit.reserved_servers)
            if check_server_limit(step, unit, placed)
            else names
        )
    if names is None:
        return False
    start_unit(draft, job, unit, names)
    return True


def check_quota(draft: Draft, job: Job, unit: Unit) -> bool:
    """Check that a unit fits the unused quota of its client account."""
    step = job.find_step(unit)
    count = len(list_indices(step, unit))
    account = job.record.account
    if check_allowance(draft.allowances, account, step.shape, count):
        return True
    unit.pending_reason = PendingReason.QUOTA
    return False


def start_unit(draft: Draft, job: Job, unit: Unit, names: list[str]) -> None:
    """Create an attempt of a unit on these servers, and subtract what it takes."""
    step = job.find_step(unit)
    indices = list_indices(step, unit)
    pool = job.record.pool
    for name in names:
        take_capacity(find_server_capacity(draft, pool, name), step.shape)
    forget_measures(draft, pool)
    if draft.settled is not None:
        draft.settled.difference_update(names)
    use_allowance(draft.allowances, job.record.account, step.shape, len(indices))
    placements = dict(zip(indices, names, strict=True))
    guaranteed = job.job_id in draft.guaranteed
    create_attempt(draft.state, job, unit, placements, draft.now, guaranteed)
    rank = draft.ranks[job.job_id]
    draft.state.note(
        PLACED_KIND,
        job.job_id,
        unit=unit.key,
        run=unit.last_run,
        servers=len(set(names)),
        gang=unit.key[2] == GANG_INDEX,
        waited=round(draft.now - job.arrived_at, 3),
        standing=rank.standing.value,
        ahead_of=rank.ahead_of,
    )
