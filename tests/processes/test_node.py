"""Daemon processes on the platform stand-in."""

import signal
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
from msgspec.json import decode, encode

from cardamomdyke_standins.deployment import send_http, set_faults, wait_until
from cardamomdyke_standins.nodes import PATH_PREFIX, Nodes, run_nodes
from cardamomdyke_standins.platform_server import StepPlan, encode_plan
from tests.cli.test_command_line import run_command

pytestmark = pytest.mark.processes
JOB_ID = "00000000000000a1"
OTHER_JOB_ID = "00000000000000b2"


@pytest.fixture
def nodes(tmp_path: Path) -> Iterator[Nodes]:
    with run_nodes(tmp_path) as running:
        yield running


def make_body(seconds: float = 0.5, **step: Any) -> bytes:
    fields = {"count": 2, "cpu_millicores": 100, "accelerators": 2, **step}
    plan = StepPlan(seconds, fields["count"], bool(fields.get("gang")))
    body = {"specification": encode_plan([plan]), "steps": [fields]}
    return encode(body)


def test_job_is_served_through_every_vm(nodes: Nodes) -> None:
    """Guards against a job that only the VM that accepted it knows."""
    assert (
        nodes.call("vm0", "POST", PATH_PREFIX + JOB_ID, make_body(gang=True))[0] == 200
    )
    assert (
        nodes.call("vm1", "POST", PATH_PREFIX + JOB_ID, make_body(gang=True))[0] == 200
    )
    for vm in nodes.callers:
        wait_until(lambda vm=vm: nodes.read_state(vm, JOB_ID) == "completed")  # type: ignore[misc]
    assert nodes.call("vm2", "GET", PATH_PREFIX) == (200, {"pending": 0})


def test_killed_planner_is_replaced(nodes: Nodes) -> None:
    """Guards against running tasks lost or placed again with their planner."""
    body = make_body(6.0)
    assert nodes.call("vm0", "POST", PATH_PREFIX + JOB_ID, body)[0] == 200
    wait_until(lambda: nodes.read_state("vm0", JOB_ID) == "running")
    planner = nodes.find_planner()
    nodes.deployment.processes[planner].kill()
    (other, *_) = [vm for vm in nodes.callers if vm != planner]
    assert nodes.call(other, "POST", PATH_PREFIX + OTHER_JOB_ID, make_body())[0] == 200
    wait_until(lambda: nodes.read_state(other, OTHER_JOB_ID) == "completed")
    wait_until(lambda: nodes.read_state(other, JOB_ID) == "completed")
    lines = [line for vm in nodes.callers for line in nodes.read_log(vm)]
    placed = [
        line
        for line in lines
        if line["message_type"] == "unit.placed" and line["subject"] == JOB_ID
    ]
    assert len(placed) == 2


def test_cancelled_job_stops(nodes: Nodes) -> None:
    """Guards against a cancellation that only the VM that accepted it knows."""
    assert nodes.call("vm0", "POST", PATH_PREFIX + JOB_ID, make_body(60.0))[0] == 200
    wait_until(lambda: nodes.read_state("vm1", JOB_ID) == "running")
    assert nodes.call("vm1", "DELETE", PATH_PREFIX + JOB_ID)[0] == 200
    wait_until(lambda: nodes.read_state("vm2", JOB_ID) == "cancelled")
    assert nodes.call("vm0", "POST", PATH_PREFIX + JOB_ID, make_body(60.0))[0] == 200
    assert nodes.read_state("vm0", JOB_ID) == "cancelled"


def test_job_is_followed_through_the_logs_of_all_daemons(nodes: Nodes) -> None:
    """Guards against a timeline that does not read what daemons write."""
    (accepting, *_) = [vm for vm in nodes.callers if vm != nodes.find_planner()]
    assert nodes.call(accepting, "POST", PATH_PREFIX + JOB_ID, make_body())[0] == 200
    wait_until(lambda: nodes.read_state(accepting, JOB_ID) == "completed")
    # The line of the end may follow the record of the end.
    wait_until(
        lambda: any(
            line["message_type"] == "job.completed"
            for vm in nodes.callers
            for line in nodes.read_log(vm)
        )
    )
    files = [str(nodes.directory / f"{vm}.log") for vm in nodes.callers]
    result = run_command("timeline", *files, "--subject", JOB_ID, "--output", "json")
    assert result.returncode == 0, result.stderr
    events = decode(result.stdout)
    kinds = [event["kind"] for event in events]
    assert [kinds[0], kinds[-1]] == ["job.accepted", "job.completed"]
    assert "unit.placed" in kinds
    vms = {event["vm"] for event in events}
    assert accepting in vms
    assert len(vms) > 1


@pytest.mark.parametrize(
    ("path", "body", "code"),
    [
        (PATH_PREFIX + JOB_ID, b"{", 400),
        (PATH_PREFIX + JOB_ID, b"[]", 400),
        (PATH_PREFIX + JOB_ID, encode({"specification": "x", "steps": []}), 400),
        (PATH_PREFIX + JOB_ID, encode({"specification": 1, "steps": [{}]}), 400),
        (PATH_PREFIX + JOB_ID, make_body(count=0), 400),
        (PATH_PREFIX + JOB_ID, make_body(after=[0]), 400),
        (PATH_PREFIX + JOB_ID, make_body(accelerators=-1), 400),
        (PATH_PREFIX + JOB_ID, make_body(accelerators="2"), 400),
        (PATH_PREFIX + JOB_ID, make_body() + b" " * 300_000, 413),
        (PATH_PREFIX + "no-id", make_body(), 400),
        (PATH_PREFIX + JOB_ID.upper(), make_body(), 400),
        ("/elsewhere/" + JOB_ID, make_body(), 404),
    ],
)
def test_bad_input_is_refused(
    shared_nodes: Nodes, path: str, body: bytes, code: int
) -> None:
    """Guards against bad input that is accepted or disturbs the daemon."""
    status, answer = shared_nodes.call("vm0", "POST", path, body)
    assert status == code
    assert answer["error"]
    assert answer["remedy"]
    assert shared_nodes.call("vm0", "GET", PATH_PREFIX)[1] == {"pending": 0}


@pytest.fixture(scope="module")
def shared_nodes(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Nodes]:
    with run_nodes(tmp_path_factory.mktemp("nodes"), vms=1, servers=1) as running:
        yield running


def test_unknown_key_is_refused(shared_nodes: Nodes) -> None:
    """Guards against calls accepted without a valid API key."""
    for key in ("", "another"):
        path = PATH_PREFIX + JOB_ID
        assert shared_nodes.call("vm0", "POST", path, make_body(), key)[0] == 401
        assert shared_nodes.call("vm0", "GET", path, key=key)[0] == 401


def test_unknown_job_is_gone(shared_nodes: Nodes) -> None:
    """Guards against answers other than 410 for a job never submitted."""
    assert shared_nodes.call("vm0", "GET", PATH_PREFIX + OTHER_JOB_ID)[0] == 410
    assert shared_nodes.call("vm0", "DELETE", PATH_PREFIX + OTHER_JOB_ID)[0] == 410


def test_lost_answer_of_the_store_is_not_a_refusal(nodes: Nodes) -> None:
    """Guards against 503, "not run", for a job that the store recorded."""
    set_faults(nodes.store, lose_answers=3)
    codes = set()
    for number in range(6):
        job_id = f"{number:016x}"
        code = nodes.call("vm0", "POST", PATH_PREFIX + job_id, make_body())[0]
        codes.add(code)
        if code == 503:
            assert nodes.call("vm1", "GET", PATH_PREFIX + job_id)[0] == 410
    assert codes <= {200, 503, 504}
    set_faults(nodes.store)
    for number in range(6):
        job_id = f"{number:016x}"
        body = make_body()
        assert nodes.call("vm1", "POST", PATH_PREFIX + job_id, body)[0] == 200
        wait_until(lambda job=job_id: nodes.read_state("vm2", job) == "completed")  # type: ignore[misc]


def test_store_outage_is_survived(nodes: Nodes) -> None:
    """Guards against daemons that stay unready or lose jobs after a store outage."""
    assert nodes.call("vm0", "POST", PATH_PREFIX + JOB_ID, make_body(4.0))[0] == 200
    wait_until(lambda: nodes.read_state("vm0", JOB_ID) == "running")
    set_faults(nodes.store, down=True)
    wait_until(lambda: not any(nodes.check_ready(vm) for vm in nodes.callers))
    code, answer = nodes.call("vm0", "POST", PATH_PREFIX + OTHER_JOB_ID, make_body())
    assert code == 503
    assert answer["remedy"]
    set_faults(nodes.store)
    wait_until(lambda: all(nodes.check_ready(vm) for vm in nodes.callers))
    wait_until(lambda: nodes.read_state("vm0", JOB_ID) == "completed")


def test_daemon_without_store_serves_through_a_peer(nodes: Nodes) -> None:
    """Guards against refusals while another daemon reaches the store.

    On the standard days, daemons that the store refused rejected jobs and showed
    ended jobs as running.
    """
    planner = nodes.find_planner()
    (cut_vm, other, *_) = [vm for vm in nodes.callers if vm != planner]
    nodes.cut_store(cut_vm)
    wait_until(lambda: not nodes.check_ready(cut_vm))
    assert nodes.call(cut_vm, "POST", PATH_PREFIX + JOB_ID, make_body())[0] == 200
    wait_until(lambda: nodes.read_state(cut_vm, JOB_ID) == "completed")
    assert nodes.read_state(other, JOB_ID) == "completed"
    assert nodes.call(cut_vm, "GET", PATH_PREFIX + OTHER_JOB_ID)[0] == 410
    nodes.cut_store()
    wait_until(lambda: nodes.check_ready(cut_vm))


def test_planner_without_store_is_replaced(nodes: Nodes) -> None:
    """Guards against two planners, or none, when the planner loses the store."""
    planner = nodes.find_planner()
    body = make_body(8.0)
    assert nodes.call(planner, "POST", PATH_PREFIX + JOB_ID, body)[0] == 200
    wait_until(lambda: nodes.read_state(planner, JOB_ID) == "running")
    nodes.cut_store(planner)
    wait_until(lambda: nodes.find_planner() != planner)
    other = nodes.find_planner()
    assert nodes.call(other, "POST", PATH_PREFIX + OTHER_JOB_ID, make_body())[0] == 200
    wait_until(lambda: nodes.read_state(other, OTHER_JOB_ID) == "completed")
    wait_until(lambda: nodes.read_state(other, JOB_ID) == "completed")
    kinds = {line["message_type"] for line in nodes.read_log(planner)}
    assert "planner.term_ended" in kinds


def test_terminated_daemon_hands_over(nodes: Nodes) -> None:
    """Guards against a shutdown that leaves no planner for long."""
    planner = nodes.find_planner()
    process = nodes.deployment.processes[planner]
    process.send_signal(signal.SIGTERM)
    wait_until(lambda: not nodes.check_ready(planner))
    (other, *_) = [vm for vm in nodes.callers if vm != planner]
    assert nodes.call(other, "POST", PATH_PREFIX + JOB_ID, make_body())[0] == 200
    wait_until(lambda: nodes.read_state(other, JOB_ID) == "completed")
    assert process.wait(30) == 0
    kinds = [line["message_type"] for line in nodes.read_log(planner)]
    assert kinds[-1] == "daemon.stopped"


def test_trimmed_history_is_read_anew(nodes: Nodes) -> None:
    """Guards against a daemon that misses records trimmed by the store."""
    process = nodes.deployment.processes["vm0"]
    process.send_signal(signal.SIGSTOP)
    path = PATH_PREFIX + JOB_ID
    assert nodes.call("vm1", "POST", path, make_body())[0] == 200
    wait_until(lambda: nodes.read_state("vm1", JOB_ID) == "completed")
    trim = f"http://{nodes.store}/log-trim?topic=keyed.work&part=0&before=1000"
    send_http("POST", trim, b"")
    process.send_signal(signal.SIGCONT)
    wait_until(lambda: nodes.read_state("vm0", JOB_ID) == "completed")


def test_settings_are_read_again(shared_nodes: Nodes) -> None:
    """Guards against a daemon that SIGHUP ends instead of reloading its settings.

    Found by a day with random faults.
    """
    path = shared_nodes.directory / "vm0.json"
    process = shared_nodes.deployment.processes["vm0"]

    def find_lines(kind: str) -> list[dict[str, Any]]:
        lines = shared_nodes.read_log("vm0")
        return [line for line in lines if line["message_type"] == kind]

    content = path.read_bytes()
    path.write_bytes(b"{")
    process.send_signal(signal.SIGHUP)
    wait_until(lambda: len(find_lines("settings.refused")) > 0)
    path.write_bytes(content.replace(b'"status_s":120', b'"status_s":60'))
    process.send_signal(signal.SIGHUP)
    wait_until(lambda: len(find_lines("settings.reloaded")) > 0)
    assert find_lines("settings.reloaded")[0]["changed"] == ["bounds"]
    path.write_bytes(content)
    assert process.poll() is None
    assert shared_nodes.call("vm0", "GET", PATH_PREFIX)[0] == 200
