"""Crashes of backend servers under a task, and the limit of its starts.

A task that crashes each server which starts it would take down one server after the
other. A crash makes the runs suspect that had just started on the server, and counts
only with proof: a new instance of the server, or another server at its address.
Silence is no proof.
"""

from collections.abc import Mapping

from cardamomdyke.jobs.records import JobPhase
from cardamomdyke.model.servers import ServerEntry
from cardamomdyke.planner.attempts import end_job, stop_job
from cardamomdyke.planner.inputs import LapsedRun, Limits, UnitKey
from cardamomdyke.planner.members import Member, MemberPhase
from cardamomdyke.planner.servers import Server
from cardamomdyke.planner.state import Attempt, Job, PlannerState, Unit

# A run that is listed this long after all tasks of its unit have started has outlived
# its start, and a later crash of the server does not count against it.
START_RISK_SECONDS = 1.0
# The platform lets a task be given up after two crashes. The third one spares a sound
# task that was twice on a server that crashed for another reason.
PROVEN_CRASHES = 2
CRASH_LIMIT = 3
# Crashes of any age under a task, after which its job fails. Servers crash for other
# reasons during a long run, and the platform allows two starts after the third crash.
# Possible crashes count too, since every answer to the starts may be lost.
TOTAL_CRASH_LIMIT = 5
# A start reaches its server within this time, unless the network loses packets. The run
# is in the answer to a poll that was sent later.
START_TRANSIT_SECONDS = 0.05
# A server that crashed is back after some seconds. One that is not back by then is
# taken as gone for another reason.
CRASH_PROOF_SECONDS = 30.0


def outlived_start(
    limits: Limits, unit: Unit, attempt: Attempt, member: Member
) -> bool:
    """Check that a run was seen for long enough after its start.

    Parameters
    ----------
    limits : Limits
        Limits of the deployment.
    unit : Unit
        Unit of the run.
    attempt : Attempt
        Current attempt of the unit.
    member : Member
        Member of the attempt.

    Returns
    -------
    bool
        True if a later crash of its server has another cause.
    """
    if attempt.working_since:
        if member.confirmed_at - attempt.working_since >= START_RISK_SECONDS:
            return True
    # The crashes of a unit are dropped from its record once it has outlived its start.
    if unit.crashes or unit.possible_crashes:
        return False
    if (member.index, attempt.run) in unit.silent_starts:
        return False
    # Records do not say how long an earlier planner saw the run, only when it began.
    seen_at = max(member.confirmed_at, member.sent_at)
    age = seen_at - attempt.started_at
    return member.inherited and age >= limits.gang_wait_seconds + START_RISK_SECONDS


def is_suspect(state: PlannerState, job: Job, unit: Unit) -> bool:
    """Return whether servers crashed at the starts of a unit, or may have."""
    return (job.job_id, unit.key) in state.suspect_units


def charge_crash(
    state: PlannerState,
    server: Server,
    job: Job,
    unit: Unit,
    member: Member,
    now: float,
) -> None:
    """Count a proven crash of a server against a run that it had.

    A run that had just started makes its unit suspect.

    Parameters
    ----------
    state : PlannerState
        Modified in place.
    server : Server
        Server that crashed.
    job : Job
        Job of the unit; it fails at the limit of crashes.
    unit : Unit
        Unit of the run.
    member : Member
        Member of the unit's attempt that was sent to the server.
    now : float
        Steady-clock seconds.
    """
    attempt = unit.attempt
    if attempt is None or not was_present(server, member):
        return
    if not outlived_start(state.limits, unit, attempt, member):
        start = (member.index, attempt.run)
        confirmed = member.phase is MemberPhase.RUNNING
        count_start_crash(state, job, unit, start, member.server, confirmed, now)
    else:
        count_later_crash(state, job, unit, (member.index, attempt.run), now)


def was_present(server: Server, member: Member) -> bool:
    """Return whether a run may have been on a server when that went away."""
    if member.phase not in (MemberPhase.STARTING, MemberPhase.RUNNING):
        return False
    if member.phase is MemberPhase.STARTING and was_missing(member):
        return False
    # A start that was sent to a silent server came after the crash.
    sent_before = not server.failing_since or member.sent_at <= server.failing_since
    return sent_before and not server.entry.draining


def was_missing(member: Member) -> bool:
    """Return whether a server was seen without a run after its start was sent."""
    return member.missing_at >= member.last_sent_at + START_TRANSIT_SECONDS


def count_start_crash(
    state: PlannerState,
    job: Job,
    unit: Unit,
    start: tuple[int, int],
    server_name: str,
    confirmed: bool,
    now: float,
) -> None:
    """Count a crash at a task's start, which makes its unit suspect.

    Parameters
    ----------
    state : PlannerState
        Modified in place.
    job : Job
        Job of the unit; it fails at the limit of crashes.
    unit : Unit
        Unit of the task.
    start : (int, int)
        Index of the task and number of the run.
    server_name : str
        Name of the server.
    confirmed : bool
        True if the server had confirmed the start; else the crash is a possible one.
    now : float
        Steady-clock seconds.
    """
    if job.is_final or unit.done or start in unit.crashes | unit.possible_crashes:
        return
    index, run = start
    unit.silent_starts.discard(start)
    (unit.crashes if confirmed else unit.possible_crashes).add(start)
    state.suspect_units.add((job.job_id, unit.key))
    state.mark_changed(job)
    state.note(
        "task.suspected",
        job.job_id,
        unit=unit.key,
        index=index,
        run=run,
        server=server_name,
        confirmed=confirmed,
        crashes=count_index(unit.crashes, index),
        possible=count_index(unit.possible_crashes, index),
        limit=CRASH_LIMIT,
    )
    check_crash_limits(state, job, unit, index, now)


def count_later_crash(
    state: PlannerState, job: Job, unit: Unit, start: tuple[int, int], now: float
) -> None:
    """Count a crash under a run that had outlived its start.

    Servers crash for other reasons under a task that runs for long, so crashes of
    long-running tasks do not count.
    """
    if job.is_final or unit.done or job.find_step(unit).long_running:
        return
    unit.later_crashes.add(start)
    state.mark_changed(job)
    check_crash_limits(state, job, unit, start[0], now)


def count_index(crashes: set[tuple[int, int]], index: int) -> int:
    """Return how many crashes belong to one task of a unit."""
    return sum(crashed == index for crashed, _ in crashes)


def check_crash_limits(
    state: PlannerState, job: Job, unit: Unit, index: int, now: float
) -> None:
    """Fail a job once too many servers crashed under one of its tasks.

    Possible crashes alone do not fail it before the platform's limit of starts, since
    its task may never have run on those servers.
    """
    starts = count_index(unit.crashes | unit.possible_crashes, index)
    proven = count_index(unit.crashes | unit.later_crashes, index)
    crashes = proven + count_index(unit.possible_crashes, index)
    at_limit = proven >= PROVEN_CRASHES and starts >= CRASH_LIMIT
    if at_limit or crashes >= TOTAL_CRASH_LIMIT:
        reason = f"{crashes} backend servers crashed under task {index} of {unit.key}"
        end_job(state, job, JobPhase.FAILED, reason, now)
        stop_job(state, job, "job failed", now)


def mark_silent_start(
    state: PlannerState, server: Server, job: Job, unit: Unit, member: Member
) -> None:
    """Record that a server fell silent after a start, so that a new planner knows it.

    The record of a run alone does not tell whether it had outlived its start.
    """
    attempt = unit.attempt
    if attempt is None or unit.done or job.is_final:
        return
    outlived = outlived_start(state.limits, unit, attempt, member)
    if was_present(server, member) and not outlived:
        unit.silent_starts.add((member.index, attempt.run))
        state.suspect_units.add((job.job_id, unit.key))
        state.mark_changed(job)


def clear_silent_start(
    state: PlannerState, job: Job, unit: Unit, member: Member
) -> None:
    """Drop the suspicion of a run whose server answers again and still lists it."""
    if unit.attempt is None:
        return
    start = (member.index, unit.attempt.run)
    if start in unit.silent_starts:
        unit.silent_starts.discard(start)
        state.mark_changed(job)
        if not list_suspect_indices(unit):
            state.suspect_units.discard((job.job_id, unit.key))


def remember_lapsed_run(
    state: PlannerState,
    server: Server,
    job: Job,
    unit: Unit,
    member: Member,
    now: float,
) -> None:
    """Keep a run that was lost with a silent server, until proof of a crash.

    Where that proof would reach the limit of crashes, the next start waits for it.
    """
    attempt = unit.attempt
    if attempt is None or unit.done or job.is_final or not was_present(server, member):
        return
    at_start = (member.index, attempt.run) in unit.silent_starts
    if job.find_step(unit).long_running and not at_start:
        return
    state.lapsed_runs.append(
        LapsedRun(
            member.server,
            member.instance,
            server.entry.address,
            job.job_id,
            unit.key,
            member.index,
            attempt.run,
            now,
            at_start,
            member.phase is MemberPhase.RUNNING,
        )
    )
    index = member.index
    crashes = unit.crashes | unit.possible_crashes | unit.later_crashes
    pending = sum(
        (item.job_id, item.unit_key, item.index) == (job.job_id, unit.key, index)
        for item in state.lapsed_runs
    )
    if count_index(crashes, index) + pending >= TOTAL_CRASH_LIMIT:
        unit.not_before = now + CRASH_PROOF_SECONDS


def resolve_lapsed_runs(
    state: PlannerState, listed: Mapping[str, ServerEntry], now: float
) -> None:
    """Count crashes of silent servers whose new instances are listed by now.

    Parameters
    ----------
    state : PlannerState
        Modified in place.
    listed : mapping of str to ServerEntry
        Listed servers by name.
    now : float
        Steady-clock seconds.
    """
    if not state.lapsed_runs:
        return
    names = {entry.address: entry.name for entry in listed.values() if entry.address}
    pending = []
    for lapsed in state.lapsed_runs:
        replaced = names.get(lapsed.address, lapsed.server) != lapsed.server
        if replaced or is_restarted(lapsed, listed.get(lapsed.server)):
            job = state.jobs.get(lapsed.job_id)
            unit = job.units.get(lapsed.unit_key) if job is not None else None
            if job is not None and unit is not None:
                charge_lapsed_run(state, job, unit, lapsed, now)
        elif now - lapsed.lapsed_at < CRASH_PROOF_SECONDS:
            pending.append(lapsed)
    state.lapsed_runs = pending


def charge_lapsed_run(
    state: PlannerState, job: Job, unit: Unit, lapsed: LapsedRun, now: float
) -> None:
    """Count the proven crash of a silent server against a run that it had."""
    start = (lapsed.index, lapsed.run)
    if lapsed.at_start:
        count_start_crash(state, job, unit, start, lapsed.server, lapsed.confirmed, now)
    else:
        count_later_crash(state, job, unit, start, now)


def is_restarted(lapsed: LapsedRun, entry: ServerEntry | None) -> bool:
    """Return whether a server is listed with a new instance since a run lapsed."""
    if entry is None or not entry.instance or not lapsed.instance:
        return False
    return entry.instance != lapsed.instance


def clear_suspect(state: PlannerState, job: Job, unit: Unit) -> None:
    """Drop the crashes counted against a unit, once it has outlived its start."""
    attempt = unit.attempt
    if attempt is None or not is_suspect(state, job, unit):
        return
    members = attempt.members.values()
    if not all(outlived_start(state.limits, unit, attempt, item) for item in members):
        return
    state.suspect_units.discard((job.job_id, unit.key))
    state.lapsed_runs = [
        item
        for item in state.lapsed_runs
        if (item.job_id, item.unit_key) != (job.job_id, unit.key)
    ]
    if list_suspect_indices(unit):
        if not job.find_step(unit).long_running:
            unit.later_crashes |= unit.crashes
        unit.crashes.clear()
        unit.possible_crashes.clear()
        unit.silent_starts.clear()
        state.mark_changed(job)
    state.note("task.cleared", job.job_id, unit=unit.key, run=attempt.run)


def list_suspect_indices(unit: Unit) -> set[int]:
    """Return the tasks of a unit at whose starts servers crashed, or may have."""
    starts = unit.crashes | unit.possible_crashes | unit.silent_starts
    return {index for index, _ in starts}


def find_watched_servers(state: PlannerState) -> set[str]:
    """Return the servers that are to start nothing beside a suspect task.

    Suspect units that are gone or done are forgotten.
    """
    watched: set[str] = set()
    for job_id, key in list(state.suspect_units):
        unit = find_live_unit(state, job_id, key)
        if unit is None:
            state.suspect_units.discard((job_id, key))
        elif unit.attempt is not None:
            members = unit.attempt.members
            watched |= {
                members[index].server
                for index in list_suspect_indices(unit)
                if index in members and members[index].phase is not MemberPhase.ENDED
            }
    return watched


def find_live_unit(state: PlannerState, job_id: str, key: UnitKey) -> Unit | None:
    """Return a unit that is not done, of a job that has not ended; else None."""
    job = state.jobs.get(job_id)
    if job is None or job.is_final:
        return None
    unit = job.units.get(key)
    return None if unit is None or unit.done else unit
