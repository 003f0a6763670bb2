"""Polls of backend servers: what answers, and missing answers, mean for runs."""

from collections.abc import Iterable

from cardamomdyke.model.orders import Shape, TaskId
from cardamomdyke.model.servers import (
    CallFault,
    EndKind,
    EndReport,
    RefusalKind,
    RunLists,
    RunReport,
    ServerEntry,
)
from cardamomdyke.planner.acknowledgements import hold_end
from cardamomdyke.planner.actions import PollOrder, SendStop
from cardamomdyke.planner.attempts import (
    abort_attempt,
    end_member,
    send_stop,
)
from cardamomdyke.planner.crashes import (
    charge_crash,
    clear_silent_start,
    clear_suspect,
    mark_silent_start,
    resolve_lapsed_runs,
    was_missing,
)
from cardamomdyke.planner.departures import note_departure
from cardamomdyke.planner.expiry import note_lost_run, release_members
from cardamomdyke.planner.leases import ClockReading, estimate_clock
from cardamomdyke.planner.members import Member, MemberPhase
from cardamomdyke.planner.observations import forget_server, observe_end
from cardamomdyke.planner.rates import observe_progress
from cardamomdyke.planner.reports import keep_checkpoint, keep_report
from cardamomdyke.planner.servers import Server
from cardamomdyke.planner.state import (
    Job,
    PlannerState,
    Unit,
    find_earlier_expiry,
    find_unit,
    list_holders,
)
from cardamomdyke.planner.suspicion import clear_suspicion, record_failure
from cardamomdyke.planner.unsettled import (
    LATE_ORDER_SECONDS,
    find_latest_arrival,
    find_start,
    settle_listed_run,
    stop_unsettled_starts,
)

# Long poll of a server with runs. Each poll renews the lease, so when contact is lost
# the lease is shorter than the limit by up to this time.
POLL_WAIT_SECONDS = 1.0
# An end is reported within this time of the answer before, unless a poll was lost.
MAX_END_DELAY_SECONDS = POLL_WAIT_SECONDS + 0.5
# Lease of a draining server, which may disappear at any moment. Its tasks start
# on other servers once the lease has expired; several polls fit into it.
DRAINING_LEASE_SECONDS = 2.0
# Within this time after an answer a server cannot have restarted, started a run and
# ended it.
SAME_INSTANCE_SECONDS = 0.5
# Percentage that a server reports for a long-running task which has finished its start.
AT_WORK_PERCENT = 100.0
# The platform lists at most this many ended runs in one answer.
MAX_REPORTED_ENDS = 500


def update_servers(
    state: PlannerState, entries: Iterable[ServerEntry], now: float
) -> None:
    """Update the backend servers from the store; unlisted ones stay while in use.

    Parameters
    ----------
    state : PlannerState
        Modified in place.
    entries : iterable of ServerEntry
        All servers that the store lists, of any pool.
    now : float
        Steady-clock seconds.
    """
    listed = {
        entry.name: entry
        for entry in entries
        if is_pool_used(state, entry.pool) or is_in_use(state, entry.name)
    }
    for name, entry in listed.items():
        server = state.servers.get(name)
        if server is None:
            server = state.servers[name] = Server(entry)
            server.inherited_until = find_earlier_expiry(state, name)
        elif entry.draining and not server.entry.draining:
            state.note("server.draining", name, remaining=entry.remaining_seconds)
        forget_server(state, server.entry, entry)
        server.entry = entry
        server.listed = True
        note_departure(server, now)
    for name, server in list(state.servers.items()):
        if name in listed:
            continue
        if server.listed:
            server.listed = False
            state.note("server.unlisted", name, holders=len(server.holders))
        if not is_in_use(state, name):
            forget_server(state, server.entry)
            del state.servers[name]
    resolve_lapsed_runs(state, listed, now)


def is_pool_used(state: PlannerState, pool: str) -> bool:
    """Return whether the configuration or an open job names a pool.

    An entry of another pool names no server to use.
    """
    return (
        state.tables is None
        or pool in state.tables.pools
        or any(job.record.pool == pool for job in state.jobs.values())
    )


def is_in_use(state: PlannerState, name: str) -> bool:
    """Return whether a server is known and may have runs."""
    server = state.servers.get(name)
    return server is not None and bool(server.holders or server.unknown_runs)


def is_busy(state: PlannerState, server: Server) -> bool:
    """Return whether a server has runs, or may carry out a late start.

    Such a server is polled without a pause, so that a new instance is soon told to
    refuse late starts.
    """
    used = bool(server.holders or server.unknown_runs)
    return used or server.entry.name in state.unsettled_starts


def make_poll_order(
    state: PlannerState, server: Server, now: float, may_grant: bool
) -> PollOrder:
    """Return the parameters of a server's next poll, and remember the granted lease.

    A restarted server numbers ended runs from 1 again. An acknowledgement is therefore
    sent only shortly after an answer and until the server confirms it; later, it could
    make a restarted server drop an ended run that was never read.
    """
    lease_until = None
    # A poll that fails may still have renewed the lease. A server that does not answer
    # gets no further renewals, or its runs could never be taken as ended.
    silent = bool(server.failing_since) or server.entry.name in state.silences
    if may_grant and server.reading is not None and not silent:
        seconds = state.limits.lease_seconds
        if server.entry.draining:
            seconds = min(seconds, DRAINING_LEASE_SECONDS)
        clock = estimate_clock(server.reading, now)
        lease_until = clock + seconds
        server.lease_until = max(server.lease_until, lease_until)
        server.grant_sent_at = now
    fresh = now - server.last_contact_at <= SAME_INSTANCE_SECONDS
    acknowledged = server.acknowledged if fresh else 0
    if acknowledged <= server.confirmed_end:
        acknowledged = 0
    busy = is_busy(state, server)
    settled = server.processed_end == max(acknowledged, server.confirmed_end)
    # A server that did not answer is polled without waiting, since only the next poll
    # renews the lease.
    may_wait = busy and settled and not server.failing_since
    return PollOrder(
        now, acknowledged, lease_until, POLL_WAIT_SECONDS if may_wait else 0.0
    )


def handle_poll_answer(
    state: PlannerState, name: str, order: PollOrder, lists: RunLists, now: float
) -> None:
    """Apply a server's answer to a poll.

    Parameters
    ----------
    state : PlannerState
        Modified in place.
    name : str
        Name of the server.
    order : PollOrder
        Parameters of the poll.
    lists : RunLists
        Running and ended runs on the server.
    now : float
        Steady-clock seconds.
    """
    server = state.servers.get(name)
    if server is None:
        return
    if server.failing_since:
        state.note("server.regained", name, silent=round(now - server.failing_since, 3))
    in_time = now - server.last_contact_at <= MAX_END_DELAY_SECONDS
    server.failing_since = 0.0
    server.last_contact_at = now
    if server.reading is None or lists.instance != server.instance:
        # No planner can have granted a longer lease than this.
        server.lease_until = lists.clock_seconds + state.limits.lease_seconds
    server.reading = ClockReading(lists.clock_seconds, now)
    if lists.instance != server.instance:
        begin_instance(state, server, lists, order.sent_at, now)
    else:
        server.confirmed_end = max(server.confirmed_end, order.acknowledged)
    for end in sorted(lists.ended, key=lambda item: item.number):
        if end.number > server.processed_end:
            handle_run_end(state, server, end, now, in_time)
            server.processed_end = end.number
            hold_end(state, server, end.task.job_id)
    present = set()
    for report in lists.running:
        present.add((report.task, report.run))
        handle_listed_run(state, server, report, now)
    for unknown in [item for item in server.unknown_runs if item not in present]:
        del server.unknown_runs[unknown]
    if len(lists.ended) < MAX_REPORTED_ENDS:
        end_missing_members(state, server, present, order.sent_at, now)


def begin_instance(
    state: PlannerState, server: Server, lists: RunLists, sent_at: float, now: float
) -> None:
    """Reset the state of a restarted server and end the runs that it has lost."""
    previous = server.instance
    server.instance = lists.instance
    present = {(report.task, report.run) for report in lists.running}
    present |= {(end.task, end.run) for end in lists.ended}
    for job, unit, member in list_holders(state, server):
        if member.instance in (0, lists.instance) or unit.attempt is None:
            continue
        if (job.make_task_id(unit, member.index), unit.attempt.run) not in present:
            note_lost_run(state, job, unit, member, "the server restarted")
            charge_crash(state, server, job, unit, member, now)
            if member.phase is MemberPhase.STARTING and not was_missing(member):
                # Sent again, the same start could crash the new instance too.
                abort_attempt(state, job, unit, "the server crashed", now)
    stop_unsettled_starts(state, server, now)
    server.late_grant_until = find_latest_arrival(state, server)
    if server.entry.name in state.unanswered_grants:
        latest = state.unanswered_grants[server.entry.name] + LATE_ORDER_SECONDS
        server.late_grant_until = max(server.late_grant_until, latest)
    if not previous:
        return
    state.note("server.reborn", server.entry.name, former=previous, life=lists.instance)
    server.processed_end = server.confirmed_end = 0
    server.unrecorded_ends.clear()
    server.unknown_runs.clear()
    clear_suspicion(server)
    for job, unit, member in list_holders(state, server):
        if unit.attempt is None:
            continue
        run = (job.make_task_id(unit, member.index), unit.attempt.run)
        lost = run not in present and member.confirmed_at <= sent_at
        member.stop_confirmed_at = 0.0
        if member.phase is MemberPhase.RUNNING and lost:
            end_lost_run(state, server, job, unit, member, now)
        elif member.phase is MemberPhase.STARTING and member.stop_requested:
            send_stop(state, job, unit, member, now)


def end_lost_run(
    state: PlannerState,
    server: Server,
    job: Job,
    unit: Unit,
    member: Member,
    now: float,
) -> None:
    """End a run that its server no longer knows.

    While a start of it may still take effect, its end waits until the server has
    confirmed a stop.
    """
    attempt = unit.attempt
    task = job.make_task_id(unit, member.index)
    if attempt is None:
        return
    if find_start(state, server.entry.name, task, attempt.run) is None:
        end_member(state, job, unit, member, None, now)
        return
    member.phase = MemberPhase.STARTING
    abort_attempt(state, job, unit, "the run was lost with its server", now)
    if member.stop_sent_at < now:
        # A stop that was sent before may have reached the instance before.
        send_stop(state, job, unit, member, now)


def find_member(
    state: PlannerState, server: Server, task: TaskId, run: int
) -> tuple[Job, Unit, Member] | None:
    """Return the active member that a run on a server belongs to, or None."""
    job, unit = find_unit(state, task)
    if job is None or unit is None:
        return None
    attempt = unit.attempt
    if attempt is None or attempt.run != run:
        return None
    member = attempt.members.get(task.index)
    if member is None or member.server != server.entry.name:
        return None
    if member.phase is MemberPhase.ENDED:
        return None
    return job, unit, member


def handle_run_end(
    state: PlannerState, server: Server, end: EndReport, now: float, in_time: bool
) -> None:
    """Apply an ended run; runs without an active member are ignored.

    The duration counts only if the end was reported `in_time`.
    """
    server.unknown_runs.pop((end.task, end.run), None)
    settle_listed_run(state, server.entry.name, end.task, end.run)
    found = find_member(state, server, end.task, end.run)
    if found is None:
        return
    job, unit, member = found
    if end.checkpoint:
        keep_checkpoint(unit, end)
    if end.kind is EndKind.FAILED:
        record_failure(state, server, job, unit, now)
    elif end.kind is EndKind.DONE:
        clear_suspicion(server)
        if in_time:
            observe_end(state, server, job, unit, member, now)
    mark_begun(state, job)
    end_member(state, job, unit, member, end.kind, now)


def mark_begun(state: PlannerState, job: Job) -> None:
    """Mark a job as started, once its first task runs."""
    if job.begun:
        return
    job.begun = True
    state.mark_changed(job)


def handle_listed_run(
    state: PlannerState, server: Server, report: RunReport, now: float
) -> None:
    """Confirm the member of a listed run, or stop a run without one."""
    found = find_member(state, server, report.task, report.run)
    if found is None:
        add_unknown_run(state, server, report)
        return
    job, unit, member = found
    keep_report(unit, report, now)
    observe_progress(state, server, job, unit, member, report, now)
    member.at_work = report.percent >= AT_WORK_PERCENT
    confirm_member(state, job, unit, member, server, now)


def add_unknown_run(state: PlannerState, server: Server, report: RunReport) -> None:
    """Count the resources of a run without an attempt, and stop it."""
    key = (report.task, report.run)
    if key not in server.unknown_runs:
        server.unknown_runs[key] = find_task_shape(state, server, report.task)
        state.note(
            "run.unknown",
            report.task.job_id,
            task=(report.task.occurrence, report.task.step, report.task.index),
            run=report.run,
            server=server.entry.name,
            instance=server.instance,
        )
    state.actions.append(SendStop(server.entry.name, report.task, report.run))


def find_task_shape(state: PlannerState, server: Server, task: TaskId) -> Shape:
    """Return a task's resources; the server's whole capacity for an unknown job."""
    job = state.jobs.get(task.job_id)
    if job is None or task.step >= len(job.record.order.steps):
        return server.entry.capacity
    return job.record.order.steps[task.step].shape


def confirm_member(
    state: PlannerState,
    job: Job,
    unit: Unit,
    member: Member,
    server: Server,
    now: float,
) -> None:
    """Mark a member as running on its server, and send a pending stop."""
    member.confirmed_at = now
    member.instance = server.instance
    if unit.attempt is not None:
        task = job.make_task_id(unit, member.index)
        settle_listed_run(state, server.entry.name, task, unit.attempt.run)
    if member.phase is MemberPhase.STARTING:
        member.phase = MemberPhase.RUNNING
        mark_begun(state, job)
        start_work(unit, now)
    clear_silent_start(state, job, unit, member)
    clear_suspect(state, job, unit)
    if member.stop_requested and not member.stop_sent_at:
        send_stop(state, job, unit, member, now)


def start_work(unit: Unit, now: float) -> None:
    """Record the time from which all tasks of a unit's attempt are running."""
    attempt = unit.attempt
    if attempt is not None and all(
        item.phase is MemberPhase.RUNNING for item in attempt.members.values()
    ):
        attempt.working_since = now


def end_missing_members(
    state: PlannerState,
    server: Server,
    present: set[tuple[TaskId, int]],
    sent_at: float,
    now: float,
) -> None:
    """End the members that can neither be running nor still be started."""
    for job, unit, member in list_holders(state, server):
        attempt = unit.attempt
        if attempt is None or member.phase is MemberPhase.ENDED:
            continue
        if (job.make_task_id(unit, member.index), attempt.run) in present:
            continue
        member.missing_at = max(member.missing_at, sent_at)
        if check_gone(member, sent_at):
            state.note(
                "run.gone",
                job.job_id,
                unit=unit.key,
                run=attempt.run,
                server=server.entry.name,
                phase=member.phase.value,
            )
            if member.phase is MemberPhase.RUNNING:
                end_lost_run(state, server, job, unit, member, now)
            else:
                end_member(state, job, unit, member, None, now)


def check_gone(member: Member, sent_at: float) -> bool:
    """Check that a member which a poll did not list has ended or will never start.

    A run confirmed before the poll was sent would be listed. A start by an earlier
    planner is refused once the server has seen this planner's fencing token, which
    the poll carried. A stop confirmed before the poll prevents a later start.
    """
    if member.phase is MemberPhase.RUNNING:
        return member.confirmed_at < sent_at
    if member.phase is MemberPhase.STARTING:
        stopped = 0 < member.stop_confirmed_at < sent_at
        return member.inherited or stopped
    return False


def handle_poll_fault(
    state: PlannerState, name: str, fault: CallFault, now: float
) -> None:
    """Apply a poll that failed: no answer, or a refusal."""
    server = state.servers.get(name)
    if server is None:
        return
    if fault.refusal is RefusalKind.FENCE:
        state.superseded = True
        return
    if not fault.certain and server.grant_sent_at:
        state.unanswered_grants[name] = server.grant_sent_at
    if not server.failing_since:
        server.failing_since = now
        state.note("server.lost", name, detail=fault.detail)
        for job, unit, member in list_holders(state, server):
            mark_silent_start(state, server, job, unit, member)
    if fault.refusal is RefusalKind.OTHER_LIFE:
        for job, unit, member in list_holders(state, server):
            charge_crash(state, server, job, unit, member, now)
        reason = "another server answers at its address"
        release_members(state, server, list(list_holders(state, server)), reason, now)
        # Late orders name the server that is gone, so the other one refuses them.
        state.unsettled_starts.pop(name, None)
        server.listed = False


def measure_free_capacity(server: Server) -> Shape:
    """Return a server's capacity less the resources of its runs."""
    used = [*server.holders.values(), *server.unknown_runs.values()]
    capacity = server.entry.capacity
    return Shape(
        capacity.millicores - sum(item.millicores for item in used),
        capacity.memory_mb - sum(item.memory_mb for item in used),
        capacity.accelerators - sum(item.accelerators for item in used),
    )
