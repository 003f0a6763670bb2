"""Tests of log lines and metrics."""

import asyncio
import os
from collections.abc import Iterator

import pytest
from prometheus_client import generate_latest

from cardamomdyke.control import journal as journal_module
from cardamomdyke.control.clock import read_clock
from cardamomdyke.control.journal import LINE_BURST, MAX_BUFFERED_LINES, Journal
from cardamomdyke.control.metrics import make_metrics


@pytest.fixture
def blocked_output(monkeypatch: pytest.MonkeyPatch) -> Iterator[int]:
    """Replace standard output by an unread pipe; yield its reading end."""
    reading, writing = os.pipe()
    os.set_blocking(writing, False)
    monkeypatch.setattr(journal_module, "STANDARD_OUTPUT", writing)
    yield reading
    os.close(reading)
    os.close(writing)


def make_line(number: int) -> dict[str, object]:
    return {"message_type": "job.accepted", "subject": f"{number:016x}", "x": "y" * 200}


def test_stopped_reader_does_not_block_the_daemon(blocked_output: int) -> None:
    """Guards against a daemon that blocks because its log lines are not read."""

    async def scenario() -> None:
        journal = Journal("vm", refilled_at=read_clock())
        for number in range(MAX_BUFFERED_LINES):
            journal.write_message(make_line(number))
        assert 0 < len(journal.lines) < MAX_BUFFERED_LINES
        waiting = len(journal.lines)
        os.read(blocked_output, 1_000_000)
        await asyncio.sleep(0.05)
        assert len(journal.lines) < waiting
        asyncio.get_running_loop().remove_writer(journal_module.STANDARD_OUTPUT)

    asyncio.run(scenario())


def test_lines_above_the_limit_are_counted() -> None:
    """Guards against a flood of log lines and against uncounted drops."""
    journal = Journal("vm", refilled_at=read_clock())
    surplus = 50
    for number in range(int(LINE_BURST) + surplus):
        journal.write("request.refused", str(number))
    assert journal.counts["request.refused"] == LINE_BURST + surplus
    # A few tokens are refilled while the loop runs.
    assert 0 < journal.dropped_total <= surplus
    text = generate_latest(make_metrics(journal).registry).decode()
    assert f"cardamomdyke_log_lines_left_out_total {journal.dropped_total:.1f}" in text


def test_buffer_of_lines_is_bounded() -> None:
    """Guards against unbounded memory while the log lines are not read."""
    journal = Journal("vm", refilled_at=read_clock())
    journal.lines.extend([b"x\n"] * MAX_BUFFERED_LINES)
    assert not journal.take_token()


def test_counters_and_histograms_are_exposed() -> None:
    """Guards against counters or histograms missing from a scrape."""
    journal = Journal("vm", refilled_at=read_clock())
    journal.count("start.confirmed", 3)
    metrics = make_metrics(journal)
    metrics.observe_request("POST", 200, 0.02)
    metrics.observe_store_call("/log-append", 0.3)
    metrics.observe_start(0, 0.4)
    metrics.count_start(0, "in_time", "a" * 16)
    text = generate_latest(metrics.registry).decode()
    assert 'cardamomdyke_events_total{event="start.confirmed"} 3.0' in text
    assert (
        'cardamomdyke_request_seconds_bucket{code="200",le="0.025",method="POST"} 1.0'
    ) in text
    assert 'cardamomdyke_store_call_seconds_sum{call="/log-append"} 0.3' in text
    assert 'cardamomdyke_start_wait_seconds_count{priority="0"} 1.0' in text
    labels = 'ahead="yes",priority="0",standing="in_time"'
    assert f"cardamomdyke_starts_total{{{labels}}} 1.0" in text
