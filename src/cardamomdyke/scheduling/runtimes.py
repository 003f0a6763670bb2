"""Run times learned from completions: how far declared run times are off, by queue.

It answers the load of queues whose callers declare run times that are wrong by a
factor. What is learned is a correction of the declared time, so that long and short
jobs of a queue share it.
"""

from bisect import bisect_left, insort
from collections import OrderedDict, deque
from dataclasses import dataclass, field
from math import exp, log

# Declared times are wrong by the job, and the tasks of a job share its error, so the
# window covers several wide steps.
WINDOW_ENDS = 256
MAX_QUEUES = 256
# Longer and shorter run times count as wrong by this factor.
MAX_FACTOR = 16.0
# Ends after which a queue's own ends count as much as the assumption of no error.
PRIOR_ENDS = 4
# Standard deviation of the logarithm of the error that is assumed of a queue without
# ends: two thirds of the declared times are right within a factor of 1.5.
PRIOR_SPREAD = 0.4
# Quantiles that are one standard deviation from the median of a normal distribution.
LOW_QUANTILE = 0.16
HIGH_QUANTILE = 0.84


@dataclass(frozen=True, slots=True)
class Estimate:
    """Expected run time of a task.

    Attributes
    ----------
    seconds : float
        Median.
    spread : float
        Standard deviation, in seconds; outliers do not count.
    """

    seconds: float
    spread: float


@dataclass(slots=True)
class QueueErrors:
    """Errors of the declared run times of one queue, as logarithms of a factor.

    Attributes
    ----------
    recent : deque of float
        In order of completion.
    ordered : list of float
        The same in ascending order.
    """

    recent: deque[float] = field(default_factory=deque)
    ordered: list[float] = field(default_factory=list)


@dataclass(slots=True)
class RuntimeBook:
    """Errors of declared run times by queue.

    Attributes
    ----------
    errors : OrderedDict of str to QueueErrors
        By name of the queue, the one with the latest end last.
    """

    errors: OrderedDict[str, QueueErrors] = field(default_factory=OrderedDict)

    def observe(
        self, queue: str, declared_seconds: float, measured_seconds: float
    ) -> None:
        """Learn from a task, or a gang, that has succeeded.

        Parameters
        ----------
        queue : str
            Name of the queue.
        declared_seconds : float
            Declared run time; without one there is nothing to learn.
        measured_seconds : float
            Time from the start to the end.
        """
        if declared_seconds <= 0 or measured_seconds <= 0:
            return
        limit = log(MAX_FACTOR)
        error = max(-limit, min(limit, log(measured_seconds / declared_seconds)))
        errors = self.errors.setdefault(queue, QueueErrors())
        self.errors.move_to_end(queue)
        errors.recent.append(error)
        insort(errors.ordered, error)
        if len(errors.recent) > WINDOW_ENDS:
            del errors.ordered[bisect_left(errors.ordered, errors.recent.popleft())]
        if len(self.errors) > MAX_QUEUES:
            self.errors.popitem(last=False)

    def estimate(self, queue: str, declared_seconds: float) -> Estimate:
        """Return the expected run time of a task of a queue.

        Parameters
        ----------
        queue : str
            Name of the queue.
        declared_seconds : float
            Declared run time.

        Returns
        -------
        Estimate
            About the declared time for a queue with few ends; zeros if none is
            declared.
        """
        if declared_seconds <= 0:
            return Estimate(0.0, 0.0)
        errors = self.errors.get(queue)
        ordered = errors.ordered if errors is not None else []
        middle, spread = 0.0, PRIOR_SPREAD
        if ordered:
            trust = len(ordered) / (len(ordered) + PRIOR_ENDS)
            low = find_quantile(ordered, LOW_QUANTILE)
            high = find_quantile(ordered, HIGH_QUANTILE)
            middle = trust * find_quantile(ordered, 0.5)
            spread = trust * (high - low) / 2 + (1.0 - trust) * PRIOR_SPREAD
        seconds = declared_seconds * exp(middle)
        return Estimate(seconds, seconds * (exp(spread) - 1.0))


def find_quantile(ordered: list[float], share: float) -> float:
    """Return the value below which a share of some ordered values lies."""
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
