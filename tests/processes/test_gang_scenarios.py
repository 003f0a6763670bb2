"""Steps of the gang scenarios, with real processes."""

import signal
from typing import Any

import pytest
from pytest_bdd import parsers, scenarios, then, when

from cardamomdyke.membership.hashing import choose_node
from tests.processes.world import World

pytestmark = pytest.mark.processes
scenarios("../features/gangs.feature")


@when(parsers.parse('backend server "{server}" is killed'))
def kill_server(world: World, server: str) -> None:
    domain = server.rpartition("-")[0]
    world.run(world.recorder.kill_server(server, domain))


def submit_gang(world: World, pool: str, job: dict[str, Any]) -> str:
    """Submit a gang through a VM of another failure domain; return its id."""
    body = {"client_account": pool, "service": "order-desk", **job}
    reply = world.call("lokeren-e1", "POST", "/v1/jobs", body)
    assert "job_id" in reply, reply
    job_id: str = reply["job_id"]
    world.recorder.gang_sizes[job_id] = job.get("gang_size", 1)
    world.job_ids.append(job_id)
    return job_id


def read_state(world: World, job_id: str) -> str:
    """Return a job's state; empty while it cannot be read."""
    reply = world.call("lokeren-e1", "GET", f"/v1/jobs/{job_id}")
    state: str = (reply or {}).get("state", "")
    return state


@when(
    parsers.parse(
        "a gang of {size:d} members that runs {seconds:d} seconds is running in "
        '"{pool}"'
    )
)
def run_gang(world: World, size: int, seconds: int, pool: str) -> None:
    job_id = submit_timed_gang(world, size, seconds, pool)
    world.wait_for(lambda: read_state(world, job_id) == "running")


@when(
    parsers.parse(
        "a gang of {size:d} members that runs {seconds:d} seconds is submitted to "
        '"{pool}"'
    )
)
def submit_timed_gang(world: World, size: int, seconds: int, pool: str) -> str:
    job = {
        "gang_size": size,
        "run_seconds": seconds,
        "payload": f"sleep={seconds}",
    }
    return submit_gang(world, pool, job)


@when(
    parsers.parse(
        "a second gang of {size:d} members that runs {seconds:d} seconds is queued"
    )
)
def queue_gang(world: World, size: int, seconds: int) -> None:
    job_id = submit_timed_gang(world, size, seconds, "order-desk-gent")
    assert read_state(world, job_id) == "queued"


def find_planner(world: World, domain: str) -> str:
    """Return the planner that rendezvous hashing chooses in a failure domain."""
    names = [
        vm["vm"]
        for vm in world.deployment.example["vms"]
        if vm["failure_domain"] == domain
    ]
    name = choose_node(f"planner:{domain}", names)
    assert name is not None
    return name


@when(parsers.parse('the planner of failure domain "{domain}" is killed'))
def kill_planner(world: World, domain: str) -> None:
    name = find_planner(world, domain)
    world.deployment.processes[name].kill()
    world.deployment.processes[name].wait()


@when(parsers.parse('the planner of failure domain "{domain}" is frozen'))
def freeze_planner(world: World, domain: str) -> None:
    world.frozen_vm = find_planner(world, domain)
    world.deployment.processes[world.frozen_vm].send_signal(signal.SIGSTOP)


@when("the frozen planner resumes")
def resume_planner(world: World) -> None:
    world.deployment.processes[world.frozen_vm].send_signal(signal.SIGCONT)


@then(parsers.parse("the gang finishes with {count:d} answers"))
@then(parsers.parse("the second gang finishes with {count:d} answers"))
def check_finished(world: World, count: int) -> None:
    world.wait_for(lambda: read_state(world, world.job_ids[-1]) == "finished")
    reply = world.call("lokeren-e1", "GET", f"/v1/jobs/{world.job_ids[-1]}")
    assert len(reply["answers"]) == count


@then(parsers.parse('no member runs on backend server "{server}"'))
def check_no_member(world: World, server: str) -> None:
    running: set[tuple[str, int]] = set()
    for _, kind, subject, member in world.read_server_events(server):
        if kind == "start":
            running.add((subject, member))
        else:
            running.discard((subject, member))
    assert running == set()


@when(parsers.parse('a borrower holds all of "{pool}"'))
def borrow_pool(world: World, pool: str) -> None:
    run_gang(world, 16, 120, pool)


@when(parsers.parse('an urgent gang within the guarantee is submitted to "{pool}"'))
def submit_urgent_gang(world: World, pool: str) -> None:
    job = {
        "client_account": "koffie-invoer",
        "accelerators_per_task": 8,
        "run_seconds": 2,
        "payload": "sleep=2",
        "urgent": True,
    }
    submit_gang(world, pool, job)


@then("the urgent gang starts")
def check_urgent_started(world: World) -> None:
    job_id = world.job_ids[-1]
    world.wait_for(lambda: read_state(world, job_id) in ("running", "finished"))
