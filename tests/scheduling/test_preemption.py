"""Choice of victims: which attempts are stopped so that a unit fits."""

from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from cardamomdyke.model.orders import Shape, StepOrder
from cardamomdyke.scheduling.placement import (
    PoolCapacity,
    ServerCapacity,
    copy_capacity,
    count_fits,
    take_capacity,
)
from cardamomdyke.scheduling.preemption import Preemption, find_preemption
from cardamomdyke.scheduling.victims import Victim, VictimIndex

TOTAL = Shape(128_000, 256_000, 8)
MAX_TASKS = 4


def make_pool(free: dict[str, int]) -> PoolCapacity:
    """Return servers with this many free accelerators, in racks of two."""
    return PoolCapacity(
        {
            name: ServerCapacity(
                name,
                f"r{number // 2}",
                (),
                TOTAL,
                16_000 * count,
                32_000 * count,
                count,
            )
            for number, (name, count) in enumerate(free.items())
        }
    )


def make_task_shape(accelerators: int) -> Shape:
    return Shape(15_000 * accelerators, 30_000 * accelerators, accelerators)


def make_victims(*rows: tuple[float, int, dict[str, int]]) -> VictimIndex:
    """Return victims: cost, accelerators of a task, and tasks by server."""
    victim_index = VictimIndex()
    for number, (cost, accelerators, counts) in enumerate(rows):
        shape = make_task_shape(accelerators)
        tasks = {name: (shape, count) for name, count in counts.items()}
        victim = Victim((f"{number:016x}", (0, 0, 0)), cost, tasks)
        victim_index.victims[victim.key] = victim
        for name in tasks:
            victim_index.by_server.setdefault(name, []).append(victim)
    return victim_index


def find_cost(pool: PoolCapacity, victims: VictimIndex, step: StepOrder) -> float:
    found = find_preemption(pool, victims, step, step.count, {})
    assert found is not None
    return found.cost


def test_gang_that_frees_all_servers_is_stopped_before_dearer_single_tasks() -> None:
    """Guards against a choice for one task after the other that costs more in all."""
    pool = make_pool({"s0": 0, "s1": 0, "s2": 0})
    singles = [(5.0, 4, {name: 1}) for name in pool.by_name]
    victims = make_victims(*singles, (12.0, 4, dict.fromkeys(pool.by_name, 1)))
    step = StepOrder(3, make_task_shape(4), gang=True)
    assert find_cost(pool, victims, step) == 12.0


def test_large_task_is_stopped_before_many_small_ones_that_cost_more() -> None:
    """Guards against a choice of the cheapest tasks, which free little each."""
    pool = make_pool({"s0": 0})
    victims = make_victims(*[(2.0, 1, {"s0": 1})] * 4, (5.0, 4, {"s0": 1}))
    assert find_cost(pool, victims, StepOrder(1, make_task_shape(4))) == 5.0


def check_fits(
    pool: PoolCapacity, found: Preemption, victims: list[Victim], step: StepOrder
) -> bool:
    """Return whether the tasks fit on their servers once these victims are stopped."""
    for name, count in Counter(found.names).items():
        capacity = copy_capacity(pool.by_name[name])
        for victim in victims:
            if name in victim.tasks:
                shape, tasks = victim.tasks[name]
                take_capacity(capacity, shape, -tasks)
        if count_fits(capacity, step.shape) < count:
            return False
    return True


@st.composite
def build_cases(draw: st.DrawFn) -> tuple[PoolCapacity, VictimIndex, StepOrder]:
    """Return full servers with random attempts, and a unit that needs room."""
    names = [f"s{number}" for number in range(draw(st.integers(1, 4)))]
    free = dict.fromkeys(names, 8)
    rows = []
    for _ in range(draw(st.integers(0, 10))):
        size = draw(st.sampled_from([1, 2, 4, 8]))
        counts = {
            name: 1 for name in names if free[name] >= size and draw(st.booleans())
        }
        for name in counts:
            free[name] -= size
        if counts:
            rows.append((float(draw(st.integers(0, 20))), size, counts))
    size = draw(st.sampled_from([1, 2, 4, 8]))
    step = StepOrder(
        draw(st.integers(1, MAX_TASKS)),
        make_task_shape(size),
        gang=True,
        rack_sensitive=draw(st.booleans()),
        server_limit=draw(st.sampled_from([0, 1, 2])),
    )
    return make_pool(free), make_victims(*rows), step


@given(case=build_cases())
def test_no_victim_is_needless_and_no_single_one_cheaper(
    case: tuple[PoolCapacity, VictimIndex, StepOrder],
) -> None:
    """Guards against freed capacity that no task uses, and missed cheap victims."""
    pool, victim_index, step = case
    found = find_preemption(pool, victim_index, step, step.count, {})
    victims = list(victim_index.victims.values())
    if found is None:
        return
    chosen = list(found.victims.values())
    assert len(found.names) == step.count
    assert check_fits(pool, found, chosen, step)
    assert all(
        not check_fits(pool, found, [x for x in chosen if x is not victim], step)
        for victim in chosen
    )
    for victim in victims:
        alone = make_victims()
        alone.victims[victim.key] = victim
        alone.by_server = {name: [victim] for name in victim.tasks}
        single = find_preemption(pool, alone, step, step.count, {})
        assert single is None or found.cost <= single.cost
