"""Estimate of when a run ends by itself, from the progress that servers report.

Declared run times are not used, since they are off by a factor of up to 1.9.
"""

from dataclasses import dataclass

# Below this progress the remaining time is too uncertain.
MIN_PERCENT = 80.0
# Progress in the planner's sight that the rate of work is estimated from.
MIN_GAIN_PERCENT = 20.0
# Servers report an end at once, so a run that is overdue for longer was misjudged.
MAX_OVERDUE_SECONDS = 0.2
COMPLETE_PERCENT = 100.0


@dataclass(frozen=True, slots=True)
class RunProgress:
    """First and newest reported progress of an attempt.

    Attributes
    ----------
    first_percent, percent : float
        First and highest progress.
    first_at, reported_at : float
        When these were reported, in steady-clock seconds.
    """

    first_percent: float
    first_at: float
    percent: float
    reported_at: float


def update_progress(
    progress: RunProgress | None, percent: float, now: float
) -> RunProgress:
    """Return the progress after a report; the members of a gang share it."""
    if progress is None:
        return RunProgress(percent, now, percent, now)
    if percent < progress.percent:
        # An older report of another member.
        return progress
    return RunProgress(progress.first_percent, progress.first_at, percent, now)


def estimate_remaining(progress: RunProgress | None, now: float) -> float | None:
    """Estimate the remaining time of a run by its rate of work so far.

    Parameters
    ----------
    progress : RunProgress or None
        Reported progress; None before the first report.
    now : float
        Steady-clock seconds.

    Returns
    -------
    float or None
        Seconds, negative for an overdue run; None if it is not close to its end or its
        rate is not known.
    """
    if progress is None or progress.percent < MIN_PERCENT:
        return None
    gained = progress.percent - progress.first_percent
    elapsed = progress.reported_at - progress.first_at
    if gained < MIN_GAIN_PERCENT or elapsed <= 0:
        return None
    left = COMPLETE_PERCENT - progress.percent
    return left * elapsed / gained - (now - progress.reported_at)


def ends_within(progress: RunProgress | None, seconds: float, now: float) -> bool:
    """Return whether a run is expected to end within some seconds."""
    remaining = estimate_remaining(progress, now)
    return remaining is not None and -MAX_OVERDUE_SECONDS <= remaining <= seconds
