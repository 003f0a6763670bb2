"""Speeds of servers learned from completions: which ones are slow, and by how much.

It answers the load of a pool whose servers differ. Declared run times are off by more
than servers differ, so each run is compared with runs of the same step on other
servers. All comparisons use logarithms of run times, so that a factor is a difference.
"""

from collections import Counter, OrderedDict, deque
from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass, field
from math import exp, log, sqrt
from statistics import median

# Job id, occurrence and step.
StepKey = tuple[str, int, int]

MAX_SERVERS = 2048
MAX_STEPS = 256
# Tasks of one step that are compared.
MAX_TASKS = 128
SERVER_ENDS = 48
# The latest ends of a server that show whether its speed has changed.
LATEST_ENDS = 8
# Fewer runs of a step on other servers say little about the step.
MIN_OTHERS = 3
# The first ends of a step are those of its shortest tasks, so runs are compared once
# this share of the tasks has ended. The last ones may be stragglers.
SETTLED_SHARE = 0.9
# A job may suit a server badly, so a server is slow only by several steps.
MIN_STEPS = 2
# Noise that is assumed of the logarithm of a run time before it is measured.
PRIOR_NOISE = 0.3
MIN_NOISE = 0.05
NOISE_SAMPLES = 512
MIN_NOISE_SAMPLES = 128
# Median absolute deviation of a normal distribution, in standard deviations.
NORMAL_DEVIATION = 0.6745
# Ends further from a server's median count as if they were this far, in units of the
# noise, so that a straggler weighs no more than any other end.
CLIP = 2.0
# Variance of the median of normal values, as a multiple of that of their mean.
MEDIAN_VARIANCE = 1.57
# Standard error of the clipped mean, as a multiple of that of the mean.
CLIPPED_MEAN_ERROR = 1.1
# A smaller difference costs no caller its objective, and is not acted on.
MIN_SLOWNESS = log(1.15)
# A slow server is usual again below this, so that it does not alternate.
MAX_USUAL = log(1.1)
# Evidence for a slow server, in standard errors: one among even servers is unlikely
# and is tested with each of its steps; in a pool whose servers differ it is likely.
EVEN_EVIDENCE = 4.0
UNEVEN_EVIDENCE = 2.0
# Evidence for a changed speed, after which a server's older ends are dropped.
CHANGE_EVIDENCE = 3.0
# Servers of a pool differ if the dispersion of their estimates exceeds that of even
# servers by this many of its standard errors; they are even again below the second.
UNEVEN_DISPERSION = 4.0
EVEN_DISPERSION = 2.0
MIN_DISPERSION_SERVERS = 12
# Contribution of one server to the dispersion, so that a few cannot stand for all.
MAX_DISPERSION = 9.0
# Ends after which what concerns all servers is measured again.
REVIEW_ENDS = 32


@dataclass(slots=True)
class StepEnds:
    """Ends of one step.

    Attributes
    ----------
    ends : list of (str, float)
        Server and logarithm of the run time in seconds, in order of completion.
    settled : bool
        True once enough tasks have ended for a comparison.
    """

    ends: list[tuple[str, float]] = field(default_factory=list)
    settled: bool = False


@dataclass(frozen=True, slots=True)
class ComparedEnd:
    """One end on a server, compared with those of its step on other servers.

    Attributes
    ----------
    step : StepKey
        Step of the task.
    excess : float
        Logarithm of the run time as a multiple of their median.
    others : int
        Number of these.
    """

    step: StepKey
    excess: float
    others: int


@dataclass(slots=True)
class ServerSpeed:
    """What is known of one server.

    Attributes
    ----------
    ends : deque of ComparedEnd
        Latest compared ends, the oldest first.
    estimate : float
        Logarithm of its run times as a multiple of those on other servers.
    error : float
        Standard error of the estimate; 0 while there are too few ends.
    log_slowness : float
        Logarithm of its slowness; 0 for a usual server.
    """

    ends: deque[ComparedEnd] = field(default_factory=lambda: deque(maxlen=SERVER_ENDS))
    estimate: float = 0.0
    error: float = 0.0
    log_slowness: float = 0.0


@dataclass(slots=True)
class SpeedBook:
    """Speeds of the servers of one pool.

    Attributes
    ----------
    servers : OrderedDict of str to ServerSpeed
        By name, the one with the latest compared end last.
    steps : OrderedDict of StepKey to StepEnds
        The steps with the latest ends, the latest last.
    deviations : deque of float
        Absolute deviations of recent ends from their servers' estimates.
    noise : float
        Standard deviation of the logarithm of a run time within a step and server.
    baseline : float
        Median of the servers' estimates.
    uneven : bool
        True if the servers differ by more than the noise of their tasks.
    unreviewed_ends : int
        Compared ends since these three were measured.
    """

    servers: OrderedDict[str, ServerSpeed] = field(default_factory=OrderedDict)
    steps: OrderedDict[StepKey, StepEnds] = field(default_factory=OrderedDict)
    deviations: deque[float] = field(
        default_factory=lambda: deque(maxlen=NOISE_SAMPLES)
    )
    noise: float = PRIOR_NOISE
    baseline: float = 0.0
    uneven: bool = False
    unreviewed_ends: int = 0

    def observe(
        self, server: str, step: StepKey, seconds: float, task_count: int
    ) -> list[str]:
        """Learn from a task that has succeeded.

        Parameters
        ----------
        server : str
            Name of the server.
        step : StepKey
            Step of the task.
        seconds : float
            Run time.
        task_count : int
            Number of tasks of the step that will be observed, if all succeed.

        Returns
        -------
        list of str
            Servers that have become slow, or usual again.
        """
        if seconds <= 0 or task_count <= MIN_OTHERS:
            return []
        step_ends = self.steps.setdefault(step, StepEnds())
        self.steps.move_to_end(step)
        if len(self.steps) > MAX_STEPS:
            self.steps.popitem(last=False)
        if len(step_ends.ends) >= MAX_TASKS:
            return []
        step_ends.ends.append((server, log(seconds)))
        if step_ends.settled:
            latest = {server: [log(seconds)]}
        elif len(step_ends.ends) >= SETTLED_SHARE * min(task_count, MAX_TASKS):
            step_ends.settled = True
            latest = group_by_server(step_ends.ends)
        else:
            return []
        return [
            name
            for name, values in latest.items()
            if self.compare(name, step, step_ends, values)
        ]

    def find_slowness(self, server: str) -> float:
        """Return a server's run times as a multiple of those of a usual server.

        Returns
        -------
        float
            1.0 for an unknown or usual server, more for a slow one.
        """
        return exp(self.find_log_slowness(server))

    def find_log_slowness(self, server: str) -> float:
        """Return the logarithm of a server's slowness; 0 for an unknown one."""
        speed = self.servers.get(server)
        return 0.0 if speed is None else speed.log_slowness

    def count_slow(self) -> int:
        """Return the number of slow servers."""
        return sum(speed.log_slowness > 0 for speed in self.servers.values())

    def forget(self, server: str) -> None:
        """Forget a server that is gone or was replaced."""
        self.servers.pop(server, None)

    def compare(
        self, server: str, step: StepKey, step_ends: StepEnds, values: Sequence[float]
    ) -> bool:
        """Compare ends on a server with those on others; return if its class changed.

        The known slowness of the other servers is taken out.
        """
        others = [
            value - self.find_log_slowness(name)
            for name, value in step_ends.ends
            if name != server
        ]
        if len(others) < MIN_OTHERS:
            return False
        level = median(others)
        speed = self.servers.setdefault(server, ServerSpeed())
        self.servers.move_to_end(server)
        if len(self.servers) > MAX_SERVERS:
            self.servers.popitem(last=False)
        for value in values:
            speed.ends.append(ComparedEnd(step, value - level, len(others)))
            if speed.error:
                self.deviations.append(abs(value - level - speed.estimate))
        self.drop_former_speed(speed)
        if len(speed.ends) >= LATEST_ENDS:
            speed.estimate, speed.error = estimate_speed(speed.ends, self.noise)
        self.unreviewed_ends += len(values)
        if self.unreviewed_ends >= REVIEW_ENDS:
            self.review()
        return self.classify(speed)

    def drop_former_speed(self, speed: ServerSpeed) -> None:
        """Drop the ends of a server from before a change of its speed.

        The ends of a step stay together, since its longer tasks end later.
        """
        steps: dict[StepKey, list[ComparedEnd]] = {}
        for end in speed.ends:
            steps.setdefault(end.step, []).append(end)
        former = list(steps.values())
        latest: list[ComparedEnd] = []
        while former and len(latest) < LATEST_ENDS:
            latest = former.pop() + latest
        if not former:
            return
        value, error = estimate_speed(latest, self.noise)
        former_ends = [end for ends in former for end in ends]
        former_value, former_error = estimate_speed(former_ends, self.noise)
        limit = CHANGE_EVIDENCE * sqrt(error**2 + former_error**2)
        if abs(value - former_value) > limit:
            speed.ends = deque(latest, maxlen=SERVER_ENDS)

    def classify(self, speed: ServerSpeed) -> bool:
        """Classify a server as slow or usual; return whether that has changed."""
        if not speed.error:
            return False
        former = speed.log_slowness
        difference = speed.estimate - self.baseline
        evidence = UNEVEN_EVIDENCE if self.uneven else EVEN_EVIDENCE
        if former:
            is_slow = difference > MAX_USUAL
        else:
            is_slow = difference > max(MIN_SLOWNESS, evidence * speed.error)
            is_slow = is_slow and len({end.step for end in speed.ends}) >= MIN_STEPS
        speed.log_slowness = difference if is_slow else 0.0
        return is_slow != (former > 0)

    def review(self) -> None:
        """Measure the noise, the baseline, and whether the servers differ."""
        self.unreviewed_ends = 0
        if len(self.deviations) >= MIN_NOISE_SAMPLES:
            self.noise = max(MIN_NOISE, median(self.deviations) / NORMAL_DEVIATION)
        known = [speed for speed in self.servers.values() if speed.error]
        if not known:
            return
        self.baseline = median(speed.estimate for speed in known)
        if len(known) < MIN_DISPERSION_SERVERS:
            self.uneven = False
            return
        dispersion = sum(
            min(MAX_DISPERSION, ((speed.estimate - self.baseline) / speed.error) ** 2)
            for speed in known
        ) / len(known)
        errors = EVEN_DISPERSION if self.uneven else UNEVEN_DISPERSION
        self.uneven = dispersion > 1.0 + errors * sqrt(2.0 / len(known))


def group_by_server(ends: Iterable[tuple[str, float]]) -> dict[str, list[float]]:
    """Return the values of a step's ends by server."""
    groups: dict[str, list[float]] = {}
    for server, value in ends:
        groups.setdefault(server, []).append(value)
    return groups


def estimate_speed(ends: Collection[ComparedEnd], noise: float) -> tuple[float, float]:
    """Return a clipped mean of compared ends, and its standard error.

    The ends of one step share the error of the run time with which they are compared.
    """
    values = [end.excess for end in ends]
    middle = median(values)
    limit = CLIP * noise
    mean = middle + sum(
        max(-limit, min(limit, value - middle)) for value in values
    ) / len(values)
    others = {end.step: end.others for end in ends}
    counts = Counter(end.step for end in ends)
    shared = sum(count**2 / others[step] for step, count in counts.items())
    variance = 1.0 / len(values) + MEDIAN_VARIANCE * shared / len(values) ** 2
    return mean, CLIPPED_MEAN_ERROR * noise * sqrt(variance)
