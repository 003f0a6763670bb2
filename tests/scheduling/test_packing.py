"""Placement of tasks: what is left whole for later gangs."""

from hypothesis import given
from hypothesis import strategies as st

from cardamomdyke.model.orders import Shape, StepOrder
from cardamomdyke.scheduling.placement import (
    PoolCapacity,
    ServerCapacity,
    choose_servers,
    is_whole,
    take_capacity,
)

TOTAL = Shape(128_000, 256_000, 8)
SMALL = StepOrder(39, Shape(11_000, 8_000, 1))
CORES_ONLY = Shape(52_000, 8_000)


def make_pool(racks: list[str], used: list[int]) -> PoolCapacity:
    """Return servers, the last of them in use by so many tasks without accelerators."""
    pool = PoolCapacity()
    for number, rack in enumerate(racks):
        name = f"s{number}"
        pool.by_name[name] = ServerCapacity(
            name, rack, (), TOTAL, TOTAL.millicores, TOTAL.memory_mb, TOTAL.accelerators
        )
    for capacity, tasks in zip(reversed(pool.by_name.values()), used, strict=False):
        take_capacity(capacity, CORES_ONLY, tasks)
    return pool


@given(
    racks=st.lists(st.sampled_from(["r0", "r1", "r2"]), min_size=1, max_size=6),
    used=st.lists(st.integers(0, 1), max_size=3),
    tasks=st.integers(1, 30),
)
def test_single_tasks_leave_servers_and_racks_whole(
    racks: list[str], used: list[int], tasks: int
) -> None:
    """Guards against wide steps that take a part of each server and rack.

    Each of their tasks is placed by itself. Servers with equally many free accelerators
    were taken by name.
    """
    pool = make_pool(racks, used)
    for _ in range(tasks):
        names = choose_servers(pool, SMALL, 1, {})
        if names is None:
            return
        (name,) = names
        chosen = pool.by_name[name]
        others = [item for item in pool.by_name.values() if item is not chosen]
        if is_whole(chosen):
            # No partly used server has room.
            assert all(
                is_whole(item)
                or item.accelerators < SMALL.shape.accelerators
                or item.millicores < SMALL.shape.millicores
                for item in others
            )
            broken = {item.rack for item in others if not is_whole(item)}
            whole_in_broken = [x for x in others if is_whole(x) and x.rack in broken]
            assert chosen.rack in broken or not whole_in_broken
        take_capacity(chosen, SMALL.shape)
