"""Starts that got no answer, and may still take effect on a server.

Fencing token, leases and stops bind one instance of a server. An instance that follows
under the same name knows none of them, so a late start would run there beside the run
that has replaced it. The planner stops such starts on each new instance.
"""

from cardamomdyke.jobs.records import StartRecord
from cardamomdyke.model.orders import TaskId
from cardamomdyke.planner.actions import SendStop
from cardamomdyke.planner.inputs import UnitKey, UnsettledStart
from cardamomdyke.planner.leases import find_inherited_expiry
from cardamomdyke.planner.members import Member, MemberPhase
from cardamomdyke.planner.servers import Server
from cardamomdyke.planner.state import Attempt, Job, PlannerState, Unit, find_unit

# The platform's servers carry out an order without an answer up to 12 s later. The rest
# covers their clocks, which may be 2% slow.
LATE_ORDER_SECONDS = 12.3
# An unconfirmed stop of an unsettled start is repeated after this time.
STOP_RETRY_WAIT_SECONDS = 0.8


def record_start(
    state: PlannerState, server: Server, task: TaskId, run: int, now: float
) -> None:
    """Record a call that starts a run, until it is settled.

    Parameters
    ----------
    state : PlannerState
        Modified in place.
    server : Server
        Server of the run.
    task : TaskId
        Task that is started.
    run : int
        Number of the run.
    now : float
        Steady-clock seconds.
    """
    starts = state.unsettled_starts.setdefault(server.entry.name, {})
    start = starts.get((task, run))
    if start is None or start.instance != server.instance:
        earlier = 0 if start is None else start.calls - start.answers
        start = starts[task, run] = UnsettledStart(server.instance, earlier)
    start.calls += 1
    start.sent_at = now


def inherit_start(
    state: PlannerState, server: str, instance: int, task: TaskId, run: int
) -> None:
    """Keep a start in mind that an earlier planner sent, maybe without an answer.

    Records do not say when it was sent last.

    Parameters
    ----------
    state : PlannerState
        Modified in place.
    server : str
        Name of the server of the run.
    instance : int
        Instance of the server to which the start was addressed.
    task : TaskId
        Task that was started.
    run : int
        Number of the run.
    """
    sent_before = state.took_over_at + state.limits.overlap_seconds
    starts = state.unsettled_starts.setdefault(server, {})
    starts[task, run] = UnsettledStart(instance, calls=1, sent_at=sent_before)


def list_start_records(
    state: PlannerState,
) -> dict[str, dict[UnitKey, list[StartRecord]]]:
    """Return the starts that may still take effect, by job id and unit."""
    records: dict[str, dict[UnitKey, list[StartRecord]]] = {}
    for name, starts in state.unsettled_starts.items():
        for (task, run), start in starts.items():
            unit = find_unit(state, task)[1]
            if unit is not None:
                units = records.setdefault(task.job_id, {})
                units.setdefault(unit.key, []).append(
                    StartRecord(task.index, name, start.instance, run)
                )
    return records


def settle_call(state: PlannerState, name: str, task: TaskId, run: int) -> None:
    """Settle one call of a start, which was answered or never sent."""
    start = find_start(state, name, task, run)
    if start is None:
        return
    start.answers += 1
    if start.answers >= start.calls:
        del state.unsettled_starts[name][task, run]


def settle_listed_run(state: PlannerState, name: str, task: TaskId, run: int) -> None:
    """Settle a start whose run a server lists, unless it was sent more than once."""
    start = find_start(state, name, task, run)
    if start is not None and start.calls == 1:
        del state.unsettled_starts[name][task, run]


def find_start(
    state: PlannerState, name: str, task: TaskId, run: int
) -> UnsettledStart | None:
    """Return the unsettled start of a run on a server, or None."""
    return state.unsettled_starts.get(name, {}).get((task, run))


def forget_old_orders(state: PlannerState, now: float) -> None:
    """Forget the starts of which no run can be left, and the renewals before them."""
    lease_limit = state.limits.lease_seconds
    for name, starts in list(state.unsettled_starts.items()):
        for key, start in list(starts.items()):
            latest = start.sent_at + LATE_ORDER_SECONDS
            if now > find_inherited_expiry(latest, lease_limit):
                del starts[key]
        if not starts:
            del state.unsettled_starts[name]
    for name, sent_at in list(state.unanswered_grants.items()):
        if now - sent_at > LATE_ORDER_SECONDS:
            del state.unanswered_grants[name]


def stop_unsettled_starts(state: PlannerState, server: Server, now: float) -> None:
    """Stop the starts on a server that were sent to an earlier instance of it.

    Parameters
    ----------
    state : PlannerState
        Modified in place.
    server : Server
        Server whose current instance has answered.
    now : float
        Steady-clock seconds.
    """
    name = server.entry.name
    for (task, run), start in state.unsettled_starts.get(name, {}).items():
        bound = server.instance in (start.instance, start.stopped_instance)
        waits = now - start.stop_sent_at < STOP_RETRY_WAIT_SECONDS
        late = now - start.sent_at > LATE_ORDER_SECONDS
        if bound or waits or late or has_member(state, server, task, run):
            continue
        start.stop_sent_at = now
        state.actions.append(SendStop(name, task, run))


def has_member(state: PlannerState, server: Server, task: TaskId, run: int) -> bool:
    """Return whether a run on a server belongs to an attempt that has not ended."""
    _, unit = find_unit(state, task)
    if unit is None or unit.attempt is None or unit.attempt.run != run:
        return False
    member = unit.attempt.members.get(task.index)
    return (
        member is not None
        and member.server == server.entry.name
        and member.phase is not MemberPhase.ENDED
    )


def confirm_stop(state: PlannerState, server: Server, task: TaskId, run: int) -> None:
    """Record that the current instance of a server refuses a start from now on."""
    start = find_start(state, server.entry.name, task, run)
    if start is not None:
        start.stopped_instance = server.instance


def find_latest_arrival(state: PlannerState, server: Server) -> float:
    """Return until when a start of an earlier instance may reach a server.

    Parameters
    ----------
    state : PlannerState
        State of the planner.
    server : Server
        The server.

    Returns
    -------
    float
        Steady-clock seconds; 0 if no such start is known.
    """
    arrivals = (
        start.sent_at + LATE_ORDER_SECONDS
        for start in state.unsettled_starts.get(server.entry.name, {}).values()
        if start.instance != server.instance
    )
    return max(arrivals, default=0.0)


def find_arrival(
    state: PlannerState,
    server: Server,
    job: Job,
    unit: Unit,
    attempt: Attempt,
    member: Member,
) -> float:
    """Return until when the start of a member may reach its server.

    Parameters
    ----------
    state : PlannerState
        State of the planner.
    server : Server
        Server of the member.
    job : Job
        Job of the unit.
    unit : Unit
        Unit of the attempt.
    attempt : Attempt
        Current attempt of the unit.
    member : Member
        Member of the attempt.

    Returns
    -------
    float
        Steady-clock seconds; 0 if all its starts are settled.
    """
    if member.inherited:
        # Records do not say when an earlier planner sent the start last.
        sent_before = state.took_over_at + state.limits.overlap_seconds
        return sent_before + LATE_ORDER_SECONDS
    task = job.make_task_id(unit, member.index)
    start = find_start(state, server.entry.name, task, attempt.run)
    return 0.0 if start is None else start.sent_at + LATE_ORDER_SECONDS


def is_replaced(server: Server, member: Member) -> bool:
    """Return whether the store lists a later instance than that of a member."""
    listed = server.entry.instance
    return bool(listed and member.instance) and listed != member.instance
