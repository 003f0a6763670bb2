"""Limits of the configuration, and the metrics of what clients hold."""

import asyncio
from dataclasses import replace
from types import SimpleNamespace
from typing import Any, cast

from prometheus_client import generate_latest

from cardamomdyke.control.context import Context
from cardamomdyke.control.inputs import MAX_BODY_BYTES, find_body_limit, make_node_guard
from cardamomdyke.control.relay import Relay
from cardamomdyke.protocol.limits import PortClass, RequestLimits, VmLimits
from tests.control.fakes import make_context, make_request


def make_limited_context() -> Context:
    context = make_context()
    settings = {**vars(context.settings), "limits": VmLimits(110.0, 400)}
    context.settings = cast(Any, SimpleNamespace(**settings))
    return context


def test_configuration_limits_callers_only() -> None:
    """Guards against limits of the configuration that never come into force."""
    context = make_limited_context()
    guard = make_node_guard(context, RequestLimits(idle_seconds=40.0))
    assert context.operator.tables is not None
    context.operator.tables = replace(
        context.operator.tables, header_limit_bytes=16_384, idle_timeout_seconds=15.0
    )
    guard.check_connections()
    callers = guard.budget.find_requests(PortClass.CALLERS)
    assert (callers.header_bytes, callers.idle_seconds) == (16_384, 15.0)
    assert callers.header_seconds == RequestLimits().header_seconds
    assert guard.budget.find_requests(PortClass.PEERS).idle_seconds == 40.0


def test_old_configuration_refuses_no_body_that_a_peer_may_take() -> None:
    """Guards against 413 by a limit that has since been raised."""
    context = make_limited_context()
    assert find_body_limit(context) == 100_000
    context.operator.served_version = 2
    assert find_body_limit(context) == MAX_BODY_BYTES


def test_pressure_is_logged_once_and_measured() -> None:
    """Guards against dropped connections that no operator can see."""
    context = make_limited_context()
    guard = make_node_guard(context, RequestLimits())
    now = 0.0
    guard.clock = lambda: now
    holdings = [guard.admit(PortClass.CALLERS, "10.0.0.1") for _ in range(300)]
    assert context.journal.counts["clients.pressure_began"] == 1
    now = 6.0
    guard.check_connections()
    assert context.journal.counts["clients.pressure_ended"] == 1
    text = generate_latest(context.metrics.registry).decode()
    opened = sum(holding.is_open for holding in holdings)
    assert f'cardamomdyke_input_connections{{port="callers"}} {opened}.0' in text
    dropped = f'{{port="callers",reason="no_room"}} {300 - opened}.0'
    assert f"cardamomdyke_connections_dropped_total{dropped}" in text


async def relay_without_room(context: Context) -> None:
    budget = make_node_guard(context, RequestLimits()).budget
    assert budget.reserve_relay(budget.limits.relay_bytes)
    relay = Relay(context, cast(Any, None), budget=budget)
    assert await relay.forward(make_request("POST", "00000000000000a1")) == []
    assert context.journal.counts["relay.no_room"] == 1


def test_request_without_room_is_not_relayed() -> None:
    """Guards against relayed bodies that take the memory of the VM."""
    asyncio.run(relay_without_room(make_limited_context()))
