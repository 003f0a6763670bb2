"""Unexpected errors in one unit of work of the platform daemon."""

import asyncio
from types import SimpleNamespace
from typing import Any, cast

import pytest

from cardamomdyke.control import driver
from cardamomdyke.control.candidacy import make_candidacy
from cardamomdyke.control.context import Context
from cardamomdyke.control.driver import Term
from cardamomdyke.control.feeds import TopicFeed
from cardamomdyke.control.leadership import (
    MEMBERSHIP_SECONDS,
    PAUSE_SECONDS,
    PLANNER_PARTITION,
    Leadership,
)
from cardamomdyke.control.supervision import run_supervised
from cardamomdyke.control.terms import PlannerRunner
from cardamomdyke.jobs.layout import RecordLimits
from cardamomdyke.model.orders import Shape, TaskId
from cardamomdyke.model.servers import RunLists, ServerEntry
from cardamomdyke.planner.actions import PollOrder, SendStop
from cardamomdyke.planner.inputs import Limits
from cardamomdyke.planner.polls import update_servers
from cardamomdyke.planner.state import PlannerState
from cardamomdyke.platform.records import KeyedRecord, RecordPage
from cardamomdyke.platform.store import Membership
from tests.control.fakes import make_context

CRASHED = "task.crashed"
SERVER = ServerEntry("s0", "pool", "10.0.0.1:80", "gent", Shape(1000, 100, 1))


class Clock:
    """Clock that a test sets."""

    now = 100.0

    def __call__(self) -> float:
        return self.now


def make_leadership(context: Context) -> Leadership:
    leadership = Leadership(context.store, context.journal, "m", clock=Clock())
    elect(leadership, 1)
    return leadership


def elect(leadership: Leadership, generation: int) -> None:
    answer = Membership(generation, frozenset({PLANNER_PARTITION}))
    leadership.handle_join_answer(answer, leadership.clock())


def make_term(context: Context, leadership: Leadership) -> Term:
    state = PlannerState(Limits(6.0, 3.0, 0.9), 1, 0.0)
    update_servers(state, [SERVER], 0.0)
    unused = cast(Any, None)
    return Term(context, leadership, unused, unused, unused, state)


class FailingClient:
    """Client of which each call raises an error that no code expects."""

    async def poll(self, *arguments: object, **options: object) -> None:
        await crash()

    async def start_run(self, *arguments: object) -> None:
        await crash()

    async def stop_run(self, *arguments: object) -> None:
        await crash()


async def crash() -> None:
    raise KeyError("unexpected")


def test_task_runs_again_after_an_error(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a daemon that goes on without one of its tasks."""

    async def scenario() -> None:
        context = make_context()
        runs = 0

        async def run() -> None:
            nonlocal runs
            runs += 1
            if runs == 1:
                await crash()

        monkeypatch.setattr(
            "cardamomdyke.control.supervision.RESTART_WAIT_SECONDS", 0.0
        )
        await run_supervised(context.journal, "feed", run)
        assert runs == 2
        assert context.journal.counts[CRASHED] == 1

    asyncio.run(scenario())


def test_record_that_cannot_be_applied_is_left_out() -> None:
    """Guards against one record that ends the reading of its whole topic."""
    applied = []

    def apply(record: KeyedRecord) -> None:
        if record.key == "bad":
            raise KeyError(record.key)
        applied.append(record.key)

    context = make_context()
    unused = cast(Any, None)
    feed = TopicFeed(unused, "topic", context.journal, apply, unused, lambda: None, 0.0)
    feed.next_offset = 0
    records = tuple(KeyedRecord(key, b"") for key in ("a", "bad", "b"))
    feed.apply_page(0, RecordPage(3, 3, records))
    assert applied == ["a", "b"]
    assert context.journal.counts[CRASHED] == 1


def test_error_in_a_task_of_a_term_ends_the_term() -> None:
    """Guards against a planner that holds its place in the group and plans nothing."""

    async def scenario() -> None:
        context = make_context()
        leadership = make_leadership(context)
        term = make_term(context, leadership)
        term.spawn(crash())
        await asyncio.gather(*term.tasks)
        assert not term.is_current
        assert context.journal.counts[CRASHED] == 1

    asyncio.run(scenario())


def test_error_in_a_call_of_one_server_is_a_fault_of_that_server() -> None:
    """Guards against one entry in the store that ends the term of every planner."""

    async def scenario() -> None:
        context = make_context()
        term = make_term(context, make_leadership(context))
        term.client = cast(Any, FailingClient())
        task = TaskId("00000000000000a1", 0, 0, 0)
        await term.poll_once(SERVER.name, term.state.servers[SERVER.name])
        await term.send_stop(SendStop(SERVER.name, task, 1))
        assert term.is_current
        assert term.state.servers[SERVER.name].failing_since > 0
        assert context.journal.counts[CRASHED] == 2

    asyncio.run(scenario())


def test_failed_term_is_not_followed_by_one_of_the_same_generation() -> None:
    """Guards against appends that the store takes for repeats of an earlier term's."""
    leadership = make_leadership(make_context())
    clock = cast(Clock, leadership.clock)
    leadership.abandon_term("test")
    elect(leadership, 1)
    assert not leadership.term
    assert not leadership.may_join()
    assert PAUSE_SECONDS > MEMBERSHIP_SECONDS
    clock.now += PAUSE_SECONDS
    assert leadership.may_join()
    elect(leadership, 3)
    assert leadership.term == 3


def test_error_at_a_takeover_ends_the_term(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a daemon that never plans again after an error at a takeover."""

    async def scenario() -> None:
        context = make_context()
        leadership = make_leadership(context)

        async def begin_term(*arguments: object) -> None:
            await crash()

        monkeypatch.setattr("cardamomdyke.control.terms.begin_term", begin_term)
        await PlannerRunner(context, leadership, make_candidacy(context)).run_term()
        assert not leadership.term

    asyncio.run(scenario())


def test_planner_without_configuration_does_not_begin(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against starts in an evacuated failure domain after a restart.

    The evacuations are read together with the configuration.
    """

    async def scenario() -> None:
        context = make_context()
        tables = context.operator.tables
        context.operator.tables = None
        context.settings = cast(
            Any,
            SimpleNamespace(
                vm="vm",
                failure_domain="gent",
                store=SimpleNamespace(limits=RecordLimits(1000, 2000)),
                bounds=SimpleNamespace(
                    lease_limit_seconds=6.0,
                    gang_wait_seconds=3.0,
                    stop_grace_seconds=0.9,
                    remote_factor=3.0,
                    restore_seconds=0.1,
                ),
            ),
        )
        leadership = make_leadership(context)
        feed = SimpleNamespace(read_newest=return_true, follow_forever=wait_forever)
        monkeypatch.setattr(
            "cardamomdyke.control.terms.make_server_feed", lambda *arguments: feed
        )
        runner = PlannerRunner(context, leadership, make_candidacy(context))
        monkeypatch.setattr(driver, "TICK_PERIOD_SECONDS", 0.01)
        running = asyncio.ensure_future(runner.run_term())
        await asyncio.sleep(0.3)
        assert runner.term is None
        context.operator.tables = tables
        await asyncio.sleep(0.5)
        assert runner.term is not None
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)

    asyncio.run(scenario())


async def return_true() -> bool:
    return True


async def wait_forever() -> None:
    await asyncio.Event().wait()


def test_answer_that_cannot_be_applied_is_a_fault_of_its_server(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against one server's answers that end the work on all others."""
    context = make_context()
    leadership = make_leadership(context)
    term = make_term(context, leadership)

    def handle_poll_answer(*arguments: object) -> None:
        raise KeyError("unexpected")

    monkeypatch.setattr(driver, "handle_poll_answer", handle_poll_answer)
    lists = RunLists(1.0, 1, (), ())
    term.apply_poll_answer("s0", PollOrder(0.0, 0, None, 0.0), lists, 1.0)
    assert term.is_current
    assert term.state.servers["s0"].failing_since == 1.0
