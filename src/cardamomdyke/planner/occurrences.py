"""Occurrences of scheduled jobs: when they are due, and when they are over."""

from cardamomdyke.jobs.admission import MAX_TASKS
from cardamomdyke.model.orders import JobOrder
from cardamomdyke.planner.state import (
    Job,
    PlannerState,
    count_occurrences,
    make_units,
)

# Starts this long after the due time, since the clock of the VM that plans may be
# a little ahead of the callers'. The platform takes 0.25 s as too early.
DUE_MARGIN_SECONDS = 0.05


def find_due(state: PlannerState, job: Job) -> float | None:
    """Return when the next occurrence of a job is due, on the loop's clock.

    Returns
    -------
    float or None
        Seconds of the loop's clock; None when every occurrence is open, or as many
        as one record of progress holds.
    """
    if job.is_final or job.next_occurrence >= count_occurrences(job.record):
        return None
    order = job.record.order
    tasks = sum(step.count for step in order.steps)
    if job.units and len(job.units) + tasks > MAX_TASKS:
        return None
    if not order.repetitions:
        return job.arrived_at
    return find_due_unix(order, job.next_occurrence) - state.unix_offset


def find_due_unix(order: JobOrder, occurrence: int) -> float:
    """Return the Unix time at which an occurrence may start, in seconds."""
    due = order.first_run_unix_seconds + occurrence * order.interval_seconds
    return due + DUE_MARGIN_SECONDS


def find_next_due(state: PlannerState) -> float | None:
    """Return when the next occurrence of any job is due, on the loop's clock."""
    times = (find_due(state, job) for job in state.jobs.values())
    return min((due for due in times if due is not None), default=None)


def update_occurrences(state: PlannerState, now: float) -> None:
    """Open the occurrences that are due, and close those that are over."""
    for job in state.jobs.values():
        if job.record.order.repetitions and not job.is_final:
            close_occurrences(state, job)
            open_occurrences(state, job, now)


def open_occurrences(state: PlannerState, job: Job, now: float) -> None:
    """Add the units of every occurrence that is due."""
    due = find_due(state, job)
    while due is not None and due <= now:
        open_next(job)
        due = find_due(state, job)


def open_next(job: Job) -> None:
    """Add the units of the next occurrence, unless it is closed."""
    occurrence = job.next_occurrence
    job.next_occurrence += 1
    if occurrence not in job.closed:
        job.units.update(make_units(job.record, occurrence))


def close_occurrences(state: PlannerState, job: Job) -> None:
    """Drop the units of occurrences of which all is done and nothing runs."""
    left = {
        key[0]
        for key, unit in job.units.items()
        if not unit.done or unit.attempt is not None
    }
    over = {key[0] for key in job.units} - left
    if not over:
        return
    job.closed |= over
    for key in [key for key in job.units if key[0] in over]:
        del job.units[key]
    state.mark_changed(job)
