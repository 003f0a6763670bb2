"""Tests of the usage collector with a scripted backend server and log."""

import asyncio
from dataclasses import dataclass, field
from typing import Any, cast

from expression import Error, Ok, Result

from cardamomdyke.adapters.backend import UsagePage, UsageReport
from cardamomdyke.adapters.log import LogFault, LogPage, LogRecord
from cardamomdyke.daemon import usage
from cardamomdyke.daemon.appends import AppendBudget
from cardamomdyke.daemon.usage import UsageCollector
from cardamomdyke.model.tables import BackendServer, Configuration, Pool, Tables

SERVER = BackendServer("w1", "r1", "127.0.0.1:1", 8)
POOL = Pool("p", "gent", "s", (SERVER,), price_per_request=1.0)


@dataclass
class ScriptedPlatform:
    """Stub for a backend server, the log, counters, timeline and gossiper."""

    boot_id: str = "b1"
    reports: list[UsageReport] = field(default_factory=list)
    records: list[bytes] = field(default_factory=list)
    down: bool = False
    answers_lost: int = 0
    requested_after: list[int] = field(default_factory=list)
    recorded_names: list[str] = field(default_factory=list)

    def add_report(self, sequence: int) -> None:
        report = UsageReport("w1", self.boot_id, sequence, "a", "", 0.0, 1, 1.79e9)
        self.reports.append(report)

    async def read_usage(self, address: str, after: int) -> Result[UsagePage, Any]:
        self.requested_after.append(after)
        kept = [report for report in self.reports if report.sequence > after]
        return Ok(UsagePage(self.boot_id, tuple(kept)))

    async def read_records(self, stream: str, offset: int) -> Result[LogPage, LogFault]:
        if self.down:
            return Error(LogFault(False, "down"))
        page = [LogRecord(i, data) for i, data in enumerate(self.records)][offset:]
        return Ok(LogPage(0, len(self.records), tuple(page)))

    async def append_when_idle(self, stream: str, data: bytes) -> Result[int, LogFault]:
        self.records.append(data)
        if self.answers_lost > 0:
            self.answers_lost -= 1
            return Error(LogFault(True, "answer lost"))
        return Ok(len(self.records) - 1)

    def count(self, name: str, amount: int = 1) -> None:
        self.recorded_names.append(name)

    def record_change(self, *words: str) -> None:
        self.recorded_names.append(words[0])

    def find_planner(self, failure_domain: str) -> Any:
        return cast(Any, type("Planner", (), {"name": "vm1"}))


def make_collector(platform: ScriptedPlatform) -> UsageCollector:
    values = {
        "backend": platform,
        "log": platform,
        "counters": platform,
        "timeline": platform,
        "configuration": Configuration(1, Tables(pools=(POOL,))),
        "settings": type(
            "S", (), {"vm": "vm1", "failure_domain": "gent", "log_retention_seconds": 1}
        ),
    }
    node = cast(Any, type("ScriptedNode", (), values))
    return UsageCollector(node, cast(Any, platform))


def count_requests(collector: UsageCollector) -> int:
    return sum(row.requests for row in collector.state.totals.values())


def test_outage_of_the_log_loses_no_report(monkeypatch: Any) -> None:
    """Guards against usage lost when a server restarts while the log is down."""
    monkeypatch.setattr(usage, "INITIAL_BACKOFF_SECONDS", 0.0)

    async def run() -> None:
        platform = ScriptedPlatform(down=True)
        collector = make_collector(platform)
        platform.add_report(1)
        platform.add_report(2)
        await collector.run_once()
        platform.boot_id, platform.reports = "b2", []
        platform.add_report(1)
        await collector.run_once()
        assert len(collector.unsent) == 3
        platform.down, platform.answers_lost = False, 1
        for _ in range(3):
            await collector.run_once()
        await collector.fold_new_records()
        assert count_requests(collector) == 3
        assert not collector.unsent
        assert "usage.summaries_appended" in platform.recorded_names
        await asyncio.gather(*(collector.fold_new_records() for _ in range(3)))
        assert count_requests(collector) == 3

    asyncio.run(run())


def test_reports_over_the_bound_are_read_again(monkeypatch: Any) -> None:
    """Guards against unbounded memory, and against dropped reports."""
    monkeypatch.setattr(usage, "MAX_UNSENT_REPORTS", 2)

    async def run() -> None:
        platform = ScriptedPlatform(down=True)
        collector = make_collector(platform)
        for sequence in range(1, 6):
            platform.add_report(sequence)
        for _ in range(2):
            await collector.run_once()
            assert len(collector.unsent) == 2
        platform.down = False
        for _ in range(4):
            await collector.run_once()
        await collector.fold_new_records()
        assert count_requests(collector) == 5
        assert platform.requested_after[-1] == 5

    asyncio.run(run())


def test_budget_holds_five_appends_a_second() -> None:
    """Guards against a VM that appends faster than its share of the log allows."""
    now = [0.0]
    budget = AppendBudget(lambda: now[0])
    taken = 0
    for step in range(1000):
        now[0] = step / 100
        taken += budget.take_token() == 0.0
    assert taken <= 5 * 10 + 5
    assert taken >= 5 * 9
    assert budget.take_token(reserved=3.0) > 0
