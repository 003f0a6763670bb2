"""Each check of the soak test reports its violation."""

from dataclasses import replace

from cardamomdyke_standins.run_history import (
    CallerJob,
    RunEvent,
    RunEventKind,
    check_runs,
)

JOB = "00000000000000a1"
TASK = f"{JOB}.0.0.0"
CAPACITY = 8


def make_job(*codes: int, state: str = "completed", tasks: int = 1) -> CallerJob:
    job = CallerJob(JOB, tasks, accelerators=5, codes=list(codes))
    return replace(job, last_state=state)


def start(at: float, run: int = 1, server: str = "s0", task: str = TASK) -> RunEvent:
    return RunEvent(at, RunEventKind.START, server, task, run)


def end(at: float, how: str = "done", run: int = 1, server: str = "s0") -> RunEvent:
    return RunEvent(at, RunEventKind.END, server, TASK, run, how)


def list_rules(events: list[RunEvent], job: CallerJob) -> list[str]:
    return [item.rule for item in check_runs(events, {JOB: job}, CAPACITY)]


def test_valid_history_has_no_violation() -> None:
    """Guards against a check that reports a valid history."""
    noted = replace(end(4.0), kind=RunEventKind.NOTED)
    events = [start(1.0), end(2.0, "stopped"), start(2.5, 2), end(3.0, run=2), noted]
    assert list_rules(events, make_job(0, 200)) == []
    assert list_rules([], make_job(503, 503, state="")) == []


def test_double_run_is_found() -> None:
    """Guards against a check that misses two concurrent runs of one task."""
    events = [start(1.0), start(1.5, 2, "s1"), end(2.0), end(2.0, run=2, server="s1")]
    assert list_rules(events, make_job(200)) == ["double run"]


def test_run_after_a_noted_end_is_found() -> None:
    """Guards against a check that misses a task run again after its end was noted."""
    noted = replace(end(2.1), kind=RunEventKind.NOTED)
    events = [start(1.0), end(2.0), noted, start(3.0, 2), end(4.0, run=2)]
    assert list_rules(events, make_job(200)) == ["run after end"]


def test_full_server_is_found() -> None:
    """Guards against a check that misses a server with more tasks than capacity."""
    other = f"{JOB}.0.0.1"
    events = [start(1.0), start(1.1, task=other), end(2.0)]
    assert "server too full" in list_rules(events, make_job(200))


def test_refused_job_that_ran_is_found() -> None:
    """Guards against a check that misses the run of a refused job."""
    events = [start(1.0), end(2.0)]
    assert list_rules(events, make_job(503, 429)) == ["refused job ran"]
    assert list_rules(events, make_job(503, 504)) == []


def test_run_without_a_submission_is_found() -> None:
    """Guards against a check that misses the run of a job that nobody submitted."""
    found = check_runs([start(1.0), end(2.0)], {}, CAPACITY)
    assert [item.rule for item in found] == ["unasked run"]


def test_lost_job_is_found() -> None:
    """Guards against a check that misses an accepted job that never completed."""
    for state in ("", "running", "queued", "failed", "cancelled"):
        assert list_rules([], make_job(200, state=state)) == ["lost job"]
    cancelled = replace(make_job(200, state="cancelled"), cancellation_sent=True)
    assert list_rules([], cancelled) == []


def test_false_completion_is_found() -> None:
    """Guards against a check that misses a completed job with tasks that never ran."""
    events = [start(1.0), end(2.0)]
    assert list_rules(events, make_job(200, tasks=2)) == ["false completion"]
