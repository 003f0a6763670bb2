"""Stops work on servers that leave at short notice, so that it starts elsewhere."""

from cardamomdyke.planner.attempts import abort_attempt
from cardamomdyke.planner.servers import Server
from cardamomdyke.planner.state import Attempt, Job, PlannerState, Unit, list_holders
from cardamomdyke.scheduling.departures import (
    estimate_left,
    is_short_notice,
    must_move,
)

REASON = "its server leaves before it can end"


def note_departure(server: Server, now: float) -> None:
    """Remember when a draining server leaves at the earliest, at the first notice."""
    notice = server.entry.remaining_seconds
    if server.entry.draining and not server.leaves_at and is_short_notice(notice):
        server.leaves_at = now + (notice or 0.0)
    elif not server.entry.draining:
        server.leaves_at = 0.0


def move_departing(state: PlannerState, now: float) -> None:
    """Stop the attempts that would end with a server that leaves at short notice.

    Long-running units are moved by the planning pass itself, which heeds their limits.

    Parameters
    ----------
    state : PlannerState
        Modified in place.
    now : float
        Steady-clock seconds.
    """
    for server in state.servers.values():
        if not server.leaves_at or server.failing_since:
            continue
        leaves_in = server.leaves_at - now
        for job, unit, _ in list_holders(state, server):
            attempt = unit.attempt
            if attempt is None or attempt.reason or unit.done or job.is_final:
                continue
            if job.find_step(unit).long_running:
                continue
            left = estimate_attempt_left(state, job, unit, attempt, now)
            if not must_move(left, leaves_in):
                continue
            state.note(
                "unit.moved",
                job.job_id,
                unit=unit.key,
                server=server.entry.name,
                leaves_in=round(leaves_in, 2),
                left=round(left, 2),
            )
            abort_attempt(state, job, unit, REASON, now)


def estimate_attempt_left(
    state: PlannerState, job: Job, unit: Unit, attempt: Attempt, now: float
) -> float:
    """Return the remaining time of an attempt, in seconds."""
    step = job.find_step(unit)
    expected = state.learning.estimate_seconds(job.record.queue, step.estimated_seconds)
    began_at = attempt.working_since or now
    progress = attempt.progress
    # The progress of a resumed run includes work of the runs before.
    if progress is None or attempt.checkpoint or not attempt.working_since:
        return estimate_left(0.0, now - began_at, 0.0, expected)
    return estimate_left(
        progress.percent,
        progress.reported_at - began_at,
        now - progress.reported_at,
        expected,
    )
