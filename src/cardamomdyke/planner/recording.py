"""Appends of the planner's progress, and what follows once they are stored.

Each job is recorded for itself: one that takes several appends, or that the store
refuses, holds up no other.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from cardamomdyke.jobs.layout import (
    Entry,
    RecordLimits,
    forget_written,
    measure_append,
    plan_records,
)
from cardamomdyke.jobs.records import JobProgress
from cardamomdyke.planner.acknowledgements import release_ends
from cardamomdyke.planner.actions import SendStart
from cardamomdyke.planner.attempts import abort_attempt
from cardamomdyke.planner.inputs import (
    ProgressWrite,
    RefusedProgress,
    SetAside,
)
from cardamomdyke.planner.members import MemberPhase
from cardamomdyke.planner.progress import NO_STARTS, make_progress
from cardamomdyke.planner.state import Attempt, Job, PlannerState, Unit
from cardamomdyke.planner.unsettled import list_start_records

# Progress that the store has refused is tried again after this time, since new settings
# may bring other limits.
REFUSED_WAIT_SECONDS = 5.0


@dataclass(frozen=True, slots=True)
class ProgressAppend:
    """One append of the progress of some jobs.

    Attributes
    ----------
    entries : dict of str to list of Entry
        Next records of each job, by job id.
    """

    entries: dict[str, list[Entry]]


def take_append(
    state: PlannerState, limits: RecordLimits, now: float
) -> ProgressAppend | None:
    """Return the next append of changed progress; None if nothing is left or fits.

    Jobs with little to append go first; the one that has been written for the longest
    time has at least one record in each append.

    Parameters
    ----------
    state : PlannerState
        Modified in place.
    limits : RecordLimits
        Limits of the store.
    now : float
        Steady-clock seconds.
    """
    begin_writes(state, limits, now)
    if not state.writes:
        return None
    oldest = next(iter(state.writes.values()))
    entries = {oldest.job_id: [oldest.entries[oldest.appended]]}
    room = limits.append_bytes - measure_append(entries[oldest.job_id])
    if room < 0:
        return None
    for write in sorted(state.writes.values(), key=measure_remaining):
        taken = entries.get(write.job_id, [])
        for entry in write.entries[write.appended + len(taken) :]:
            room -= measure_append([entry])
            if room < 0:
                return ProgressAppend(entries)
            taken.append(entry)
            entries[write.job_id] = taken
    return ProgressAppend(entries)


def measure_remaining(write: ProgressWrite) -> int:
    """Return the size of what is left to append of a job, in bytes."""
    return measure_append(write.entries[write.appended :])


def begin_writes(state: PlannerState, limits: RecordLimits, now: float) -> None:
    """Begin to write the jobs that have changed and are not being written."""
    starts = list_start_records(state) if state.changed else {}
    for job_id in list(state.changed):
        refused = state.refused.get(job_id)
        waits = refused is not None and now < refused.next_try_at
        if waits or job_id in state.writes:
            continue
        job = state.jobs[job_id]
        del state.changed[job_id]
        try:
            progress = make_progress(
                job, state.unix_offset, starts.get(job_id, NO_STARTS)
            )
            state.writes[job_id] = make_write(state, job, progress, limits)
        except Exception as error:
            # An error that ends the term would end that of each later planner too.
            refuse_progress(state, job, repr(error), now)


def make_write(
    state: PlannerState, job: Job, progress: JobProgress, limits: RecordLimits
) -> ProgressWrite:
    """Create the write of a job's progress."""
    # No planner has used this version, since each has a fence of its own.
    version = f"{state.fence}.{job.revision}"
    entries, stored = plan_records(
        job.job_id, progress, job.stored, version, limits.record_bytes
    )
    if stored.split and not job.stored.split:
        state.note("progress.split", job.job_id, units=len(stored.units))
    starts = tuple(
        (unit.key, unit.attempt.run)
        for unit in job.units.values()
        if unit.attempt is not None and is_planned(unit.attempt)
    )
    return ProgressWrite(job.job_id, job.revision, entries, stored, starts)


def is_planned(attempt: Attempt) -> bool:
    """Check for members whose start waits for the record."""
    return any(
        member.phase is MemberPhase.PLANNED for member in attempt.members.values()
    )


def handle_appended(
    state: PlannerState,
    append: ProgressAppend,
    refused: Mapping[str, str],
    now: float,
) -> None:
    """Apply the outcome of an append.

    Parameters
    ----------
    state : PlannerState
        Modified in place.
    append : ProgressAppend
        What was appended.
    refused : mapping of str to str
        Answer of the store by the id of each job whose records it has refused; none of
        these are stored.
    now : float
        Steady-clock seconds.
    """
    for job_id, entries in append.entries.items():
        write = state.writes[job_id]
        if job_id in refused:
            del state.writes[job_id]
            job = state.jobs[job_id]
            job.stored = forget_written(job.stored, write.entries)
            refuse_progress(state, job, refused[job_id], now)
            continue
        write.appended += len(entries)
        if write.appended == len(write.entries):
            finish_write(state, write, now)


def finish_write(state: PlannerState, write: ProgressWrite, now: float) -> None:
    """Acknowledge the ends of a recorded job, and send its starts."""
    del state.writes[write.job_id]
    job = state.jobs[write.job_id]
    job.stored = write.stored
    job.recorded_revision = write.revision
    if state.refused.pop(write.job_id, None) is not None:
        state.note("progress.accepted", write.job_id)
    for server in state.servers.values():
        if server.unrecorded_ends:
            release_ends(server, write.job_id, write.revision)
    for key, run in write.starts:
        unit = job.units.get(key)
        attempt = unit.attempt if unit is not None else None
        if unit is not None and attempt is not None and attempt.run == run:
            send_starts(state, job, unit, attempt, now)
    drop_job(state, write.job_id)


def refuse_progress(state: PlannerState, job: Job, detail: str, now: float) -> None:
    """Set a job aside whose progress cannot be recorded; what is recorded stays.

    Its planned starts are given up, so that they hold no capacity.
    """
    job_id = job.job_id
    if job_id not in state.refused:
        state.note("progress.refused", job_id, detail=detail)
    next_try_at = now + REFUSED_WAIT_SECONDS
    state.refused[job_id] = RefusedProgress(detail, next_try_at)
    reason = "its progress cannot be recorded"
    state.set_aside[job_id] = SetAside(reason, next_try_at)
    state.changed[job_id] = None
    for unit in job.units.values():
        if unit.attempt is not None and is_planned(unit.attempt):
            abort_attempt(state, job, unit, reason, now)


def send_starts(
    state: PlannerState, job: Job, unit: Unit, attempt: Attempt, now: float
) -> None:
    """Send the starts of a recorded attempt."""
    for member in attempt.members.values():
        if member.phase is MemberPhase.PLANNED:
            member.phase = MemberPhase.STARTING
            member.sent_at = now
            task = job.make_task_id(unit, member.index)
            state.actions.append(SendStart(member.server, task, attempt.run))


def drop_job(state: PlannerState, job_id: str) -> None:
    """Drop a job that has ended and is recorded, once it has no attempts left."""
    job = state.jobs.get(job_id)
    if job is None or not job.is_final or job_id in state.changed:
        return
    if all(unit.attempt is None for unit in job.units.values()):
        del state.jobs[job_id]
