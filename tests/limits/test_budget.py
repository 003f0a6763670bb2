"""Accounts of connections, and who is dropped when there is no room."""

from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cardamomdyke.protocol.budget import (
    CONNECTION_BYTES,
    KERNEL_FACTOR,
    Holding,
    InputBudget,
    Phase,
)
from cardamomdyke.protocol.limits import (
    InputLimits,
    PortClass,
    PortLimits,
    RequestLimits,
    make_input_limits,
    read_request_limits,
)

MOST_BYTES = 20 * CONNECTION_BYTES
MOST_CONNECTIONS = 12
REQUESTS = RequestLimits(address_share=0.75, account_share=0.5)
ACTIONS = st.lists(
    st.tuples(
        st.sampled_from(["open", "hold", "free", "enter", "account", "close"]),
        st.integers(0, 20),
        st.integers(0, 3 * CONNECTION_BYTES),
    ),
    max_size=80,
)


def make_budget() -> InputBudget:
    bounds = PortLimits(MOST_BYTES, MOST_CONNECTIONS)
    limits = InputLimits(dict.fromkeys(PortClass, bounds), 1000)
    return InputBudget(limits, REQUESTS, REQUESTS)


def apply(budget: InputBudget, action: str, place: int, size: int, now: float) -> None:
    """Apply one action, and check which connections it drops."""
    ports = list(PortClass)
    droppable = {
        item: item.weigh(now)
        for item in budget.holdings
        if item.phase is not Phase.SERVED
    }
    touched, dropped = ports[place % len(ports)], list[Holding]()
    holding = None
    if action == "open":
        holding, dropped = budget.open(touched, f"10.0.0.{size % 3}", now)
    elif budget.holdings:
        holding = list(budget.holdings)[place % len(budget.holdings)]
        touched = holding.port
        if action == "hold":
            dropped = budget.hold(holding, size, now)
        elif action == "free":
            least = CONNECTION_BYTES - holding.held_bytes
            assert budget.hold(holding, max(-size, least), now) == []
        elif action == "enter":
            holding.enter(list(Phase)[size % len(Phase)], now)
        elif action == "account":
            dropped = budget.assign_account(holding, f"a{size % 2}", now)
        else:
            budget.close(holding)
    assert all(item.port is touched for item in dropped)
    assert all(item.phase is not Phase.SERVED for item in dropped)
    assert not any(item in budget.holdings for item in dropped)
    if dropped and holding is not None and len(dropped[0].groups) == 2:
        last = min(item.weigh(now) for item in dropped)
        members = [i for i in dropped[-1].groups[-1].members if i in droppable]
        same = [i for i in members if i.groups == dropped[-1].groups]
        assert all(i.weigh(now) <= last for i in same if i is not holding)


@given(ACTIONS)
def test_bounds_hold_after_every_history(actions: list[tuple[str, int, int]]) -> None:
    """Guards against sums that drift, and bounds that requests read exceed."""
    budget = make_budget()
    for now, (action, place, size) in enumerate(actions):
        apply(budget, action, place, size, float(now))
        for usage in budget.groups.values():
            held = sum(item.held_bytes for item in usage.members)
            assert usage.members
            assert usage.held_bytes == held
            if usage.is_over():
                assert all(i.phase is Phase.SERVED for i in usage.members)
    for holding in list(budget.holdings):
        budget.close(holding)
    assert budget.groups == {}


def test_ordinary_connections_outlive_a_crowd() -> None:
    """Guards against a budget that turns away whoever comes last."""
    budget = make_budget()
    for _ in range(20):
        holding, _ = budget.open(PortClass.CALLERS, "10.0.0.1", 0.0)
        holding.enter(Phase.BODY, 0.0)
        budget.hold(holding, 2 * CONNECTION_BYTES, 0.0)
    for number in range(200):
        now = 1.0 + number / 10
        ordinary, dropped = budget.open(PortClass.CALLERS, "10.0.0.1", now)
        assert ordinary not in dropped
        assert budget.hold(ordinary, 500, now).count(ordinary) == 0
        budget.close(ordinary)


def test_one_address_leaves_room_for_others() -> None:
    """Guards against one client address that takes all connections of a port."""
    budget = make_budget()
    other, _ = budget.open(PortClass.CALLERS, "10.0.0.2", 0.0)
    for number in range(100):
        budget.open(PortClass.CALLERS, "10.0.0.1", 1.0 + number)
    assert other.is_open
    assert len(budget.holdings) == MOST_CONNECTIONS * 0.75 + 1


@pytest.mark.parametrize(
    ("phase", "moved", "overdue_at"),
    [
        (Phase.IDLE, 0, 30.0),
        (Phase.HEADERS, 10, 20.0),
        (Phase.BODY, 10_240, 15.0),
        (Phase.ANSWER, 0, 5.0),
        (Phase.SERVED, 0, float("inf")),
    ],
)
def test_slow_connections_are_overdue(
    phase: Phase, moved: int, overdue_at: float
) -> None:
    """Guards against connections that stay open without progress, and too few."""
    budget = make_budget()
    holding, _ = budget.open(PortClass.CALLERS, "10.0.0.1", 0.0)
    holding.enter(phase, 0.0)
    holding.moved_bytes = moved
    assert budget.list_overdue(min(overdue_at, 1e6) - 0.1) == []
    if overdue_at < 1e6:
        assert budget.list_overdue(overdue_at + 0.1) == [holding]


def test_enlarged_buffers_leave_room() -> None:
    """Guards against buffers that make the guard drop connections, or that add up."""
    budget = make_budget()
    holdings = [budget.open(PortClass.CALLERS, "10.0.0.1", 0.0)[0] for _ in range(8)]
    before = sum(holding.held_bytes for holding in holdings)
    enlarged = [holding for holding in holdings if budget.enlarge_buffer(holding)]
    assert enlarged == []
    budget = replace(make_budget(), base_requests=RequestLimits(body_buffer_bytes=100))
    holdings = [budget.open(PortClass.CALLERS, "10.0.0.1", 0.0)[0] for _ in range(4)]
    assert all(budget.enlarge_buffer(holding) for holding in holdings)
    assert not any(budget.enlarge_buffer(holding) for holding in holdings)
    amount = KERNEL_FACTOR * 100
    after = sum(holding.held_bytes for holding in holdings)
    assert after == before // 2 + 4 * amount
    budget.close(holdings[0])
    assert not budget.enlarge_buffer(holdings[0])


def test_relayed_requests_have_their_own_room() -> None:
    """Guards against relays without bound, and one request that is never relayed."""
    budget = make_budget()
    assert budget.reserve_relay(5000)
    assert not budget.reserve_relay(1)
    budget.release_relay(5000)
    assert budget.reserve_relay(1000)


@given(st.floats(50, 300_000), st.integers(128, 1_000_000), st.integers(0, 10**9))
def test_derived_limits_fit_the_vm(
    memory_mb: float, descriptors: int, body_bytes: int
) -> None:
    """Guards against limits above the resources, or too low for one request."""
    limits = make_input_limits(memory_mb, descriptors, body_bytes)
    assert sum(port.connections for port in limits.ports.values()) < descriptors
    account = REQUESTS.account_share
    for port in (PortClass.CALLERS, PortClass.PEERS):
        assert limits.ports[port].held_bytes * account >= body_bytes
    if body_bytes <= 1_048_576 and memory_mb >= 150:
        total = sum(port.held_bytes for port in limits.ports.values())
        assert total + limits.relay_bytes <= (memory_mb - 90) * 1e6


def test_limits_are_read_from_the_environment() -> None:
    """Guards against settings that are ignored or accepted without sense."""
    variable = "CARDAMOMDYKE_LIMIT_IDLE_SECONDS"
    expected = replace(RequestLimits(), idle_seconds=7.0)
    assert read_request_limits({variable: "7"}).ok == expected
    for value in ("0", "-1", "x", "inf", "nan"):
        assert read_request_limits({variable: value}).is_error()
    share = "CARDAMOMDYKE_LIMIT_ACCOUNT_SHARE"
    assert read_request_limits({share: "1.5"}).is_error()
