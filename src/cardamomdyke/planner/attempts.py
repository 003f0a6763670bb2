"""Life of an attempt: from its plan to the end of its last member."""

from collections.abc import Mapping

from cardamomdyke.jobs.records import JobPhase
from cardamomdyke.model.servers import EndKind
from cardamomdyke.planner.actions import SendStop
from cardamomdyke.planner.state import (
    Attempt,
    Job,
    Member,
    MemberPhase,
    PlannerState,
    Unit,
)

# After an attempt that ended without a result the unit waits this long, so that
# a fault that hits every start does not keep the planner busy.
RETRY_SECONDS = 0.1


def begin_attempt(
    state: PlannerState,
    job: Job,
    unit: Unit,
    placements: Mapping[int, str],
    now: float,
    guaranteed: bool = False,
) -> None:
    """Give room to a unit; its starts are sent once the attempt is recorded.

    Parameters
    ----------
    state : PlannerState
        Changed in place.
    job : Job
        The unit's job.
    unit : Unit
        A unit without an attempt.
    placements : mapping of int to str
        Server of each task, by the task's number within its step.
    now : float
        Seconds of the loop's clock.
    guaranteed : bool
        True when it counts on the account's guarantee.
    """
    unit.last_run += 1
    unit.ready_since = 0.0
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
    """Take note that a member is over, and free its room.

    Parameters
    ----------
    state : PlannerState
        Changed in place.
    job : Job
        The unit's job.
    unit : Unit
        A unit with an attempt.
    member : Member
        A member of the attempt.
    kind : EndKind or None
        How it ended; None when it never ran or its end is not known.
    now : float
        Seconds of the loop's clock.
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
    # A task that lasts is started again however it ends.
    if kind is EndKind.DONE and not job.find_step(unit).long_running:
        finish_unit(state, job, unit, now)
    elif not unit.done:
        if kind is EndKind.FAILED:
            fail_unit(state, job, unit, attempt, member, now)
        abort_attempt(state, job, unit, f"member {member.index}: {kind or 'lost'}", now)
    settle_attempt(unit, attempt, now)


def settle_attempt(unit: Unit, attempt: Attempt, now: float) -> None:
    """Let a unit wait again once no member of its attempt is left."""
    over = all(item.phase is MemberPhase.ENDED for item in attempt.members.values())
    if over and unit.attempt is attempt:
        unit.attempt = None
        unit.not_before = max(unit.not_before, now + RETRY_SECONDS)


def finish_unit(state: PlannerState, job: Job, unit: Unit, now: float) -> None:
    """Take note that a unit is done; one member of a gang stands for all."""
    if unit.done:
        return
    unit.done = True
    if not job.is_final and job.all_done:
        end_job(state, job, JobPhase.COMPLETED, "every task is done", now)


def fail_unit(
    state: PlannerState,
    job: Job,
    unit: Unit,
    attempt: Attempt,
    member: Member,
    now: float,
) -> None:
    """Count a failed run against its unit and its server."""
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
        reason = f"unit {unit.key} used up its attempts"
        end_job(state, job, JobPhase.FAILED, reason, now)
        stop_job(state, job, "job failed", now)


def end_job(
    state: PlannerState, job: Job, phase: JobPhase, reason: str, now: float
) -> None:
    """Give a job its last phase."""
    job.phase = phase
    job.ended_at = now + state.unix_offset
    state.mark_changed(job)
    state.note(f"job.{phase.value}", job.job_id, reason=reason)


def cancel_job(state: PlannerState, job_id: str, now: float) -> None:
    """End a job on its caller's wish."""
    job = state.jobs.get(job_id)
    if job is None or job.is_final:
        return
    end_job(state, job, JobPhase.CANCELLED, "its caller cancelled it", now)
    stop_job(state, job, "job cancelled", now)


def stop_job(state: PlannerState, job: Job, reason: str, now: float) -> None:
    """Stop everything that a job has running."""
    for unit in job.units.values():
        abort_attempt(state, job, unit, reason, now)


def abort_attempt(
    state: PlannerState, job: Job, unit: Unit, reason: str, now: float
) -> None:
    """Stop all members of a unit's attempt that are left."""
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
    """Stop one member; one whose start was never sent is over at once."""
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
    """Send the stop of a member, for the first time or again."""
    attempt = unit.attempt
    if attempt is None:
        return
    member.stop_sent_at = now
    task = job.make_task_id(unit, member.index)
    state.actions.append(SendStop(member.server, task, attempt.run))
