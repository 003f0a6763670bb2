"""What the answers of backend servers to starts and stops say about runs."""

from cardamomdyke.model.orders import TaskId
from cardamomdyke.model.servers import CallFault, RefusalKind
from cardamomdyke.planner.actions import SendStart
from cardamomdyke.planner.attempts import abort_attempt, end_member, stop_member
from cardamomdyke.planner.contacts import confirm_member, find_member
from cardamomdyke.planner.leases import estimate_clock
from cardamomdyke.planner.state import (
    Job,
    Member,
    MemberPhase,
    PlannerState,
    Server,
    Unit,
)

# A start without an answer is repeated for this long; it is a part of the time
# that the members of a gang wait for each other (3 s).
START_TIMEOUT_SECONDS = 1.6
# The lease that a start itself carries. A start that is carried out later than
# this is refused, so a lost order does no harm afterwards.
START_LEASE_SECONDS = 1.5
# A server that refused a start is left alone for this long.
START_PAUSE_SECONDS = 1.0


def grant_start_lease(server: Server, now: float) -> float | None:
    """Return the lease of a start on the server's clock, and remember it."""
    if server.reading is None:
        return None
    lease_until = estimate_clock(server.reading, now) + START_LEASE_SECONDS
    server.lease_until = max(server.lease_until, lease_until)
    return lease_until


def handle_start_answer(
    state: PlannerState,
    name: str,
    task: TaskId,
    run: int,
    fault: CallFault | None,
    now: float,
) -> None:
    """Take the answer to a start into account.

    Parameters
    ----------
    state : PlannerState
        Changed in place.
    name : str
        Name of the server.
    task : TaskId
        The task.
    run : int
        Number of the run.
    fault : CallFault or None
        None when the server has confirmed the run.
    now : float
        Seconds of the loop's clock.
    """
    server = state.servers.get(name)
    found = find_member(state, server, task, run) if server else None
    if server is None or found is None:
        return
    job, unit, member = found
    if fault is None:
        confirm_member(state, job, unit, member, server, now)
        return
    if fault.refusal is RefusalKind.FENCE:
        state.superseded = True
        return
    if member.phase is not MemberPhase.STARTING:
        return
    if fault.refusal is RefusalKind.OLD:
        # The run ended or was stopped there; the next look tells which.
        member.stop_requested = True
        member.stop_confirmed_at = now
        return
    if not fault.certain:
        member.may_arrive = True
    repeats = not fault.certain or fault.refusal is RefusalKind.LATE
    if repeats and not member.stop_requested:
        if now - member.sent_at < START_TIMEOUT_SECONDS:
            state.actions.append(SendStart(name, task, run))
            return
    refuse_member(state, job, unit, member, server, fault, now)


def refuse_member(
    state: PlannerState,
    job: Job,
    unit: Unit,
    member: Member,
    server: Server,
    fault: CallFault,
    now: float,
) -> None:
    """Give up the start of a member, and with it the attempt."""
    server.starts_paused_until = now + START_PAUSE_SECONDS
    unit.avoided_servers.add(server.entry.name)
    state.note(
        "start.refused",
        job.job_id,
        unit=unit.key,
        server=server.entry.name,
        detail=fault.detail,
    )
    if member.may_arrive:
        stop_member(state, job, unit, member, now)
        abort_attempt(state, job, unit, "a start was not confirmed", now)
        return
    end_member(state, job, unit, member, None, now)


def handle_stop_answer(
    state: PlannerState,
    name: str,
    task: TaskId,
    run: int,
    fault: CallFault | None,
    now: float,
) -> None:
    """Take the answer to a stop into account."""
    server = state.servers.get(name)
    if fault is not None:
        if fault.refusal is RefusalKind.FENCE:
            state.superseded = True
        return
    found = find_member(state, server, task, run) if server else None
    if found is not None:
        found[2].stop_confirmed_at = now
