"""Renewals of leases through HTTP, from the planner's caller to a backend server."""

import asyncio
import time
from collections.abc import Awaitable, Callable
from dataclasses import replace

from cardamomdyke.adapters.backend import BackendClient
from cardamomdyke.adapters.http import make_http_client
from cardamomdyke.daemon.gang_calls import GangCaller
from cardamomdyke.gangs.state import AnswerKind, CallKind, CallMember, Gang
from cardamomdyke.gangs.timing import RUN_LEASE_SECONDS
from cardamomdyke.model.jobs import JobSpecification, MemberPlacement
from cardamomdyke.model.tables import BackendServer
from cardamomdyke_standins.backend import make_backend_application
from cardamomdyke_standins.backend_state import BackendState
from tests.daemon.stubs import StubLog, make_node

SPECIFICATION = JobSpecification("koffie", "order-desk")
PLACEMENTS = tuple(MemberPlacement("w1", (index,)) for index in range(2))
Body = Callable[[GangCaller, BackendServer, BackendState], Awaitable[None]]


def make_gang(job_id: str) -> Gang:
    return Gang(job_id, 2, False, "vm1:1", epoch=2, placements=PLACEMENTS)


def make_calls(kind: CallKind) -> list[CallMember]:
    deadline = time.monotonic() + 5.0
    return [CallMember(kind, index, 2, deadline) for index in range(2)]


def run_with_server(body: Body) -> None:
    """Run a test body with a caller and a backend server of 2 accelerators."""

    async def run() -> None:
        state = BackendState("w1", "boot", 2, 8)
        http_server = make_backend_application(state).listen(0, "127.0.0.1")
        port = next(iter(http_server._sockets.values())).getsockname()[1]
        node = make_node(StubLog())
        node.http = make_http_client()
        node.backend = BackendClient(node.http)
        server = BackendServer("w1", "r1", f"127.0.0.1:{port}", 2)
        try:
            await body(GangCaller(node), server, state)
        finally:
            node.http.close()
            http_server.stop()

    asyncio.run(run())


async def start_gang(
    caller: GangCaller, server: BackendServer, state: BackendState
) -> Gang:
    """Start both members of a gang, whose tasks run longer than the test."""
    gang = make_gang("gent.1")
    caller.node.update_ticket(server.name, state.make_ticket(time.monotonic()))
    specification = replace(SPECIFICATION, payload="sleep=60")
    for kind in (CallKind.RESERVE, CallKind.START):
        answers = await caller.call_server(
            gang, specification, server, make_calls(kind)
        )
    assert [answer.kind for answer in answers] == [AnswerKind.RUNNING] * 2
    return gang


def test_renewal_without_a_ticket_is_repeated_with_a_new_one() -> None:
    """Guards against members taken for gone since no ticket of theirs is known."""

    async def body(
        caller: GangCaller, server: BackendServer, state: BackendState
    ) -> None:
        gang = await start_gang(caller, server, state)
        caller.node.tickets.clear()
        calls = make_calls(CallKind.RENEW)
        kinds = []
        for _ in range(2):
            answers = await caller.call_server(gang, SPECIFICATION, server, calls)
            kinds.append([answer.kind for answer in answers])
        assert kinds == [[AnswerKind.STALE] * 2, [AnswerKind.RUNNING] * 2]

    run_with_server(body)


def test_shared_renewal_without_a_ticket_is_repeated_with_a_new_one() -> None:
    """Guards against a batch of renewals that is answered for some gangs only."""

    async def body(
        caller: GangCaller, server: BackendServer, state: BackendState
    ) -> None:
        gang = await start_gang(caller, server, state)
        caller.node.tickets.clear()
        calls = make_calls(CallKind.RENEW)
        batch = [(gang, calls), (make_gang("gent.2"), calls)]
        kinds = []
        for _ in range(2):
            groups = await caller.renew_gangs(server, batch)
            assert groups is not None
            kinds.append([answer.kind for group in groups for answer in group])
        gone = [AnswerKind.GONE] * 2
        assert kinds == [[AnswerKind.STALE] * 4, [AnswerKind.RUNNING] * 2 + gone]

    run_with_server(body)


def test_renewed_lease_ends_when_the_planner_counts_on() -> None:
    """Guards against an age of the ticket that lengthens or shortens leases."""

    async def body(
        caller: GangCaller, server: BackendServer, state: BackendState
    ) -> None:
        gang = await start_gang(caller, server, state)
        ticket = caller.node.tickets[server.name]
        transit = ticket.received_at - state.read_ticket(ticket.text)
        await asyncio.sleep(0.2)
        calls = make_calls(CallKind.RENEW)
        answers = await caller.call_server(gang, SPECIFICATION, server, calls)
        counted_until = answers[0].sent_at + RUN_LEASE_SECONDS
        for task in state.tasks.values():
            assert counted_until - transit <= task.lease_until <= counted_until

    run_with_server(body)


def test_lease_counts_from_the_time_that_its_call_names() -> None:
    """Guards against a repeated renewal that counts from its repetition."""

    async def body(
        caller: GangCaller, server: BackendServer, state: BackendState
    ) -> None:
        gang = await start_gang(caller, server, state)
        lease_from = time.monotonic() - 4.0
        calls = [
            replace(call, lease_from=lease_from) for call in make_calls(CallKind.RENEW)
        ]
        await caller.call_server(gang, SPECIFICATION, server, calls)
        for task in state.tasks.values():
            assert task.confirmed
            assert task.lease_until <= lease_from + RUN_LEASE_SECONDS

    run_with_server(body)
