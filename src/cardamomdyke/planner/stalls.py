"""Moves work away from backend servers on which it stands still."""

from cardamomdyke.planner.attempts import abort_attempt
from cardamomdyke.planner.state import (
    Attempt,
    Job,
    Member,
    MemberPhase,
    PlannerState,
    Unit,
)
from cardamomdyke.planner.suspicion import note_stall

# Servers tell the progress of a run in whole percents, and are looked at once a
# second, so two looks have to show the same before a run seems to stand still.
SHORTEST_STALL_SECONDS = 2.0
# A long run may not move by a percent for a while. The declared run time is rough,
# so the pace that the run has shown counts as well.
ESTIMATE_SHARE = 0.1
PERCENTS_BEHIND = 3.0
# At this progress a run is ending, or serves its own users and never ends.
COMPLETE_PERCENT = 100.0


def restart_stalled(state: PlannerState, now: float) -> None:
    """Stop attempts that stand still, so that they start elsewhere.

    A restart loses the work since the last checkpoint, so it waits until the run
    has stood still for at least that long; this at most doubles the loss. Each
    further restart of a unit has to wait twice as long.
    """
    for job in state.jobs.values():
        if job.over:
            continue
        for unit in job.units.values():
            attempt = unit.attempt
            if attempt is None or attempt.reason or unit.done:
                continue
            stall = measure_stall(job, unit, attempt)
            if stall and stall >= find_patience(job, unit, attempt, now):
                restart_unit(state, job, unit, attempt, stall, now)


def measure_stall(job: Job, unit: Unit, attempt: Attempt) -> float:
    """Return for how long an attempt has shown no progress, in seconds."""
    if job.step_of(unit).long_running:
        return 0.0
    stalls = [measure_member_stall(member) for member in attempt.members.values()]
    # The members of a gang work together, so one that moves shows that all do.
    return min(stalls, default=0.0)


def measure_member_stall(member: Member) -> float:
    """Return for how long a run has been listed without progress."""
    told = 0.0 <= member.percent < COMPLETE_PERCENT
    if member.phase is not MemberPhase.RUNNING or not told:
        return 0.0
    return max(0.0, member.confirmed_at - member.progressed_at)


def find_patience(job: Job, unit: Unit, attempt: Attempt, now: float) -> float:
    """Return for how long an attempt may stand still, in seconds."""
    elapsed = now - attempt.started_at
    percent = max(member.percent for member in attempt.members.values())
    pace = elapsed / percent if percent > 0 else 0.0
    stall = min(map(measure_member_stall, attempt.members.values()))
    worked = now - max(attempt.started_at, attempt.saved_at) - stall
    patience = max(
        SHORTEST_STALL_SECONDS,
        ESTIMATE_SHARE * job.step_of(unit).estimated_seconds,
        PERCENTS_BEHIND * pace,
        worked,
    )
    return float(patience * 2**unit.stalls)


def restart_unit(
    state: PlannerState,
    job: Job,
    unit: Unit,
    attempt: Attempt,
    stall: float,
    now: float,
) -> None:
    """Stop an attempt that stands still, and suspect its servers."""
    unit.stalls += 1
    names = sorted({member.server for member in attempt.members.values()})
    state.note(
        "run.stalled",
        job.job_id,
        unit=unit.key,
        run=attempt.run,
        servers=len(names),
        seconds=round(stall, 3),
    )
    for name in names:
        if name in state.servers:
            note_stall(state, state.servers[name], job, len(names) == 1, now)
    abort_attempt(state, job, unit, "it stands still", now)
