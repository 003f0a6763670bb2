"""Occurrences of scheduled jobs: opened when due, closed when done."""

from cardamomdyke.jobs.admission import MAX_TASKS
from cardamomdyke.model.orders import JobOrder
from cardamomdyke.planner.state import (
    Job,
    PlannerState,
    count_occurrences,
    make_units,
)

# Added to the due time, since the planner's VM clock may be slightly ahead of the
# callers' clocks. The platform counts 0.25 s as too early.
DUE_MARGIN_SECONDS = 0.05


def find_due(state: PlannerState, job: Job) -> float | None:
    """Return when the next occurrence of a job is due.

    Returns
    -------
    float or None
        Steady-clock seconds; None if no occurrence is left, the job has ended, or the
        open units already fill a progress record.
    """
    if job.is_final or job.next_occurrence >= count_occurrences(job.record):
        return None
    order = job.record.order
    tasks = sum(step.count for step in order.steps)
    if job.units and len(job.units) + tasks > MAX_TASKS:
        return None
    if not order.repetitions:
        return job.arrived_at
    return find_due_unix_seconds(order, job.next_occurrence) - state.unix_offset


def find_due_unix_seconds(order: JobOrder, occurrence: int) -> float:
    """Return the Unix time from which an occurrence may start, in seconds."""
    due = order.first_run_unix_seconds + occurrence * order.interval_seconds
    return due + DUE_MARGIN_SECONDS


def find_next_due(state: PlannerState) -> float | None:
    """Return the steady-clock time of the next due occurrence of any job, or None."""
    times = (find_due(state, job) for job in state.jobs.values())
    return min((due for due in times if due is not None), default=None)


def update_occurrences(state: PlannerState, now: float) -> None:
    """Open the occurrences that are due, and close those that are done."""
    for job in state.jobs.values():
        if job.record.order.repetitions and not job.is_final:
            close_occurrences(state, job)
            open_occurrences(state, job, now)


def open_occurrences(state: PlannerState, job: Job, now: float) -> None:
    """Create the units of every occurrence that is due."""
    due = find_due(state, job)
    while due is not None and due <= now:
        open_next(job)
        due = find_due(state, job)


def open_next(job: Job) -> None:
    """Create the units of the next occurrence, unless it is closed."""
    occurrence = job.next_occurrence
    job.next_occurrence += 1
    if occurrence not in job.closed:
        job.units.update(make_units(job.record, occurrence))


def close_occurrences(state: PlannerState, job: Job) -> None:
    """Drop the units of occurrences that are done and have no attempts left."""
    unfinished = {
        key[0]
        for key, unit in job.units.items()
        if not unit.done or unit.attempt is not None
    }
    finished = {key[0] for key in job.units} - unfinished
    if not finished:
        return
    job.closed |= finished
    for key in [key for key in job.units if key[0] in finished]:
        del job.units[key]
    state.mark_changed(job)
