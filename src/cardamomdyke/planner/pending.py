"""Why units wait, and since when, for the log."""

from collections.abc import Iterator
from enum import StrEnum

from cardamomdyke.planner.drafts import Draft, find_pool_capacity
from cardamomdyke.planner.members import MemberPhase
from cardamomdyke.planner.state import Job, PlannerState, Unit, list_indices
from cardamomdyke.scheduling.placement import count_fits

# The platform counts work as lost that waits 3 s while its pool has capacity.
REPORT_AFTER_SECONDS = 2.5
# Reasons change with every planning pass on a busy pool.
REPORT_PERIOD_SECONDS = 1.0
# Lines of one report; the units that are left out come with the next one.
MAX_LINES = 5
# Servers named in one line.
MAX_NAMED_SERVERS = 3


class PendingReason(StrEnum):
    """What keeps a unit from starting.

    Attributes
    ----------
    NONE
        Nothing is known to keep it.
    PLACEMENT
        No permitted choice of servers has room for all of its tasks.
    RESERVATION
        Other work is being stopped for it.
    HEADROOM
        It would take capacity that is kept for urgent jobs and waiting gangs.
    ISOLATION
        It is suspect, and no servers are free of other starts.
    QUOTA
        Its client account uses its whole quota.
    RETRY_DELAY
        The time of its next attempt has not come.
    PREVIOUS_RUN
        A run of it may still be on a server that is silent or was told to stop it.
    """

    NONE = ""
    PLACEMENT = "placement"
    RESERVATION = "reservation"
    HEADROOM = "headroom"
    ISOLATION = "isolation"
    QUOTA = "quota"
    RETRY_DELAY = "retry_delay"
    PREVIOUS_RUN = "previous_run"


def begin_report(state: PlannerState, now: float) -> bool:
    """Begin a report if one is due; return whether it is."""
    if now - state.pending_reported_at < REPORT_PERIOD_SECONDS:
        return False
    state.pending_reported_at = now
    return True


def report_pending(draft: Draft, job: Job) -> None:
    """Log the units of a job that wait for long, once for each reason.

    Of the units of one step that wait for the same reason, the first stands for all.
    """
    reported: set[tuple[int, str]] = set()
    for unit, reason, since in list_pending(draft.state, job, draft.now):
        key = (unit.key[1], reason)
        if draft.now - since < REPORT_AFTER_SECONDS or key in reported:
            continue
        reported.add(key)
        if unit.reported_reason == reason or draft.pending_lines == MAX_LINES:
            continue
        unit.reported_reason = reason
        draft.pending_lines += 1
        note_pending(draft, job, unit, reason, since)


def list_pending(
    state: PlannerState, job: Job, now: float
) -> Iterator[tuple[Unit, PendingReason, float]]:
    """Yield the units of a job that wait, why, and since when."""
    for unit in job.units.values():
        if unit.done:
            continue
        if unit.attempt is not None:
            since = find_held_since(state, unit)
            if since:
                yield unit, PendingReason.PREVIOUS_RUN, since
        elif unit.not_before > now:
            yield unit, PendingReason.RETRY_DELAY, unit.ended_at
        elif unit.ready_since:
            yield unit, PendingReason(unit.pending_reason), unit.ready_since


def find_held_since(state: PlannerState, unit: Unit) -> float:
    """Return since when an attempt only waits for runs that cannot go on.

    Returns
    -------
    float
        Steady-clock seconds; 0 while a member may start or run.
    """
    if unit.attempt is None:
        return 0.0
    times = []
    for member in unit.attempt.members.values():
        if member.phase is MemberPhase.ENDED:
            continue
        server = state.servers.get(member.server)
        silent_since = 0.0 if server is None else server.failing_since
        held_since = silent_since or member.stop_sent_at
        if not held_since:
            return 0.0
        times.append(held_since)
    return max(times, default=0.0)


def note_pending(
    draft: Draft, job: Job, unit: Unit, reason: PendingReason, since: float
) -> None:
    """Log a unit that waits, with the room that its pool has for it."""
    step = job.find_step(unit)
    pool_capacity = find_pool_capacity(draft, job.record.pool)
    servers = pool_capacity.by_name.values()
    held_servers: list[str] = []
    if unit.attempt is not None:
        held_servers = sorted(
            member.server
            for member in unit.attempt.members.values()
            if member.phase is not MemberPhase.ENDED
        )
    draft.state.note(
        "unit.pending",
        job.job_id,
        unit=unit.key,
        reason=reason.value,
        waited=round(draft.now - since, 3),
        tasks=len(list_indices(step, unit)),
        room=sum(count_fits(server, step.shape) for server in servers),
        usable=len(servers),
        held_by=held_servers[:MAX_NAMED_SERVERS],
    )
