"""Summaries that the planner makes, and that entry VMs read."""

from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cardamomdyke.model.orders import Shape, StepOrder
from cardamomdyke.model.queues import (
    Account,
    QueuePool,
    QueueRoute,
    QueueTables,
    make_queue_tables,
)
from cardamomdyke.planner import forecasts
from cardamomdyke.planner.forecasts import (
    LISTING_SECONDS,
    SummaryPublisher,
    find_waits,
    is_changed,
    list_waiting,
    make_capacity,
)
from cardamomdyke.planner.placement import make_pool_capacity
from cardamomdyke.planner.summaries import (
    SUMMARY_PREFIX,
    SummaryLedger,
    decode_summary,
    encode_summary,
)
from cardamomdyke.scheduling.admission import ExpectedWait, PoolSummary
from cardamomdyke.scheduling.forecast import use_declared
from cardamomdyke_standins.platform_server import StepPlan
from tests.planner.world import POOL, World

SERVER = Shape(8000, 8000, 8)
TASK = Shape(1000, 1000, 1)
BATCH, URGENT, LATER = (f"{number:016x}" for number in (1, 2, 3))
KEY = SUMMARY_PREFIX + POOL
WAIT = ExpectedWait(1, TASK, 1, 4, False, 10.0)
SUMMARY = PoolSummary(3, 5.0, 2, SERVER, SERVER, (WAIT,))


class RoutedWorld(World):
    """Simulation whose configuration has a queue for the pool."""

    def make_tables(self) -> QueueTables:
        route = QueueRoute("q", "h", "/", POOL, 1, 2, 3.0, 1.0)
        pools = {POOL: QueuePool(POOL)}
        return make_queue_tables(1, (route,), pools, self.accounts, 262_144)


def make_world() -> RoutedWorld:
    world = RoutedWorld()
    world.accounts = (Account("a", frozenset()),)
    for number in range(2):
        world.add_server(f"s{number}", SERVER)
    world.take_over()
    world.run_for(1.0)
    return world


def submit(world: World, job_id: str, priority: int, **changes: object) -> None:
    step = replace(StepOrder(16, TASK, 20.0), **changes)  # type: ignore[arg-type]
    plan = StepPlan(20.0, step.count, gang=step.gang)
    world.submit(job_id, [(step, plan)], priority=priority)


def list_waits(world: World) -> dict[int, float]:
    """Return the expected wait by priority."""
    state = world.planner.state
    groups = list_waiting(state, use_declared).get(POOL, {})
    waits = find_waits(state, POOL, groups, world.now, use_declared)
    return {wait.priority: wait.seconds for wait in waits}


def test_work_waits_for_the_end_of_what_runs() -> None:
    """Guards against a wait without the running work, or with what it may preempt."""
    world = make_world()
    submit(world, BATCH, 1)
    world.run_for(2.0)
    submit(world, LATER, 1)
    # Another one like it fits beside it, once the batch work is stopped.
    submit(world, URGENT, 0, gang=True, count=8)
    world.run_for(0.2)
    waits = list_waits(world)
    assert waits[1] > 15.0
    assert 0 not in waits


def test_long_running_work_releases_nothing() -> None:
    """Guards against capacity that is promised although it never becomes free."""
    world = make_world()
    submit(world, BATCH, 1, long_running=True)
    world.run_for(2.0)
    submit(world, LATER, 1)
    world.run_for(0.2)
    assert list_waits(world) == {}


def test_new_planner_counts_servers_that_have_not_answered() -> None:
    """Guards against refusals by a planner that knows no server well yet."""
    world = make_world()
    state = world.take_over().state
    assert not make_pool_capacity(state, POOL, world.now).by_name
    assert len(make_capacity(state, POOL).by_name) == 2


def test_summary_is_published_when_it_changes() -> None:
    """Guards against a record with each heartbeat, and one that is not withdrawn."""
    world = make_world()
    state, publisher = world.planner.state, SummaryPublisher()
    ((key, _),) = publisher.list_records(state, [], world.now)
    assert key == KEY
    assert publisher.list_records(state, [POOL], world.now + 0.8) == []
    assert publisher.list_records(state, ["gone"], world.now) == [
        (SUMMARY_PREFIX + "gone", b"")
    ]
    assert publisher.list_withdrawals() == [(KEY, b"")]
    assert len(publisher.list_records(state, [POOL], world.now)) == 1


def test_summaries_beyond_the_room_of_an_append_are_withdrawn(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an append too large, and a heartbeat that confirms an old one."""
    world = make_world()
    state, publisher = world.planner.state, SummaryPublisher()
    publisher.list_records(state, [], world.now)
    submit(world, BATCH, 1)
    world.run_for(0.5)
    submit(world, LATER, 1)
    world.run_for(0.5)
    monkeypatch.setattr(forecasts, "MAX_APPEND_BYTES", 10)
    assert publisher.list_records(state, [], world.now) == [(KEY, b"")]
    monkeypatch.undo()
    ((_, value),) = publisher.list_records(state, [POOL], world.now)
    assert decode_summary(value).ok.waits


def test_largest_server_is_claimed_only_once_the_list_is_settled() -> None:
    """Guards against a task refused because the large server is restarting."""
    world = make_world()
    state, publisher = world.planner.state, SummaryPublisher()
    assert publisher.make_summary(state, POOL, {}, world.now).servers == 0
    later = state.took_over_at + LISTING_SECONDS
    assert publisher.make_summary(state, POOL, {}, later).servers == 2
    for server in state.servers.values():
        server.listed = False
    assert publisher.make_summary(state, POOL, {}, later).largest == SERVER


@pytest.mark.parametrize(
    ("seconds", "spread", "changed"),
    [(10.0, 1.9, False), (10.9, 1.9, False), (11.1, 1.9, True), (10.0, 1.5, True)],
)
def test_small_changes_are_not_published(
    seconds: float, spread: float, changed: bool
) -> None:
    """Guards against records that change no decision, and decisions by old ones."""
    waits = (replace(WAIT, seconds=seconds, spread=spread),)
    assert is_changed(SUMMARY, replace(SUMMARY, waits=waits, made_at=9.0)) is changed


@given(
    st.lists(
        st.builds(
            ExpectedWait,
            st.integers(0, 9),
            st.builds(Shape, st.integers(0, 9), st.integers(0, 9), st.integers(0, 9)),
            st.integers(1, 9),
            st.integers(1, 9),
            st.booleans(),
            st.floats(0.0, 1e6),
        )
    ),
    st.lists(st.text()),
)
def test_summary_is_read_as_it_was_written(
    waits: list[ExpectedWait], accounts: list[str]
) -> None:
    """Guards against fields that are mixed up in records without field names."""
    summary = replace(SUMMARY, waits=tuple(waits), beyond_share=tuple(accounts))
    assert decode_summary(encode_summary(summary)).ok == summary


def test_only_the_planner_of_a_summary_confirms_it() -> None:
    """Guards against a summary of a lost planner that its successor keeps in force."""
    ledger = SummaryLedger()
    assert not ledger.apply(KEY, encode_summary(SUMMARY), 10.0)
    ledger.confirm(SUMMARY.fence + 1, 12.0)
    assert ledger.find(POOL, 13.0) == (SUMMARY, 3.0)
    ledger.confirm(SUMMARY.fence, 12.0)
    assert ledger.find(POOL, 13.0) == (SUMMARY, 1.0)
    assert list(ledger.list_waits(13.0)) == [(POOL, 1, 10.0)]
    assert list(ledger.list_waits(20.0)) == []


def test_heartbeat_ends_the_count_of_work_that_the_planner_did_not_know() -> None:
    """Guards against a wait that counts the same work twice."""
    world = make_world()
    submit(world, BATCH, 1)
    record = world.orders[BATCH]
    ledger = SummaryLedger()
    ledger.record_arrival(record)
    assert ledger.arrivals == {}
    ledger.apply(KEY, encode_summary(SUMMARY), 10.0)
    ledger.record_arrival(record)
    (arrival,) = ledger.arrivals[POOL]
    assert (arrival.priority, arrival.account) == (1, "a")
    assert arrival.step == record.order.steps[0]
    ledger.confirm(SUMMARY.fence, 11.0)
    assert ledger.arrivals == {}
