"""Order of a planning pass: describes the planner's jobs to the ranking."""

from collections.abc import Iterable

from cardamomdyke.planner.inputs import Outline
from cardamomdyke.planner.occurrences import find_due_unix_seconds
from cardamomdyke.planner.state import Job, PlannerState, Unit, list_indices
from cardamomdyke.scheduling.cores import measure_cores
from cardamomdyke.scheduling.objectives import (
    Estimator,
    StepWork,
    estimate_steps,
    find_critical_seconds,
    find_remaining_seconds,
    make_objective,
    measure_work,
    use_declared,
)
from cardamomdyke.scheduling.ordering import Rank, WaitingJob, rank_waiting

# Longest time from an acceptance to the planner's reading of it: an append is waited
# for up to 2 s, and a planner that the store does not answer ends its term after 1.1 s.
# An older acceptance comes from a VM whose clock is behind.
MAX_DELIVERY_SECONDS = 3.1
# Stands for the first unfinished occurrence while none is open.
NO_OCCURRENCE = -1


def rank_jobs(
    state: PlannerState,
    jobs: Iterable[Job],
    now: float,
    estimate: Estimator = use_declared,
) -> dict[str, Rank]:
    """Rank the jobs of a planning pass, the first to place first.

    Parameters
    ----------
    state : PlannerState
        State of the planner.
    jobs : iterable of Job
        Jobs that have not ended.
    now : float
        Steady-clock seconds.
    estimate : Estimator
        Returns the run time to expect, from the queue and the declared run time.

    Returns
    -------
    dict of str to Rank
        Ranks by job id, in order.
    """
    described = [describe_safely(state, job, now, estimate) for job in jobs]
    return {rank.job_id: rank for rank in rank_waiting(described, now)}


def describe_safely(
    state: PlannerState, job: Job, now: float, estimate: Estimator
) -> WaitingJob:
    """Describe a job; after an unexpected error it counts as one without steps.

    An error that ends the term would end that of each later planner too. The steps are
    tried again once the job's progress changes.
    """
    try:
        return describe_job(state, job, now, estimate)
    except Exception as error:
        state.note("job.unranked", job.job_id, error=repr(error))
        job.outline = Outline(
            find_version(job), NO_OCCURRENCE, job.arrived_at, (), 0.0, True, False
        )
        return describe_job(state, job, now, estimate)


def describe_job(
    state: PlannerState, job: Job, now: float, estimate: Estimator
) -> WaitingJob:
    """Return what decides the rank of a job."""
    outline = find_outline(state, job, now)
    record = job.record
    run_seconds = estimate_steps(
        outline.steps, record.queue, record.target_seconds, estimate
    )
    objective = make_objective(
        outline.waiting_since,
        record.stretch,
        record.target_seconds,
        find_critical_seconds(outline.steps, run_seconds),
    )
    return WaitingJob(
        job.job_id,
        record.pool,
        record.priority,
        job.beyond_share,
        job.arrived_at,
        objective,
        find_remaining_seconds(outline.steps, run_seconds, now),
        measure_work(outline.steps, run_seconds),
        outline.running_cores,
        outline.is_ready,
        outline.long_running,
    )


def find_version(job: Job) -> tuple[int, int, int]:
    """Return what changes with each change of a job's units."""
    return job.revision, job.next_occurrence, len(job.units)


def find_outline(state: PlannerState, job: Job, now: float) -> Outline:
    """Return the outline of a job, made again only after a change of its progress."""
    version = find_version(job)
    former = job.outline
    if former is not None and former.version == version:
        return former
    job.outline = make_outline(state, job, former, version, now)
    return job.outline


def make_outline(
    state: PlannerState,
    job: Job,
    former: Outline | None,
    version: tuple[int, int, int],
    now: float,
) -> Outline:
    """Create the outline of a job from its units.

    The time from which on its caller waits is kept for each occurrence, so that a later
    jump of a clock does not change it.
    """
    unfinished = [unit for unit in job.units.values() if not unit.done]
    occurrence = min((unit.key[0] for unit in unfinished), default=NO_OCCURRENCE)
    if former is not None and former.occurrence == occurrence:
        waiting_since = former.waiting_since
    else:
        is_restored = former is None and job.arrived_at <= state.took_over_at
        waiting_since = find_waiting_since(state, job, occurrence, now, is_restored)
    units: list[list[Unit]] = [[] for _ in job.record.order.steps]
    for unit in unfinished:
        units[unit.key[1]].append(unit)
    steps = tuple(
        make_step_work(job, number, listed) for number, listed in enumerate(units)
    )
    return Outline(
        version,
        occurrence,
        waiting_since,
        steps,
        sum(step.running * step.cores for step in steps),
        any(
            step.waiting and all(steps[index].is_done for index in step.after)
            for step in steps
        ),
        any(step.long_running for step in job.record.order.steps),
    )


def make_step_work(job: Job, number: int, unfinished: Iterable[Unit]) -> StepWork:
    """Return what is left of a step.

    Parameters
    ----------
    job : Job
        The job.
    number : int
        Number of the step.
    unfinished : iterable of Unit
        Units of the step that are not done. One that is being stopped has to run again.
    """
    step = job.record.order.steps[number]
    waiting = running = 0
    running_since = 0.0
    for unit in unfinished:
        tasks = len(list_indices(step, unit))
        if unit.attempt is None or unit.attempt.reason:
            waiting += tasks
        else:
            running += tasks
            running_since = max(running_since, unit.attempt.started_at)
    return StepWork(
        step.estimated_seconds,
        step.after,
        measure_cores(step.shape),
        waiting,
        running,
        running_since,
    )


def find_waiting_since(
    state: PlannerState, job: Job, occurrence: int, now: float, is_restored: bool
) -> float:
    """Return from when on a job's caller waits, in steady-clock seconds.

    This is the acceptance, or the due time of a scheduled occurrence. The clock of the
    VM that accepted the job and that of this one may differ or have jumped, so the time
    is neither later than this planner read the job nor much earlier.

    Parameters
    ----------
    state : PlannerState
        State of the planner.
    job : Job
        The job.
    occurrence : int
        First occurrence that is not done.
    now : float
        Steady-clock seconds.
    is_restored : bool
        True if the job was restored at the takeover and is ranked for the first time.
        Its arrival is then the acceptance, and an occurrence may have waited since.
    """
    order = job.record.order
    if not order.repetitions:
        accepted_at = job.record.accepted_at - state.unix_offset
        earliest = job.arrived_at - (0.0 if is_restored else MAX_DELIVERY_SECONDS)
        return min(job.arrived_at, max(accepted_at, earliest))
    due = find_due_unix_seconds(order, max(0, occurrence)) - state.unix_offset
    earliest = job.arrived_at if is_restored else now - MAX_DELIVERY_SECONDS
    return min(now, max(due, earliest))
