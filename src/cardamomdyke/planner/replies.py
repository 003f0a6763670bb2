"""What servers' answers to starts and stops mean for runs."""

from cardamomdyke.model.orders import TaskId
from cardamomdyke.model.servers import CallFault, RefusalKind
from cardamomdyke.planner.actions import SendStart
from cardamomdyke.planner.attempts import abort_attempt, end_member, stop_member
from cardamomdyke.planner.leases import estimate_clock
from cardamomdyke.planner.members import Member, MemberPhase
from cardamomdyke.planner.polls import confirm_member, find_member
from cardamomdyke.planner.servers import Server
from cardamomdyke.planner.state import Job, PlannerState, Unit, list_holders
from cardamomdyke.planner.unsettled import (
    confirm_stop,
    find_start,
    record_start,
    settle_call,
)

# An unanswered start is repeated for this long, which is part of the time that the
# members of a gang wait for each other (3 s).
START_TIMEOUT_SECONDS = 1.6
# Lease that a start carries. The server refuses a start once this lease has expired,
# so a delayed start has no effect.
START_LEASE_SECONDS = 1.5
# A server that refused or did not confirm a start gets no new work for this long.
START_PAUSE_SECONDS = 1.0


def grant_start_lease(
    state: PlannerState, server: Server, task: TaskId, run: int, now: float
) -> float | None:
    """Return the lease of a start that is sent now, and remember when it was sent.

    Parameters
    ----------
    state : PlannerState
        State of the planner.
    server : Server
        Server of the run; modified in place.
    task : TaskId
        Task that is to start.
    run : int
        Number of the run.
    now : float
        Steady-clock seconds.

    Returns
    -------
    float or None
        Expiry by the server's clock, in seconds; None if that clock is not known, if
        the server is recorded as silent, or if the attempt has ended or is being
        stopped meanwhile.
    """
    record_start(state, server, task, run, now)
    found = find_member(state, server, task, run)
    if server.reading is None or server.entry.name in state.silences:
        return None
    if found is None or found[2].stop_requested:
        return None
    found[2].last_sent_at = now
    lease_until = estimate_clock(server.reading, now) + START_LEASE_SECONDS
    server.lease_until = max(server.lease_until, lease_until)
    return lease_until


def handle_start_answer(
    state: PlannerState,
    name: str,
    task: TaskId,
    run: int,
    instance: int,
    fault: CallFault | None,
    now: float,
) -> None:
    """Apply the answer to a start: confirm, repeat or abandon it.

    Parameters
    ----------
    state : PlannerState
        Modified in place.
    name : str
        Name of the server.
    task : TaskId
        Task that was to start.
    run : int
        Run number; others than the unit's current run are ignored.
    instance : int
        Instance of the server when the start was sent.
    fault : CallFault or None
        None if the server has confirmed the run.
    now : float
        Steady-clock seconds.
    """
    if fault is None or fault.certain:
        settle_call(state, name, task, run)
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
        # The run ended or was stopped there; the next poll tells which.
        member.stop_requested = True
        if server.instance == instance:
            member.stop_confirmed_at = now
        return
    in_time = now - member.sent_at < START_TIMEOUT_SECONDS
    if in_time and not member.stop_requested:
        if fault.refusal is RefusalKind.LATE:
            state.actions.append(SendStart(name, task, run))
            return
        if not fault.certain:
            # The server may have crashed at this start. It is repeated only where the
            # same instance is seen without the run.
            member.repeat_due = True
            return
    abandon_start(state, job, unit, member, server, fault.detail, now)


def abandon_start(
    state: PlannerState,
    job: Job,
    unit: Unit,
    member: Member,
    server: Server,
    detail: str,
    now: float,
) -> None:
    """Abandon a member's start and its attempt, and pause starts on the server."""
    member.repeat_due = False
    server.starts_paused_until = now + START_PAUSE_SECONDS
    unit.avoided_servers.add(server.entry.name)
    state.note(
        "start.refused",
        job.job_id,
        unit=unit.key,
        server=server.entry.name,
        detail=detail,
    )
    task = job.make_task_id(unit, member.index)
    if find_start(state, server.entry.name, task, unit.last_run) is not None:
        stop_member(state, job, unit, member, now)
        abort_attempt(state, job, unit, "a start was not confirmed", now)
        return
    end_member(state, job, unit, member, None, now)


def expire_starts(state: PlannerState, now: float) -> None:
    """Abandon the starts that got no answer and could not be repeated in time."""
    for server in list(state.servers.values()):
        for job, unit, member in list_holders(state, server):
            expired = now - member.sent_at >= START_TIMEOUT_SECONDS
            if member.repeat_due and expired and member.phase is MemberPhase.STARTING:
                abandon_start(state, job, unit, member, server, "no answer", now)


def handle_stop_answer(
    state: PlannerState,
    name: str,
    task: TaskId,
    run: int,
    instance: int,
    fault: CallFault | None,
    now: float,
) -> None:
    """Apply the answer to a stop; a stop that failed is repeated later.

    Parameters
    ----------
    state : PlannerState
        Modified in place.
    name : str
        Name of the server.
    task : TaskId
        Task of the run.
    run : int
        Number of the run.
    instance : int
        Instance of the server when the stop was sent.
    fault : CallFault or None
        None if the server has confirmed the stop.
    now : float
        Steady-clock seconds.
    """
    server = state.servers.get(name)
    if fault is not None:
        if fault.refusal is RefusalKind.FENCE:
            state.superseded = True
        return
    if server is None or server.instance != instance:
        return
    confirm_stop(state, server, task, run)
    found = find_member(state, server, task, run)
    if found is not None:
        found[2].stop_confirmed_at = now
