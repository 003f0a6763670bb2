"""Speeds of servers, learned from simulated completions."""

from collections import defaultdict
from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count
from math import exp
from random import Random
from statistics import fmean

import pytest

from cardamomdyke.scheduling.speeds import (
    MAX_SERVERS,
    MAX_STEPS,
    MAX_TASKS,
    SERVER_ENDS,
    SpeedBook,
)

SERVERS = 60
# As on the uneven deployment: wide steps, stragglers, wrong declared times.
TASKS = 39
NOISE = 0.3
STRAGGLERS = 0.03
SLOW = 1.3


def observe_steps(
    book: SpeedBook, seed: int, ends: int, find_factor: Callable[[int, int], float]
) -> int:
    """Run overlapping wide steps, with 1 or 8 tasks a server; return the changes.

    It stops once server 0 has had a number of ends and the servers as many on average.
    `find_factor` returns how slow a server is after a number of ends.
    """
    random = Random(seed)
    observed: dict[int, int] = defaultdict(int)
    running: list[tuple[float, int, int, float]] = []
    changes = 0
    for step in count():
        now = step * TASKS / (0.8 * SERVERS)
        while running and running[0][0] <= now:
            _, server, number, seconds = heappop(running)
            observed[server] += 1
            key = (f"{seed}.{number}", 0, 0)
            changes += len(book.observe(f"{server}", key, seconds, TASKS))
        if min(observed[0], sum(observed.values()) / SERVERS) >= ends:
            return changes
        mean = 8.1 * random.uniform(1 / 1.9, 1.9)
        packed = random.choice([1, 8])
        drawn = [random.randrange(SERVERS) for _ in range(TASKS)]
        for index in range(TASKS):
            server = drawn[index // packed]
            seconds = mean * exp(random.gauss(0.0, NOISE))
            seconds *= find_factor(server, observed[server])
            seconds *= 7.0 if random.random() < STRAGGLERS else 1.0
            heappush(running, (now + seconds, server, step, seconds))
    return changes


def list_slow(book: SpeedBook) -> set[int]:
    return {int(name) for name in book.servers if book.find_slowness(name) > 1.0}


@pytest.mark.parametrize("seed", range(4))
def test_every_third_server_is_found_slow(seed: int) -> None:
    """Guards against slow servers that a few dozen ends do not show."""
    slow = set(range(2, SERVERS, 3))
    book = SpeedBook()
    observe_steps(book, seed, 50, lambda server, _: SLOW if server in slow else 1.0)
    found = list_slow(book)
    assert len(found & slow) >= 0.85 * len(slow)
    assert len(found - slow) <= 0.05 * SERVERS
    factors = [book.find_slowness(f"{name}") for name in found & slow]
    assert fmean(factors) == pytest.approx(SLOW, abs=0.1)


@pytest.mark.parametrize("seed", range(20))
def test_even_servers_stay_usual(seed: int) -> None:
    """Guards against noise, stragglers and wrong declared times as slowness."""
    book = SpeedBook()
    assert observe_steps(book, seed, 40, lambda server, _: 1.0) == 0
    assert not book.uneven


@pytest.mark.parametrize("seed", range(6))
def test_server_whose_speed_halves_is_found_and_recovers(seed: int) -> None:
    """Guards against a fault that older ends hide, or that is remembered for ever."""
    book = SpeedBook()
    observe_steps(book, seed, 56, lambda name, n: 2.0 if name == 0 and n >= 20 else 1.0)
    assert list_slow(book) == {0}
    observe_steps(book, seed + 100, 36, lambda name, n: 1.0)
    assert list_slow(book) == set()


def test_no_single_run_or_step_marks_a_server() -> None:
    """Guards against a server that is condemned by a straggler or by one job."""
    book = SpeedBook()
    for step in range(20):
        for index in range(10):
            seconds = 70.0 if (step, index) == (19, 0) else 10.0 + index % 3
            book.observe(f"{index}", (f"{step}", 0, 0), seconds, 10)
    for index in range(20):
        seconds = 50.0 if index >= 10 else 10.0
        book.observe("new" if index >= 10 else f"{index}", ("x", 0, 0), seconds, 20)
    assert book.count_slow() == 0


def test_servers_of_one_speed_and_one_server_show_nothing() -> None:
    """Guards against a slowness that no comparison supports."""
    book = SpeedBook()
    for step in range(40):
        for _ in range(8):
            book.observe("alone", (f"{step}", 0, 0), 10.0 + step, 8)
    assert book.find_slowness("alone") == book.find_slowness("unknown") == 1.0


def test_memory_is_bounded() -> None:
    """Guards against books that grow with servers, steps or tasks."""
    book = SpeedBook()
    for step in range(MAX_STEPS + 100):
        for index in range(12):
            name = f"{(step * 12 + index) % (MAX_SERVERS + 500)}"
            book.observe(name, (f"{step}", 0, 0), 10.0, 12)
    for index in range(3 * MAX_TASKS):
        book.observe(f"{index % 4}", ("wide", 0, 0), 10.0, 3 * MAX_TASKS)
    assert len(book.servers) <= MAX_SERVERS
    assert len(book.steps) <= MAX_STEPS
    assert max(len(step.ends) for step in book.steps.values()) <= MAX_TASKS
    assert max(len(speed.ends) for speed in book.servers.values()) <= SERVER_ENDS


def test_forgotten_server_is_usual() -> None:
    """Guards against a new server that inherits the slowness of a former one."""
    book = SpeedBook()
    observe_steps(book, 1, 60, lambda server, _: 3.0 if server == 0 else 1.0)
    assert book.find_slowness("0") > 1.0
    book.forget("0")
    assert book.find_slowness("0") == 1.0
