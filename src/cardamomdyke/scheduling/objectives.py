"""Objectives of jobs: when a job is due, and what its completion is worth when.

Times are seconds on the daemon's steady clock.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from math import log

# A completion later than this many times the objective has no value to the caller.
LATE_FACTOR = 3.0
# A job that has waited for this many times its objective goes first.
AGING_FACTOR = 2.0
# Value of a late completion to the caller, relative to one in time.
LATE_VALUE = 0.25
# Declared run times are off by up to this factor, in either direction.
SPREAD = 1.9
# Bounds of a run time, so that sums and quotients of any declared times are finite.
MIN_RUN_SECONDS = 0.001
MAX_RUN_SECONDS = 1e9

# Returns the run time to expect, from the queue and the declared run time in seconds.
Estimator = Callable[[str, float], float]


@dataclass(frozen=True, slots=True)
class Objective:
    """When a job should complete.

    Attributes
    ----------
    arrived_at : float
        From when on the caller waits.
    due_at : float
        Until when a completion has its full value.
    late_until : float
        Until when a later completion still has part of it.
    ages_at : float
        From when on the job goes first in its priority.
    """

    arrived_at: float
    due_at: float
    late_until: float
    ages_at: float

    @property
    def seconds(self) -> float:
        """Accepted completion time."""
        return self.due_at - self.arrived_at


@dataclass(frozen=True, slots=True)
class StepWork:
    """What is left of a step of a job.

    Attributes
    ----------
    declared_seconds : float
        Declared run time of a task.
    after : tuple of int
        Indices of earlier steps whose tasks must all be done first.
    cores : float
        Processor cores of a task; an accelerator counts as 8.
    waiting : int
        Tasks that have not started.
    running : int
        Tasks that run.
    running_since : float
        Newest start of these.
    """

    declared_seconds: float
    after: tuple[int, ...]
    cores: float
    waiting: int
    running: int = 0
    running_since: float = 0.0

    @property
    def is_done(self) -> bool:
        """Whether all tasks are done."""
        return not self.waiting and not self.running


def use_declared(queue: str, declared_seconds: float) -> float:
    """Return the declared run time as the one to expect."""
    return declared_seconds


def make_objective(
    arrived_at: float, stretch: float, target_seconds: float, critical_seconds: float
) -> Objective | None:
    """Create the objective of a job.

    Parameters
    ----------
    arrived_at : float
        From when on the caller waits.
    stretch : float
        Accepted completion time, as a multiple of the critical path.
    target_seconds : float
        Completion time accepted in addition to that.
    critical_seconds : float
        Run time of the longest chain of the job's steps.

    Returns
    -------
    Objective or None
        None if the route states no objective, which needs a stretch above 1 or a
        target, or if no run time is known to which a stretch applies.
    """
    seconds = max(0.0, stretch) * critical_seconds + max(0.0, target_seconds)
    if (stretch <= 1.0 and target_seconds <= 0.0) or seconds <= 0.0:
        return None
    return Objective(
        arrived_at,
        arrived_at + seconds,
        arrived_at + LATE_FACTOR * seconds,
        arrived_at + AGING_FACTOR * seconds,
    )


def estimate_steps(
    steps: Sequence[StepWork], queue: str, target_seconds: float, estimate: Estimator
) -> list[float]:
    """Return the run time to expect of a task of each step, in seconds.

    A step that declares none counts with the target of its route.
    """
    return [
        min(
            MAX_RUN_SECONDS,
            estimate(queue, step.declared_seconds)
            if step.declared_seconds > 0.0
            else max(0.0, target_seconds),
        )
        for step in steps
    ]


def find_critical_seconds(
    steps: Sequence[StepWork], run_seconds: Sequence[float]
) -> float:
    """Return the run time of the longest chain of steps, 0 without steps.

    Parameters
    ----------
    steps : sequence of StepWork
        Steps of a job; each depends only on earlier ones.
    run_seconds : sequence of float
        Time that each step takes once it may start.
    """
    # Called for every job of a planning pass, so it makes no generators.
    ends: list[float] = []
    latest = 0.0
    for step, seconds in zip(steps, run_seconds, strict=True):
        starts_at = 0.0
        for index in step.after:
            if ends[index] > starts_at:
                starts_at = ends[index]
        ends.append(starts_at + seconds)
        if ends[-1] > latest:
            latest = ends[-1]
    return latest


def find_remaining_seconds(
    steps: Sequence[StepWork], run_seconds: Sequence[float], now: float
) -> float:
    """Return the run time of the longest chain from now on, if the rest starts now."""
    remaining = []
    for step, seconds in zip(steps, run_seconds, strict=True):
        if step.waiting:
            remaining.append(seconds)
        elif step.running:
            ends_at = step.running_since + seconds
            remaining.append(min(seconds, max(0.0, ends_at - now)))
        else:
            remaining.append(0.0)
    return find_critical_seconds(steps, remaining)


def measure_work(steps: Sequence[StepWork], run_seconds: Sequence[float]) -> float:
    """Return the core-seconds of the tasks that have not started."""
    return sum(
        step.waiting * step.cores * seconds
        for step, seconds in zip(steps, run_seconds, strict=True)
    )


def estimate_chance(run_seconds: float, available_seconds: float) -> float:
    """Return the probability that work takes no longer than a time.

    Its run time is the expected one times a factor whose logarithm is uniformly
    distributed, up to `SPREAD` in either direction.

    Parameters
    ----------
    run_seconds : float
        Expected run time; at least `MIN_RUN_SECONDS`.
    available_seconds : float
        Time until the completion is needed; may be negative.
    """
    if available_seconds <= 0.0:
        return 0.0
    position = 0.5 + log(available_seconds / run_seconds) / (2.0 * log(SPREAD))
    return min(1.0, max(0.0, position))


def estimate_value(objective: Objective, run_seconds: float, now: float) -> float:
    """Return the expected value of a completion, if the work starts now.

    Returns
    -------
    float
        From 0 for one that is too late to be of use, to 1 for one in time.
    """
    in_time = estimate_chance(run_seconds, objective.due_at - now)
    of_use = estimate_chance(run_seconds, objective.late_until - now)
    return in_time + LATE_VALUE * (of_use - in_time)
