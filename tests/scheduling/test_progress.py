"""Degraded servers, found by the progress of simulated runs."""

from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from math import exp
from random import Random

import pytest

from cardamomdyke.scheduling.progress import (
    MARK_SECONDS,
    MAX_RUNS,
    MAX_SERVERS,
    MAX_STEP_SERVERS,
    MAX_STEPS,
    ProgressBook,
    ProgressReport,
)

SERVERS = 60
# Time between two answers of a server with runs.
POLL = 1.03
TICK = 0.05
DEGRADED = 7.0
# Tasks, seconds and tasks a server of a step, as on the deployments.
GANG = (5, 2.5, 1)
PACKED_GANG = (13, 8.0, 2)
LONG_GANG = (5, 12.0, 1)
WIDE = (39, 8.0, 8)
SPREAD = (39, 8.0, 2)
COARSE = (39, 40.0, 4)
Factor = Callable[[int, float], float]


def find_learned(server: str) -> float:
    return 1.0


@dataclass
class Pool:
    """Servers with runs, each polled about once a second."""

    random: Random
    find_factor: Factor = lambda server, now: 1.0
    noise: float = 0.3
    stragglers: float = 0.0
    now: float = 100.0
    book: ProgressBook = field(default_factory=ProgressBook)
    # Done share, work in seconds, step and index of each run.
    runs: dict[int, list[list]] = field(default_factory=lambda: defaultdict(list))
    polls: dict[int, float] = field(default_factory=dict)
    steps: int = 0
    # Times of the reports of each run.
    reported: dict[int, dict] = field(
        default_factory=lambda: defaultdict(lambda: defaultdict(list))
    )
    changes: list[tuple[float, str, bool]] = field(default_factory=list)

    def start_step(self, kind: tuple[int, float, int], servers: list[int]) -> None:
        """Start a step on servers, as many tasks on each as its kind says."""
        count, seconds, packed = kind
        self.steps += 1
        for index in range(count):
            work = seconds * exp(self.random.gauss(0.0, self.noise))
            work *= DEGRADED if self.random.random() < self.stragglers else 1.0
            run = [0.0, work, (f"{self.steps}", 0, 0), index]
            self.runs[servers[index // packed]].append(run)

    def advance(self, seconds: float) -> None:
        """Let runs progress, and observe what the servers answer to polls."""
        for _ in range(round(seconds / TICK)):
            self.now += TICK
            for server, runs in self.runs.items():
                factor = self.find_factor(server, self.now)
                for run in runs:
                    run[0] += TICK / run[1] / factor
                due = self.polls.setdefault(server, self.now + self.random.random())
                if self.now >= due:
                    self.polls[server] = self.now + POLL + self.random.uniform(0, 0.1)
                    self.runs[server] = [run for run in runs if run[0] < 1.0]
                    for run in self.runs[server]:
                        self.report(server, run)
            for name in self.book.review(self.now):
                self.changes.append((self.now, name, name in self.book.marks))

    def report(self, server: int, run: list) -> None:
        percent = float(int(100 * run[0]))
        report = make_report(f"{server}", run[2], run[3], percent, self.now)
        if percent >= 1.0:
            self.reported[server][run[2], run[3]].append(self.now)
        self.book.observe(report, find_learned)

    def run_load(self, seconds: float, kinds: list[tuple[int, float, int]]) -> None:
        """Start a step of a random kind on random servers twice a second."""
        for _ in range(round(2 * seconds)):
            kind = self.random.choice(kinds)
            self.start_step(kind, self.random.sample(range(SERVERS), kind[0]))
            self.advance(0.5)

    def count_runs(self, server: int, since: float) -> int:
        """Return how many runs a server has reported four times since then."""
        runs = self.reported[server].values()
        return sum(len([at for at in times if at > since]) > 3 for times in runs)

    def list_marked(self) -> set[str]:
        return {name for _, name, marked in self.changes if marked}


def make_report(
    server: str, step: tuple[str, int, int], index: int, percent: float, at: float
) -> ProgressReport:
    return ProgressReport(server, 1, step, index, 1, percent, at - 50.0, at)


@pytest.mark.parametrize("kind", [GANG, PACKED_GANG, WIDE, COARSE])
@pytest.mark.parametrize("seed", range(30))
def test_noise_marks_no_server(seed: int, kind: tuple[int, float, int]) -> None:
    """Guards against usual servers condemned by uneven tasks or whole percents."""
    pool = Pool(Random(seed))
    pool.run_load(30.0, [kind])
    assert pool.changes == []


@pytest.mark.parametrize("kinds", [[GANG], [GANG, PACKED_GANG, WIDE]])
@pytest.mark.parametrize("seed", range(20))
def test_stragglers_mark_no_server(seed: int, kinds: list) -> None:
    """Guards against a server condemned by one run with seven times the work."""
    pool = Pool(Random(seed), stragglers=0.03)
    pool.run_load(30.0, kinds)
    assert len(pool.list_marked()) <= 1


@pytest.mark.parametrize("seed", range(30))
def test_server_that_slows_is_found_within_two_reports(seed: int) -> None:
    """Guards against a gang's server whose fault only its end would show."""
    pool = Pool(Random(seed), noise=0.15)
    pool.find_factor = lambda server, now: (
        DEGRADED
        if (server, now > 104.0)
        == (
            0,
            True,
        )
        else 1.0
    )
    pool.start_step(LONG_GANG, list(range(5)))
    pool.advance(4.0)
    assert pool.changes == []
    # The interval in which it slows is not all slow; two more reports follow.
    pool.advance(3 * (POLL + 0.1) + TICK)
    assert pool.list_marked() == {"0"}
    assert pool.book.find_slowness("0") >= 2.0


@pytest.mark.parametrize("seed", range(30))
def test_two_runs_show_a_server_that_was_slow_before(seed: int) -> None:
    """Guards against a new planner that needs to see a server become slow."""
    pool = Pool(Random(seed), lambda server, now: DEGRADED if server == 0 else 1.0)
    pool.noise = 0.15
    pool.start_step(PACKED_GANG, list(range(7)))
    # One report begins the first interval, and its work must have begun before.
    pool.advance(4 * (POLL + 0.1) + TICK)
    assert pool.list_marked() == {"0"}


@pytest.mark.parametrize("seed", range(10))
def test_degraded_servers_are_found_under_load_and_recover(seed: int) -> None:
    """Guards against marks that miss their servers or outlast the fault."""
    slow = set(range(0, SERVERS, 11))
    pool = Pool(Random(seed), stragglers=0.03)
    pool.find_factor = lambda server, now: (
        DEGRADED if server in slow and 115.0 < now <= 123.0 else 1.0
    )
    pool.run_load(20.0, [GANG, PACKED_GANG, SPREAD])
    found = {int(name) for name in pool.list_marked()}
    shown = {server for server in slow if pool.count_runs(server, 115.0) > 1}
    assert len(shown) >= 3
    assert len(found & shown) >= 0.8 * len(shown)
    assert len(found - slow) <= 1
    pool.run_load(10.0, [GANG, PACKED_GANG, SPREAD])
    assert slow & {int(name) for name in pool.book.marks} == set()


@pytest.mark.parametrize("seed", range(30))
def test_slowness_of_all_servers_shows_nothing(seed: int) -> None:
    """Guards against a pool condemned by a fault that all its servers share."""
    pool = Pool(Random(seed), noise=0.15)
    pool.find_factor = lambda server, now: DEGRADED if now > 110.0 else 1.0
    pool.run_load(20.0, [GANG, PACKED_GANG, WIDE])
    assert pool.changes == []


def observe_rates(
    book: ProgressBook, start: float, rates: dict[str, float], reports: int = 4
) -> None:
    """Report runs of one step with constant rates, once a second."""
    for number in range(reports):
        for server, rate in rates.items():
            percent = float(int(10.0 + rate * number))
            at = start + number + 0.1 * len(server)
            step = (f"{start}", 0, 0)
            book.observe(make_report(server, step, 0, percent, at), find_learned)
            book.review(at)


def test_one_slow_run_is_not_enough_and_a_second_one_is() -> None:
    """Guards against a straggler as evidence, and against evidence that is lost."""
    book = ProgressBook()
    rates = {"a": 20.0, "b": 21.0, "c": 19.0, "d": 20.0, "slow": 2.0}
    observe_rates(book, 0.0, rates)
    assert book.marks == {}
    observe_rates(book, 4.0, rates)
    assert set(book.marks) == {"slow"}


def test_mark_ends_with_usual_progress_or_without_evidence() -> None:
    """Guards against servers that stay last after their recovery."""
    book = ProgressBook()
    rates = {"a": 20.0, "b": 21.0, "c": 19.0, "d": 20.0, "slow": 2.0}
    observe_rates(book, 0.0, rates)
    observe_rates(book, 4.0, rates)
    assert book.review(8.0) == []
    assert book.review(8.0 + MARK_SECONDS) == ["slow"]
    observe_rates(book, 20.0, rates)
    observe_rates(book, 24.0, rates)
    assert set(book.marks) == {"slow"}
    observe_rates(book, 28.0, {**rates, "slow": 20.0})
    assert book.marks == {}


@pytest.mark.parametrize("fault", ["pause", "clock", "instance", "zero", "done"])
def test_reports_that_show_no_rate_are_no_evidence(fault: str) -> None:
    """Guards against pauses, restarts and gangs that wait, taken as slowness."""
    book = ProgressBook()
    for number in range(12):
        for index, server in enumerate("abcdefg"):
            at, clock, percent, instance = 1.0 * number, 1.0 * number, 7.0 * number, 1
            if index < 2 and number > 3:
                clock += 0.9 * number if fault == "clock" else 0.0
                at += 2.0 * number if fault == "pause" else 0.0
                instance = number if fault == "instance" else 1
                if fault in ("clock", "pause", "instance"):
                    percent = 28.0 + 0.5 * number
                else:
                    percent = 0.0 if fault == "zero" else 100.0
            for task in (index, index + 7):
                report = ProgressReport(
                    server, instance, ("s", 0, 0), task, 1, percent, clock, at
                )
                book.observe(report, find_learned)
        assert book.review(at) == []


def test_known_slowness_of_the_others_is_taken_out() -> None:
    """Guards against slow servers that hide a degraded one among them."""
    rates = {"a": 10.0, "b": 10.0, "c": 10.0, "d": 10.0, "slow": 4.0}

    def find_marked(slowness: float) -> set[str]:
        book = ProgressBook()
        for number in range(5):
            for server, rate in rates.items():
                for index in range(3):
                    percent = 10.0 + rate * number
                    step = ("s", 0, 0)
                    report = make_report(server, step, index, percent, 1.0 * number)
                    book.observe(
                        report, lambda name: 1.0 if name == "slow" else slowness
                    )
            book.review(1.0 * number)
        return set(book.marks)

    assert find_marked(1.0) == set()
    assert find_marked(1.9) == {"slow"}


def test_memory_is_bounded() -> None:
    """Guards against a book that grows with servers, steps, runs or tasks."""
    book = ProgressBook()
    for number in range(max(MAX_SERVERS, MAX_STEPS) + 100):
        for percent in (1.0, 11.0):
            step = (f"{number}", 0, 0)
            report = make_report(f"{number}", step, 0, percent, number + percent)
            book.observe(report, find_learned)
    for index in range(MAX_RUNS + 100):
        for percent in (1.0, 11.0):
            for server in ("one", f"{index}"):
                at = 5000.0 + percent / 10 + index
                report = make_report(server, ("w", 0, 0), index, percent, at)
                book.observe(report, find_learned)
    assert len(book.servers) <= MAX_SERVERS
    assert len(book.steps) <= MAX_STEPS
    assert max(len(rates) for rates in book.steps.values()) <= MAX_STEP_SERVERS
    assert max(len(runs) for runs in book.servers.values()) <= MAX_RUNS
