"""Expiry of leases on silent servers, and what it means for their runs."""

from cardamomdyke.model.servers import EndKind
from cardamomdyke.planner.attempts import end_member, send_stop
from cardamomdyke.planner.crashes import remember_lapsed_run
from cardamomdyke.planner.leases import find_inherited_expiry, find_lease_expiry
from cardamomdyke.planner.members import Member, MemberPhase
from cardamomdyke.planner.servers import Server
from cardamomdyke.planner.state import Job, PlannerState, Unit, list_holders
from cardamomdyke.planner.unsettled import (
    STOP_RETRY_WAIT_SECONDS,
    find_arrival,
    forget_old_orders,
    is_replaced,
    stop_unsettled_starts,
)


def apply_timeouts(state: PlannerState, now: float) -> None:
    """Repeat unanswered stops, and release silent servers whose leases expired."""
    forget_old_orders(state, now)
    for server in list(state.servers.values()):
        for job, unit, member in list_holders(state, server):
            pending = member.stop_requested and not member.stop_confirmed_at
            due = now - member.stop_sent_at >= STOP_RETRY_WAIT_SECONDS
            if pending and member.phase is not MemberPhase.ENDED and due:
                send_stop(state, job, unit, member, now)
        if not server.failing_since:
            stop_unsettled_starts(state, server, now)
            continue
        if server.unknown_runs and now >= find_server_expiry(state, server):
            # A server that is gone would use the quotas of these runs for good.
            server.unknown_runs.clear()
        expired = [
            holder
            for holder in list_holders(state, server)
            if now >= find_member_expiry(state, server, *holder)
        ]
        if expired:
            for job, unit, member in expired:
                remember_lapsed_run(state, server, job, unit, member, now)
            release_members(state, server, expired, "its leases have expired", now)


def find_server_expiry(state: PlannerState, server: Server) -> float:
    """Return the steady-clock time by which all runs on a silent server have ended."""
    if server.reading is None:
        return server.inherited_until
    expiry = find_lease_expiry(server.reading, server.lease_until)
    if not server.late_grant_until:
        return expiry
    lease_limit = state.limits.lease_seconds
    return max(expiry, find_inherited_expiry(server.late_grant_until, lease_limit))


def find_member_expiry(
    state: PlannerState, server: Server, job: Job, unit: Unit, member: Member
) -> float:
    """Return the steady-clock time by which a run on a silent server has ended.

    Where the store lists a later instance, a start to the earlier one may take effect
    there, with the longest lease.
    """
    expiry = find_server_expiry(state, server)
    if unit.attempt is None or not is_replaced(server, member):
        return expiry
    arrival = find_arrival(state, server, job, unit, unit.attempt, member)
    if not arrival:
        return expiry
    return max(expiry, find_inherited_expiry(arrival, state.limits.lease_seconds))


def release_members(
    state: PlannerState,
    server: Server,
    holders: list[tuple[Job, Unit, Member]],
    reason: str,
    now: float,
) -> None:
    """End members on a server as if its lease had expired."""
    state.note(
        "server.given_up", server.entry.name, reason=reason, holders=len(holders)
    )
    server.unknown_runs.clear()
    for job, unit, member in holders:
        note_lost_run(state, job, unit, member, reason)
        unit.silent_since = server.failing_since
        end_member(state, job, unit, member, EndKind.LAPSED, now)


def note_lost_run(
    state: PlannerState, job: Job, unit: Unit, member: Member, cause: str
) -> None:
    """Log a run that was lost with its server, and how long it was seen to run."""
    state.note(
        "run.lost",
        job.job_id,
        unit=unit.key,
        index=member.index,
        run=unit.last_run,
        server=member.server,
        cause=cause,
        phase=member.phase.value,
        seen_for=round(max(0.0, member.confirmed_at - member.sent_at), 3),
    )
