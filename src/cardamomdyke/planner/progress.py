"""Progress of jobs: converted to records, and restored after a takeover."""

from collections.abc import Mapping, Sequence
from types import MappingProxyType

from cardamomdyke.jobs.ledger import Ledger, find_stored, read_progress
from cardamomdyke.jobs.records import (
    FINAL_PHASES,
    GANG_INDEX,
    JobPhase,
    JobProgress,
    JobRecord,
    MemberRecord,
    StartRecord,
    UnitRecord,
)
from cardamomdyke.model.orders import Shape
from cardamomdyke.model.servers import ServerEntry
from cardamomdyke.planner.attempts import abort_attempt, cancel_job, end_job
from cardamomdyke.planner.crashes import list_suspect_indices
from cardamomdyke.planner.headroom import record_arrival
from cardamomdyke.planner.inputs import UnitKey
from cardamomdyke.planner.members import Member, MemberPhase
from cardamomdyke.planner.occurrences import open_next, open_occurrences
from cardamomdyke.planner.servers import Server
from cardamomdyke.planner.shares import check_share
from cardamomdyke.planner.state import (
    Attempt,
    Job,
    PlannerState,
    Unit,
    find_earlier_expiry,
)
from cardamomdyke.planner.unsettled import inherit_start

NO_STARTS: Mapping[UnitKey, Sequence[StartRecord]] = MappingProxyType({})


def make_progress(
    job: Job,
    unix_offset: float,
    unsettled_starts: Mapping[UnitKey, Sequence[StartRecord]] = NO_STARTS,
) -> JobProgress:
    """Create the progress record of a job.

    Parameters
    ----------
    job : Job
        Job to record.
    unix_offset : float
        Unix time minus steady-clock time, in seconds.
    unsettled_starts : mapping of UnitKey to sequence of StartRecord
        Starts of the units that may still take effect.

    Returns
    -------
    JobProgress
        Phase, units that have been started, and closed occurrences.
    """
    phase = job.phase
    if phase is JobPhase.QUEUED and job.begun:
        phase = JobPhase.RUNNING
    units = tuple(
        make_unit_record(unit, unix_offset, unsettled_starts.get(unit.key, ()))
        for unit in job.units.values()
        if unit.last_run
    )
    closed_below = 0
    while closed_below in job.closed:
        closed_below += 1
    later = tuple(sorted(item for item in job.closed if item > closed_below))
    return JobProgress(phase, job.begun, job.ended_at, units, closed_below, later)


def make_unit_record(
    unit: Unit, unix_offset: float, unsettled_starts: Sequence[StartRecord] = ()
) -> UnitRecord:
    """Create the progress record of a unit and its active members."""
    members: tuple[MemberRecord, ...] = ()
    began_at = 0.0
    if unit.attempt is not None:
        members = tuple(
            MemberRecord(member.index, member.server, member.instance)
            for member in unit.attempt.members.values()
            if member.phase is not MemberPhase.ENDED
        )
        began_at = round(unit.attempt.started_at + unix_offset, 3)
    occurrence, step, index = unit.key
    return UnitRecord(
        occurrence,
        step,
        index,
        unit.done,
        unit.last_run,
        tuple(sorted(unit.failed_runs)),
        unit.checkpoint,
        members,
        began_at,
        tuple(sorted(unit.crashes)),
        tuple(sorted(unit.silent_starts)),
        tuple(sorted(unit.later_crashes)),
        tuple(sorted(unit.possible_crashes)),
        # The starts of the current run are those of its members.
        tuple(start for start in unsettled_starts if start.run != unit.last_run),
    )


def add_job(state: PlannerState, record: JobRecord, now: float) -> None:
    """Add a newly accepted job, unless it is known.

    A feed that fell behind reads all records again, including those of ended jobs.
    """
    if record.job_id in state.known_job_ids:
        return
    state.known_job_ids.add(record.job_id)
    job = state.jobs[record.job_id] = Job(record, now)
    job.beyond_share = not check_share(state, job)
    if job.is_urgent:
        record_arrival(state, job)
    open_occurrences(state, job, now)


def restore_jobs(state: PlannerState, ledger: Ledger, now: float) -> None:
    """Restore all jobs that have not ended or still have runs on servers.

    Parameters
    ----------
    state : PlannerState
        New state with the listed servers; modified in place.
    ledger : Ledger
        All records before this planner's fence.
    now : float
        Steady-clock seconds.
    """
    state.known_job_ids.update(ledger.jobs)
    for job_id, record in ledger.jobs.items():
        progress = read_progress(ledger, job_id)
        if progress is not None and check_ended(progress):
            continue
        waited = max(0.0, now + state.unix_offset - record.accepted_at)
        job = state.jobs[job_id] = Job(record, now - waited)
        job.stored = find_stored(ledger, job_id)
        if progress is not None:
            restore_progress(state, job, progress, now)
        open_occurrences(state, job, now)
        if job_id in ledger.cancelled and not job.is_final:
            cancel_job(state, job_id, now)
        elif not job.is_final and job.all_done:
            end_job(state, job, JobPhase.COMPLETED, "all tasks are done", now)


def check_ended(progress: JobProgress) -> bool:
    """Check that a job has ended and no member is left."""
    held = any(unit.members for unit in progress.units)
    return progress.phase in FINAL_PHASES and not held


def restore_progress(
    state: PlannerState, job: Job, progress: JobProgress, now: float
) -> None:
    """Restore a job from its progress record."""
    job.phase = progress.phase
    job.begun = progress.begun
    job.ended_at = progress.ended_at
    job.closed = {*range(progress.closed_below), *progress.closed}
    # The clock of an earlier planner may have been ahead of this one's, so the
    # occurrences that it opened stay open.
    latest = max((record.occurrence for record in progress.units), default=-1)
    while job.next_occurrence <= max(latest, max(job.closed, default=-1)):
        open_next(job)
    for record in progress.units:
        unit = job.units.get((record.occurrence, record.step, record.index))
        if unit is None:
            continue
        unit.done = record.done
        unit.last_run = record.run
        unit.failed_runs = set(record.failed_runs)
        unit.checkpoint = record.checkpoint
        unit.crashes = set(record.crashes)
        unit.silent_starts = set(record.silent_starts)
        unit.later_crashes = set(record.later_crashes)
        unit.possible_crashes = set(record.possible_crashes)
        if list_suspect_indices(unit):
            state.suspect_units.add((job.job_id, unit.key))
        for start in record.unsettled_starts:
            task = job.make_task_id(unit, start.index)
            inherit_start(state, start.server, start.instance, task, start.run)
        if record.members:
            restore_attempt(state, job, unit, record, now)


def restore_attempt(
    state: PlannerState, job: Job, unit: Unit, record: UnitRecord, now: float
) -> None:
    """Restore an attempt; stop it if its job has ended or its gang is incomplete."""
    members = {}
    shape = job.find_step(unit).shape
    for item in record.members:
        member = Member(item.index, item.server, item.instance, inherited=True)
        member.phase = MemberPhase.STARTING
        member.sent_at = now
        members[item.index] = member
        server = ensure_server(state, item.server, now)
        server.holders[(job.job_id, unit.key, item.index)] = shape
        task = job.make_task_id(unit, item.index)
        inherit_start(state, item.server, item.instance, task, record.run)
    unit.attempt = Attempt(
        record.run, members, now - measure_run_age(state, record, now)
    )
    partial = unit.key[2] == GANG_INDEX and len(members) < job.find_step(unit).count
    if job.is_final or (partial and not unit.done):
        abort_attempt(state, job, unit, "incomplete at the takeover", now)


def measure_run_age(state: PlannerState, record: UnitRecord, now: float) -> float:
    """Return the age of a recorded run, in seconds; 0 if unknown.

    The recording planner's clock may be ahead, so a start in the future counts as now.
    """
    if not record.began_at:
        return 0.0
    return max(0.0, now + state.unix_offset - record.began_at)


def ensure_server(state: PlannerState, name: str, now: float) -> Server:
    """Return a server by name; an unlisted one is added as not answering."""
    server = state.servers.get(name)
    if server is None:
        entry = ServerEntry(name, "", "", "", Shape())
        server = Server(entry, listed=False, failing_since=now)
        server.inherited_until = find_earlier_expiry(state, name)
        state.servers[name] = server
    return server
