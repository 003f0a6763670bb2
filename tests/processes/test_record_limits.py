"""Jobs whose records exceed the limits of the store, with daemon processes."""

from collections import Counter
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
from msgspec.json import decode, encode

from cardamomdyke_standins.deployment import send_http, wait_until
from cardamomdyke_standins.nodes import PATH_PREFIX, Nodes, run_nodes
from cardamomdyke_standins.platform_server import StepPlan, encode_plan
from cardamomdyke_standins.run_history import RunEvent, RunEventKind

pytestmark = pytest.mark.processes
RECORD_BYTES = 4096
APPEND_BYTES = 16_384
WIDE_JOB = "00000000000000a1"
SMALL_JOB = "00000000000000b2"
# Three servers have room for 24 of them.
TASKS = 30
ROOM = 24


@pytest.fixture
def nodes(tmp_path: Path) -> Iterator[Nodes]:
    limits = {"record_bytes": RECORD_BYTES, "append_bytes": APPEND_BYTES}
    with run_nodes(tmp_path, **limits) as running:
        yield running


def make_body(count: int, plan: StepPlan) -> bytes:
    step = {"count": count, "cpu_millicores": 1000, "accelerators": 1}
    if plan.saves:
        step["checkpointing"] = True
    return encode({"specification": encode_plan([plan]), "steps": [step]})


def count_placed(nodes: Nodes, job_id: str) -> int:
    subjects = [line["subject"] for line in list_lines(nodes, "unit.placed")]
    return subjects.count(job_id)


def list_lines(nodes: Nodes, kind: str) -> list[dict[str, Any]]:
    lines = [line for vm in nodes.callers for line in nodes.read_log(vm)]
    return [line for line in lines if line["message_type"] == kind]


def count_done(nodes: Nodes, job_id: str) -> Counter[str]:
    data = send_http("GET", f"http://{nodes.store}/events")
    events = decode(data, type=list[RunEvent])
    ends = [event for event in events if event.kind is RunEventKind.END]
    return Counter(
        event.task for event in ends if event.job_id == job_id and event.how == "done"
    )


@pytest.mark.parametrize("length", [300, 6000])
def test_job_with_long_checkpoints_stops_no_work(nodes: Nodes, length: int) -> None:
    """Guards against a progress record that the store refuses and all work waits for.

    The checkpoints of all tasks together are over the limit of a record, or each one
    is. The planner is killed in between, and the next one goes on from its records.
    """
    plan = StepPlan(5.0, TASKS, saves=True, checkpoint_length=length)
    body = make_body(TASKS, plan)
    assert nodes.call("vm0", "POST", PATH_PREFIX + WIDE_JOB, body)[0] == 200
    wait_until(lambda: count_placed(nodes, WIDE_JOB) > ROOM)
    planner = nodes.find_planner()
    (vm, *_) = [name for name in nodes.callers if name != planner]
    body = make_body(1, StepPlan(0.2))
    assert nodes.call(vm, "POST", PATH_PREFIX + SMALL_JOB, body)[0] == 200
    wait_until(lambda: nodes.read_state(vm, SMALL_JOB) == "completed")
    nodes.deployment.processes[planner].kill()
    wait_until(lambda: nodes.read_state(vm, WIDE_JOB) == "completed")
    done = count_done(nodes, WIDE_JOB)
    assert len(done) == TASKS
    assert set(done.values()) == {1}
    assert {line["subject"] for line in list_lines(nodes, "progress.split")} == {
        WIDE_JOB
    }


def test_record_larger_than_a_usual_page_is_read(tmp_path: Path) -> None:
    """Guards against daemons that wait for ever for the rest of a large record.

    The store may cut the answer to a read at the size that was asked for.
    """
    limits = {"record_bytes": 600_000, "append_bytes": 1_200_000}
    with run_nodes(tmp_path, **limits) as nodes:
        plan = StepPlan(2.5, 1, saves=True, checkpoint_length=500_000)
        body = make_body(1, plan)
        assert nodes.call("vm0", "POST", PATH_PREFIX + WIDE_JOB, body)[0] == 200
        for vm in nodes.callers:
            wait_until(
                lambda vm=vm: nodes.read_state(vm, WIDE_JOB) == "completed",  # type: ignore[misc]
                20.0,
            )
