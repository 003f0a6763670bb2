"""Servers that are badly degraded now, found by the reported progress of their runs.

It answers the load of servers that become several times slower for some seconds: ends
show that too late, and not for gangs. The rate of a run is compared with the rates of
the same step on other servers over about the same time. One run that is slow from its
beginning may just have more work, so it takes two runs, or a run whose rate drops.
"""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from math import exp, inf, log, sqrt
from statistics import median

from cardamomdyke.scheduling.placement import VERY_SLOW
from cardamomdyke.scheduling.speeds import MIN_OTHERS, PRIOR_NOISE, StepKey

MAX_SERVERS = 2048
MAX_RUNS = 32
MAX_STEPS = 1024
# Servers of one step whose rates are compared.
MAX_STEP_SERVERS = 64
# Polls take about a second; reports that follow sooner are too coarse.
MIN_INTERVAL = 0.8
# Rates further apart may belong to different states of the pool.
MAX_INTERVAL = 10.0
# Rates are compared if the other interval began at most this long before, about a poll.
MAX_LAG = 1.2
# Difference between the interval on the server's clock and on the planner's. It is
# larger after a pause of the planner, a lost answer, or a step of the clock.
MAX_CLOCK_ERROR = 0.5
# Percent that a run makes, or should make, in one interval. Percentages are whole, so
# with fewer a server that is twice as slow does not differ from a usual one.
MIN_PROGRESS = 4.0
# Standard error of the difference of two whole percentages, rounded up.
PERCENT_ERROR = 0.5
# A run below the first share of the usual rate is slow, above the second usual.
SLOW_RATE = log(1.0 / VERY_SLOW)
USUAL_RATE = log(0.7)
# Margin for the noise of the usual rate, in its standard errors.
LEVEL_ERRORS = 2.0
# Standard error of a median, as a multiple of that of the mean.
MEDIAN_ERROR = 1.25
# Sum of the logarithms of the rates of slow runs: two runs with 30% noise have a
# standard deviation of 0.42, and this is four of them.
MAX_RATES_SUM = -4.0 * PRIOR_NOISE * sqrt(2.0)
# Share of the runs on a server that may contradict the others, as a straggler does.
MAX_CONTRADICTION = 0.25
# Two polls, and one that is lost.
EVIDENCE_SECONDS = 3.0
# A degraded server gets no work while there is room elsewhere, so that its recovery may
# stay unseen. Such phases last some seconds; a mark that ends too soon costs one more
# detection, and one that lasts too long takes a server from urgent work.
MARK_SECONDS = 5.0
MAX_SLOWNESS = 10.0


@dataclass(frozen=True, slots=True)
class ProgressReport:
    """Progress of one run in a server's answer.

    Attributes
    ----------
    server : str
        Name of the server.
    instance : int
        Instance of the server.
    step : StepKey
        Step of the task.
    index : int
        Index of the task within its step.
    run : int
        Number of the run.
    percent : float
        Share of the task's work that is done, in whole percent.
    clock : float
        The server's clock when it answered, in seconds.
    at : float
        When the answer was received, in steady-clock seconds.
    """

    server: str
    instance: int
    step: StepKey
    index: int
    run: int
    percent: float
    clock: float
    at: float


@dataclass(slots=True)
class RunProgress:
    """Progress of one run. Rates are logarithms, as multiples of the usual rate.

    Attributes
    ----------
    percent, clock, at : float
        Report at the beginning of the open interval.
    seen_at : float
        When it was last reported.
    judged_at : float
        When the last interval was compared; minus infinity for never.
    level : float
        Usual rate in percent per second with which it was compared; 0 for none.
    margin : float
        Error of the logarithm of this rate.
    rate : float
        Rate in the last interval, with the error of the whole percentages added.
    careful_rate : float
        The same with the margin added.
    best_rate : float
        Highest rate of all intervals.
    slow_since : float
        End of the first of the latest slow intervals in a row; 0 if it is not slow.
    slow_until : float
        End of the last of them that was compared with other runs of the same time.
    is_usual : bool
        True if it progressed as usual in the last interval.
    drops : int
        Intervals in a row in which its rate was less than half of a former one.
    is_long : bool
        True if it was slow while others on its server were usual, so it has more work.
    """

    percent: float
    clock: float
    at: float
    seen_at: float
    judged_at: float = -inf
    level: float = 0.0
    margin: float = 0.0
    rate: float = 0.0
    careful_rate: float = 0.0
    best_rate: float = -inf
    slow_since: float = 0.0
    slow_until: float = 0.0
    is_usual: bool = False
    drops: int = 0
    is_long: bool = False

    def open_interval(self, report: ProgressReport) -> None:
        """Begin a new interval at a report."""
        self.percent, self.clock, self.at = report.percent, report.clock, report.at

    def judge(self, rate: float, highest: float, at: float, is_current: bool) -> None:
        """Compare an interval; rates are logarithms as multiples of the usual one.

        Parameters
        ----------
        rate : float
            Rate by the reported progress; minus infinity without any.
        highest : float
            Rate with the error of the whole percentages added.
        at : float
            End of the interval, in steady-clock seconds.
        is_current : bool
            True if the usual rate is that of the same time.
        """
        self.judged_at = at
        self.rate, self.careful_rate = highest, highest + self.margin
        self.is_usual = rate >= USUAL_RATE
        if self.careful_rate >= SLOW_RATE:
            self.slow_since, self.drops, self.is_long = 0.0, 0, False
        else:
            self.slow_since = self.slow_since or at
            if is_current:
                self.slow_until = at
                has_dropped = self.best_rate >= max(SLOW_RATE, highest - SLOW_RATE)
                self.drops = self.drops + 1 if has_dropped else 0
        self.best_rate = max(self.best_rate, rate)


# Step, index of the task, number of the run and instance of the server.
ProgressKey = tuple[StepKey, int, int, int]


@dataclass(slots=True)
class Mark:
    """A server that is degraded.

    Attributes
    ----------
    slowness : float
        Run times as a multiple of the usual.
    until : float
        When the mark ends without further evidence, in steady-clock seconds.
    """

    slowness: float
    until: float


@dataclass(slots=True)
class ProgressBook:
    """Progress of the runs of all pools, and the servers that are degraded.

    Attributes
    ----------
    servers : OrderedDict of str to OrderedDict of ProgressKey to RunProgress
        Runs by name of the server: the server with the newest run last, and the run
        that was reported last.
    steps : OrderedDict of StepKey to OrderedDict of str to (float, float)
        Latest rate in percent per second, and the beginning of its interval, by step
        and server.
    marks : dict of str to Mark
        Degraded servers by name.
    unreviewed : set of str
        Servers with new evidence.
    """

    servers: OrderedDict[str, OrderedDict[ProgressKey, RunProgress]] = field(
        default_factory=OrderedDict
    )
    steps: OrderedDict[StepKey, OrderedDict[str, tuple[float, float]]] = field(
        default_factory=OrderedDict
    )
    marks: dict[str, Mark] = field(default_factory=dict)
    unreviewed: set[str] = field(default_factory=set)

    def observe(
        self, report: ProgressReport, find_learned: Callable[[str], float]
    ) -> None:
        """Learn from a report of a run.

        Parameters
        ----------
        report : ProgressReport
            The report; one of 0% or 100% is no evidence.
        find_learned : callable
            Returns the slowness of a server that is known from ends.
        """
        if not 1.0 <= report.percent < 100.0:
            return
        run = self.find_run(report)
        if run is None:
            return
        elapsed = report.clock - run.clock
        if 0.0 <= elapsed < MIN_INTERVAL:
            return
        progress = report.percent - run.percent
        clock_error = abs(elapsed - (report.at - run.at))
        is_valid = progress >= 0.0 and 0.0 < elapsed <= MAX_INTERVAL
        if not is_valid or clock_error > MAX_CLOCK_ERROR:
            run.open_interval(report)
            return
        level, margin = self.find_level(report, run.at, find_learned)
        expected = (level or run.level) * elapsed
        if max(progress, expected) < MIN_PROGRESS:
            return
        self.add_rate(report, progress / elapsed, run.at)
        run.open_interval(report)
        if level:
            run.level, run.margin = level, margin
        if not run.level:
            return
        learned = find_learned(report.server)
        usual = expected / (learned if learned < VERY_SLOW else 1.0)
        rate = log(progress / usual) if progress else -inf
        highest = log((progress + PERCENT_ERROR) / usual)
        # A former usual rate shows that a slow run goes on as before, or is usual
        # again, but no fault, which may be one of all servers.
        if not level and not run.slow_since and rate < USUAL_RATE:
            return
        run.judge(rate, highest, report.at, level > 0.0)
        self.unreviewed.add(report.server)

    def find_slowness(self, server: str) -> float:
        """Return the slowness of a degraded server, and 1.0 for any other."""
        mark = self.marks.get(server)
        return 1.0 if mark is None else mark.slowness

    def review(self, now: float) -> list[str]:
        """Return the servers that have become degraded, or usual again.

        The runs of a server are reported together, so it is classified after them. The
        marks without recent evidence end.
        """
        changed = [name for name in self.unreviewed if self.classify(name)]
        self.unreviewed.clear()
        expired = [name for name, mark in self.marks.items() if mark.until <= now]
        for name in expired:
            del self.marks[name]
        return changed + expired

    def forget(self, server: str) -> None:
        """Forget a server that is gone or was replaced."""
        self.servers.pop(server, None)
        self.marks.pop(server, None)
        self.unreviewed.discard(server)

    def find_run(self, report: ProgressReport) -> RunProgress | None:
        """Return the run of a report, a new one with its interval open.

        None if the server has too many runs: if each replaced another, none would be
        reported twice.
        """
        runs = self.servers.get(report.server)
        if runs is None:
            runs = self.servers[report.server] = OrderedDict()
            if len(self.servers) > MAX_SERVERS:
                self.forget(next(iter(self.servers)))
        key = (report.step, report.index, report.run, report.instance)
        run = runs.get(key)
        if run is None:
            if len(runs) >= MAX_RUNS:
                oldest = next(iter(runs))
                if report.at - runs[oldest].seen_at <= EVIDENCE_SECONDS:
                    return None
                del runs[oldest]
            run = RunProgress(report.percent, report.clock, report.at, report.at)
            runs[key] = run
            self.servers.move_to_end(report.server)
        run.seen_at = report.at
        runs.move_to_end(key)
        return run

    def add_rate(self, report: ProgressReport, rate: float, since: float) -> None:
        """Remember the rate of a run in an interval for comparison with others."""
        rates = self.steps.setdefault(report.step, OrderedDict())
        self.steps.move_to_end(report.step)
        if len(self.steps) > MAX_STEPS:
            self.steps.popitem(last=False)
        rates[report.server] = (rate, since)
        rates.move_to_end(report.server)
        if len(rates) > MAX_STEP_SERVERS:
            rates.popitem(last=False)

    def find_level(
        self,
        report: ProgressReport,
        since: float,
        find_learned: Callable[[str], float],
    ) -> tuple[float, float]:
        """Return the usual rate of a step, and the margin of its logarithm.

        Only rates measured over about the same time count, so that a step in which all
        become slow shows nothing. Degraded servers do not count. Of others the known
        slowness is taken out; one that is very slow does not count, since its recovery
        would make a usual rate look slow.

        Returns
        -------
        (float, float)
            Percent per second, 0 if too few other servers report; and the margin.
        """
        rates = []
        others = self.steps.get(report.step) or OrderedDict()
        for name, (rate, began_at) in others.items():
            if began_at < since - MAX_LAG:
                continue
            if name == report.server or name in self.marks:
                continue
            learned = find_learned(name)
            if learned < VERY_SLOW:
                rates.append(rate * learned)
        if len(rates) < MIN_OTHERS:
            return 0.0, 0.0
        error = MEDIAN_ERROR * PRIOR_NOISE / sqrt(len(rates))
        return median(rates), LEVEL_ERRORS * error

    def classify(self, server: str) -> bool:
        """Classify a server by its recent evidence; return whether that has changed."""
        runs = self.servers[server].values()
        latest_at = max(run.judged_at for run in runs)
        latest = [run for run in runs if run.judged_at == latest_at]
        if sum(run.is_usual for run in latest) > MAX_CONTRADICTION * len(latest):
            for run in latest:
                run.is_long = run.is_long or (run.slow_since > 0.0 and not run.drops)
        since = latest_at - EVIDENCE_SECONDS
        fresh = [run for run in runs if run.judged_at >= since and not run.is_long]
        allowed = MAX_CONTRADICTION * len(fresh)
        mark = self.marks.get(server)
        if mark is not None:
            if sum(run.is_usual for run in fresh) > allowed:
                del self.marks[server]
                return True
            if any(run.judged_at == latest_at and not run.is_usual for run in fresh):
                mark.until = latest_at + MARK_SECONDS
            return False
        slow = [run for run in fresh if run.slow_since]
        if not slow or len(fresh) - len(slow) > allowed:
            return False
        # A fault that all servers share shows in one interval on those polled first.
        seconds = max(run.slow_until for run in slow)
        seconds -= min(run.slow_since for run in slow)
        rates_sum = sum(run.careful_rate for run in slow)
        several = len(slow) > 1 and rates_sum <= MAX_RATES_SUM
        dropped = any(run.drops > 1 for run in slow)
        if seconds < MIN_INTERVAL or not (several or dropped):
            return False
        rate = exp(sum(run.rate for run in slow) / len(slow))
        slowness = min(MAX_SLOWNESS, max(VERY_SLOW, 1.0 / rate))
        self.marks[server] = Mark(slowness, latest_at + MARK_SECONDS)
        return True
