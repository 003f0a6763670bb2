"""Choice among servers of different speeds."""

from hypothesis import given
from hypothesis import strategies as st

from cardamomdyke.model.orders import Shape, StepOrder
from cardamomdyke.scheduling.placement import (
    PoolCapacity,
    ServerCapacity,
    choose_servers,
)
from cardamomdyke.scheduling.preemption import find_preemption
from cardamomdyke.scheduling.victims import Victim, VictimIndex

TOTAL = Shape(64_000, 128_000, 8)
TASK = Shape(1000, 100, 1)


def make_pool(servers: list[tuple[int, float]]) -> PoolCapacity:
    """Return servers by free accelerators and slowness, in two racks."""
    return PoolCapacity(
        {
            f"s{number}": ServerCapacity(
                f"s{number}", f"r{number % 2}", (), TOTAL, 64_000, 128_000, free, False,
                slowness,
            )
            for number, (free, slowness) in enumerate(servers)
        }
    )  # fmt: skip


def choose(servers: list[tuple[int, float]], prefers_usual: bool) -> list[str] | None:
    step = StepOrder(1, TASK)
    return choose_servers(make_pool(servers), step, 1, {}, (), prefers_usual)


def test_speed_goes_before_best_fit_only_without_time_to_spare() -> None:
    """Guards against fragmentation by bulk work, and slow servers for urgent work."""
    assert choose([(2, 1.3), (4, 1.0)], True) == ["s1"]
    assert choose([(2, 1.0), (4, 1.3)], False) == ["s0"]
    assert choose([(4, 1.0), (4, 1.3)], False) == ["s1"]
    assert choose([(4, 5.0), (8, 1.0)], False) == ["s1"]


@given(
    st.lists(
        st.tuples(st.integers(0, 8), st.sampled_from([1.0, 1.3, 5.0])), max_size=8
    ),
    st.integers(1, 20),
    st.booleans(),
    st.booleans(),
    st.integers(0, 3),
)
def test_speed_never_bars_a_server(
    servers: list[tuple[int, float]],
    count: int,
    rack_sensitive: bool,
    prefers_usual: bool,
    server_limit: int,
) -> None:
    """Guards against work that fits on even servers and not on uneven ones."""
    step = StepOrder(
        count, TASK, rack_sensitive=rack_sensitive, server_limit=server_limit
    )
    even = make_pool([(free, 1.0) for free, _ in servers])
    expected = choose_servers(even, step, count, {}, (), prefers_usual)
    found = choose_servers(make_pool(servers), step, count, {}, (), prefers_usual)
    assert (found is None) == (expected is None)
    assert found is None or len(found) == count


def test_preemption_of_about_the_same_cost_takes_the_usual_server() -> None:
    """Guards against stops that only gain a slow server."""
    pool = make_pool([(0, 1.3), (0, 1.0)])
    for costs, expected in (((10.0, 12.0), "s1"), ((10.0, 20.0), "s0")):
        index = VictimIndex()
        for number, cost in enumerate(costs):
            key = (f"{number}", (0, 0, 0))
            victim = Victim(key, cost, {f"s{number}": (TASK, 1)})
            index.victims[key] = victim
            index.by_server[f"s{number}"] = [victim]
        preemption = find_preemption(pool, index, StepOrder(1, TASK), 1, {})
        assert preemption is not None
        assert preemption.names == [expected]
