"""Lifecycle of an attempt, from planning to the end of its last member."""

from collections.abc import Mapping

from cardamomdyke.jobs.records import JobPhase
from cardamomdyke.model.servers import EndKind
from cardamomdyke.planner.actions import SendStop
from cardamomdyke.planner.members import Member, MemberPhase
from cardamomdyke.planner.state import Attempt, Job, PlannerState, Unit

# Delay of a unit's retry, so that a fault that affects every start does not keep
# the planner busy.
RETRY_WAIT_SECONDS = 0.1


def create_attempt(
    state: PlannerState,
    job: Job,
    unit: Unit,
    placements: Mapping[int, str],
    now: float,
    guaranteed: bool = False,
) -> None:
    """Create the next attempt of a unit and allocate capacity on its servers.

    The starts are sent once the attempt is recorded.

    Parameters
    ----------
    state : PlannerState
        Modified in place.
    job : Job
        Job of the unit.
    unit : Unit
        Unit without an attempt.
    placements : mapping of int to str
        Server by task index within the step.
    now : float
        Steady-clock seconds.
    guaranteed : bool
        True if the client account's guarantee covers it.
    """
    unit.last_run += 1
    unit.ready_since = unit.silent_since = 0.0
    unit.pending_reason = unit.reported_reason = ""
    shape = job.find_step(unit).shape
    members = {}
    for index, name in placements.items():
        server = state.servers[name]
        members[index] = Member(index, name, server.instance)
        server.holders[(job.job_id, unit.key, index)] = shape
    unit.attempt = Attempt(
        unit.last_run, members, now, unit.checkpoint, guaranteed=guaranteed
    )
    state.mark_changed(job)


def end_member(
    state: PlannerState,
    job: Job,
    unit: Unit,
    member: Member,
    kind: EndKind | None,
    now: float,
) -> None:
    """Mark a member as ended, free its resources and update its unit.

    Parameters
    ----------
    state : PlannerState
        Modified in place.
    job : Job
        Job of the unit.
    unit : Unit
        Unit with an attempt.
    member : Member
        Member of the attempt; ignored if it has ended.
    kind : EndKind or None
        How it ended; None if it never ran or this is unknown.
    now : float
        Steady-clock seconds.
    """
    attempt = unit.attempt
    if attempt is None or member.phase is MemberPhase.ENDED:
        return
    member.phase = MemberPhase.ENDED
    member.end = kind
    server = state.servers.get(member.server)
    if server is not None:
        server.holders.pop((job.job_id, unit.key, member.index), None)
    state.mark_changed(job)
    # A long-running task is restarted however it ends.
    if kind is EndKind.DONE and not job.find_step(unit).long_running:
        finish_unit(state, job, unit, now)
    elif not unit.done:
        if kind is EndKind.FAILED:
            fail_unit(state, job, unit, attempt, member, now)
        abort_attempt(state, job, unit, f"member {member.index}: {kind or 'lost'}", now)
    settle_attempt(unit, attempt, now)


def settle_attempt(unit: Unit, attempt: Attempt, now: float) -> None:
    """Detach an attempt whose members have all ended, so that its unit can retry."""
    ended = all(item.phase is MemberPhase.ENDED for item in attempt.members.values())
    if ended and unit.attempt is attempt:
        unit.attempt = None
        unit.ended_at = now
        unit.not_before = max(unit.not_before, now + RETRY_WAIT_SECONDS)


def finish_unit(state: PlannerState, job: Job, unit: Unit, now: float) -> None:
    """Mark a unit as done, a gang at its first done member, and maybe its job."""
    if unit.done:
        return
    unit.done = True
    if not job.is_final and job.all_done:
        end_job(state, job, JobPhase.COMPLETED, "all tasks are done", now)


def fail_unit(
    state: PlannerState,
    job: Job,
    unit: Unit,
    attempt: Attempt,
    member: Member,
    now: float,
) -> None:
    """Count a failed run, and fail the job at the attempt limit.

    Failures of long-running tasks do not count.
    """
    if attempt.run in unit.failed_runs:
        return
    limited = not job.find_step(unit).long_running
    if limited:
        unit.failed_runs.add(attempt.run)
    unit.avoided_servers.add(member.server)
    state.note(
        "task.failed",
        job.job_id,
        unit=unit.key,
        run=attempt.run,
        server=member.server,
        failed=len(unit.failed_runs),
        limit=job.record.attempt_limit,
    )
    if (
        limited
        and len(unit.failed_runs) >= job.record.attempt_limit
        and not job.is_final
    ):
        reason = f"unit {unit.key} reached the attempt limit"
        end_job(state, job, JobPhase.FAILED, reason, now)
        stop_job(state, job, "job failed", now)


def end_job(
    state: PlannerState, job: Job, phase: JobPhase, reason: str, now: float
) -> None:
    """Set the final phase of a job and the Unix time of its end."""
    job.phase = phase
    job.ended_at = now + state.unix_offset
    state.mark_changed(job)
    state.note(f"job.{phase.value}", job.job_id, reason=reason)


def cancel_job(state: PlannerState, job_id: str, now: float) -> None:
    """Cancel a job and stop its runs; unknown and ended jobs are ignored."""
    job = state.jobs.get(job_id)
    if job is None or job.is_final:
        return
    end_job(state, job, JobPhase.CANCELLED, "cancelled by its caller", now)
    stop_job(state, job, "job cancelled", now)


def stop_job(state: PlannerState, job: Job, reason: str, now: float) -> None:
    """Stop all attempts of a job."""
    for unit in job.units.values():
        abort_attempt(state, job, unit, reason, now)


def abort_attempt(
    state: PlannerState, job: Job, unit: Unit, reason: str, now: float
) -> None:
    """Stop the remaining members of a unit's attempt."""
    attempt = unit.attempt
    if attempt is None:
        return
    attempt.reason = attempt.reason or reason
    for member in list(attempt.members.values()):
        stop_member(state, job, unit, member, now)
    settle_attempt(unit, attempt, now)


def stop_member(
    state: PlannerState, job: Job, unit: Unit, member: Member, now: float
) -> None:
    """Stop one member; one whose start was never sent ends immediately."""
    if member.phase is MemberPhase.ENDED or member.stop_requested:
        return
    member.stop_requested = True
    if member.phase is MemberPhase.PLANNED:
        end_member(state, job, unit, member, None, now)
        return
    send_stop(state, job, unit, member, now)


def send_stop(
    state: PlannerState, job: Job, unit: Unit, member: Member, now: float
) -> None:
    """Send the stop of a member, or send it again."""
    attempt = unit.attempt
    if attempt is None:
        return
    member.stop_sent_at = now
    task = job.make_task_id(unit, member.index)
    state.actions.append(SendStop(member.server, task, attempt.run))
