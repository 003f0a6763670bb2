"""Attempts that end before a stop would take effect: waited for, and not stopped."""

from cardamomdyke.planner.state import Job, PlannerState, Unit
from cardamomdyke.scheduling.endings import MAX_OVERDUE_SECONDS, ends_within


def may_await_end(state: PlannerState, job: Job, unit: Unit, now: float) -> bool:
    """Return whether a unit's attempt ends by itself as soon as by a stop.

    The wait for an attempt is limited from the first time that this is asked and found,
    so that a run that stalls close to its end is stopped like others.

    Parameters
    ----------
    state : PlannerState
        State of the planner; the begin of the wait is noted in it.
    job : Job
        Job of the unit.
    unit : Unit
        Unit that may have an attempt.
    now : float
        Steady-clock seconds.
    """
    attempt = unit.attempt
    if attempt is None or attempt.reason or job.find_step(unit).long_running:
        return False
    stop_seconds = state.limits.stop_seconds
    # The first member of a gang that is done ends the others.
    if not unit.done and not ends_within(attempt.progress, stop_seconds, now):
        return False
    attempt.awaited_since = attempt.awaited_since or now
    return now - attempt.awaited_since <= stop_seconds + MAX_OVERDUE_SECONDS
