"""Forecasts of starts and ends."""

import sys
from dataclasses import replace
from math import inf
from types import FrameType
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cardamomdyke.model.orders import Shape, StepOrder
from cardamomdyke.scheduling import forecast
from cardamomdyke.scheduling.forecast import (
    Release,
    WaitingWork,
    forecast_start,
    use_declared,
)
from cardamomdyke.scheduling.placement import (
    PoolCapacity,
    ServerCapacity,
    choose_servers,
    copy_capacity,
    take_capacity,
)

SERVER = Shape(8000, 8000, 8)
TASK = Shape(4000, 1000, 4)
NOW = 100.0


def make_pool(servers: int, free: Shape = SERVER, racks: int = 1) -> PoolCapacity:
    names = [f"s{number:03}" for number in range(servers)]
    amounts = (free.millicores, free.memory_mb, free.accelerators)
    return PoolCapacity(
        {
            name: ServerCapacity(name, f"r{number % racks}", (), SERVER, *amounts)
            for number, name in enumerate(names)
        }
    )


def make_work(count: int, gang: bool = False, rack: bool = False) -> WaitingWork:
    step = StepOrder(count, TASK, 2.0, gang=gang, rack_sensitive=rack)
    return WaitingWork(step, 1 if gang else count, 2.0)


def test_free_pool_starts_at_once() -> None:
    """Guards against a wait that is claimed for a pool with room."""
    found = forecast_start(make_pool(2), [], [], make_work(4), NOW)
    assert (found.start, found.last_start, found.end) == (NOW, NOW, NOW + 2.0)


@pytest.mark.parametrize(
    ("rack", "start"), [(False, NOW + 1.0), (True, NOW + 5.0)], ids=["any", "one rack"]
)
def test_gang_waits_for_servers_of_its_rack(rack: bool, start: float) -> None:
    """Guards against a gang that is promised capacity in several racks."""
    pool = make_pool(4, Shape(), racks=2)
    releases = [
        Release(NOW + at, name, SERVER)
        for at, name in ((0.5, "s000"), (1.0, "s001"), (5.0, "s002"))
    ]
    work = make_work(4, gang=True, rack=rack)
    assert forecast_start(pool, releases, [], work, NOW).start == start


def test_wide_step_runs_in_waves() -> None:
    """Guards against an end that ignores the tasks which start last."""
    found = forecast_start(make_pool(1), [], [], make_work(6), NOW)
    assert (found.start, found.last_start, found.end) == (NOW, NOW + 4.0, NOW + 6.0)


def test_waiting_work_goes_first() -> None:
    """Guards against a forecast without the queue: five waves of 2 s are ahead.

    Half of the last one may still run, and two seconds of it are left at most.
    """
    found = forecast_start(make_pool(1), [], [make_work(10)], make_work(2), NOW)
    assert found.start == NOW + 9.0


def test_larger_gang_ahead_is_passed() -> None:
    """Guards against small work refused for a gang that it starts before."""
    ahead = [make_work(8, gang=True)] * 10
    assert forecast_start(make_pool(2), [], ahead, make_work(1), NOW).start == NOW


@pytest.mark.parametrize("shape", [Shape(9000), Shape(1, 0, 9)])
def test_impossible_task_never_starts(shape: Shape) -> None:
    """Guards against a search without an end."""
    work = WaitingWork(StepOrder(1, shape), 1, 1.0)
    found = forecast_start(make_pool(2), [], [make_work(3)], work, NOW)
    assert found.start == found.end == inf


def test_spread_is_that_of_the_work_ahead() -> None:
    """Guards against a forecast that claims more than declared times are worth."""
    assert use_declared("q", 3.0).spread == 1.9
    ahead = [replace(make_work(10), spread=1.2)]
    found = forecast_start(make_pool(1), [], ahead, make_work(2), NOW)
    assert found.spread == pytest.approx(1.2)
    assert forecast_start(make_pool(1), [], [], make_work(2), NOW).spread == 1.0


def simulate(pool: PoolCapacity, queue: list[WaitingWork]) -> float:
    """Return the start of the last unit when each starts as soon as it fits."""
    free = PoolCapacity({n: copy_capacity(c) for n, c in pool.by_name.items()})
    waiting = [item for item in queue for _ in range(item.units)]
    running: list[tuple[float, str, Shape]] = []
    at = NOW
    while True:
        for item in list(waiting):
            names = choose_servers(free, item.step, item.unit_tasks, {})
            if names is None:
                continue
            if item is waiting[-1] and waiting.count(item) == 1:
                return at
            waiting.remove(item)
            for name in names:
                take_capacity(free.by_name[name], item.step.shape)
                running.append((at + item.seconds, name, item.step.shape))
        at = min(end for end, _, _ in running)
        for end, name, shape in [run for run in running if run[0] <= at]:
            take_capacity(free.by_name[name], shape, -1)
            running.remove((end, name, shape))


KINDS = st.builds(
    lambda cores, count, gang, seconds: WaitingWork(
        StepOrder(count, Shape(cores * 1000, 0, 1), gang=gang),
        1 if gang else count,
        seconds,
    ),
    st.sampled_from([1, 2, 4, 8]),
    st.integers(1, 6),
    st.booleans(),
    st.sampled_from([0.5, 1.0, 3.0]),
)


@settings(deadline=None, max_examples=200)
@given(st.lists(KINDS, max_size=6), KINDS)
def test_forecast_is_no_later_than_the_start(
    ahead: list[WaitingWork], work: WaitingWork
) -> None:
    """Guards against jobs refused for a wait that would not have happened."""
    work = replace(work, units=1)
    pool = make_pool(6)
    found = forecast_start(pool, [], ahead, work, NOW)
    assert found.start <= simulate(pool, [*ahead, work])


def count_lines(run: Any) -> int:
    """Return the number of lines of the forecast that a call executes."""
    lines = 0

    def trace(frame: FrameType, event: str, _: object) -> Any:
        nonlocal lines
        if frame.f_code.co_filename != forecast.__file__:
            return None
        lines += event == "line"
        return trace

    former = sys.gettrace()
    sys.settrace(trace)
    try:
        run()
    finally:
        sys.settrace(former)
    return lines


def measure_cost(scale: int) -> int:
    """Return the lines executed for 350 servers and 3,000 kinds of tasks, scaled."""
    servers = 350 * scale
    pool = make_pool(servers, Shape(), racks=30)
    releases = [
        Release(NOW + at % 97 / 10, f"s{at % servers:03}", Shape(1000, 1000, 1))
        for at in range(8 * servers)
    ]
    ahead = [
        WaitingWork(
            StepOrder(1, Shape(1000 + kind % 7 * 500, 1000, 1)), 1, 1 + kind % 9
        )
        for kind in range(3000 * scale)
    ]
    work = make_work(13, gang=True, rack=True)
    return count_lines(lambda: forecast_start(pool, releases, ahead, work, NOW))


def test_cost_is_in_proportion_to_servers_and_tasks() -> None:
    """Guards against a pass that looks at each server for each of 3,000 tasks."""
    cost = measure_cost(1)
    assert cost < 350 * 3000
    # Only sorting and bisection grow faster than their input, by a logarithm.
    assert measure_cost(2) < 2.2 * cost
