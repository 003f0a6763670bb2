"""Steps of all scenarios but gangs, with real processes."""

import asyncio
import signal
import time
from typing import Any

import pytest
from msgspec.json import decode, encode
from pytest_bdd import parsers, scenarios, then, when

from cardamomdyke_standins.deployment import list_machines, send_http
from cardamomdyke_standins.faults import Faults
from cardamomdyke_standins.nemesis import make_cuts
from cardamomdyke_standins.relay import Conditions, Cut
from tests.processes.world import World, gather_replies

pytestmark = pytest.mark.processes
scenarios(
    "../features/backend_servers.feature",
    "../features/configuration.feature",
    "../features/draining.feature",
    "../features/failure_domains.feature",
    "../features/requests.feature",
)


# Configuration


@when(
    parsers.parse(
        'two operators edit the same version through "{first}" and "{second}"'
    )
)
def race_edits(world: World, first: str, second: str) -> None:
    current = world.call(first, "GET", "/v1/tables")
    edit = {"base_version": current["version"], "tables": current["tables"]}
    calls = [
        world.recorder.call_vm(world.find_vm(vm), "PUT", "/v1/tables", edit)
        for vm in (first, second)
    ]
    world.replies = world.run(gather_replies(list(calls)))


@then(
    parsers.parse('exactly one edit is accepted and the other is refused with "{kind}"')
)
def check_race(world: World, kind: str) -> None:
    accepted = [reply["version"] for reply in world.replies if "version" in reply]
    refused = [reply["kind"] for reply in world.replies if "kind" in reply]
    assert len(accepted) == 1
    assert refused == [kind]
    world.accepted_version = accepted[0]


@then("every VM has the accepted version")
def check_versions(world: World) -> None:
    def check_all() -> bool:
        statuses = [
            world.deployment.read_json(vm, "/v1/status")
            for vm in world.deployment.example["vms"]
        ]
        return all(
            status is not None and status["version"] == world.accepted_version
            for status in statuses
        )

    world.wait_for(check_all)


@when(parsers.parse("the log loses the answers of its next {count:d} appends"))
def lose_log_answers(world: World, count: int) -> None:
    world.deployment.set_faults("log", Faults(lose_answers=count))


@when(parsers.parse('an operator edits the tables through "{vm}"'))
def edit_tables(world: World, vm: str) -> None:
    world.edit_tables(vm, lambda tables: tables["routes"][0].update(burst=17))


@when(
    parsers.parse(
        'an operator adds a route to the unknown pool "{pool}" through "{vm}"'
    )
)
def edit_with_unknown_pool(world: World, pool: str, vm: str) -> None:
    world.edit_tables(vm, lambda tables: tables["routes"][0].update(pools=[pool]))


@then("the edit is accepted")
def check_accepted(world: World) -> None:
    assert "version" in world.replies[-1], world.replies[-1]


@then(parsers.parse('the edit is refused with "{kind}"'))
def check_refused(world: World, kind: str) -> None:
    assert world.replies[-1]["kind"] == kind


@when("the log is down")
def take_log_down(world: World) -> None:
    world.deployment.set_faults("log", Faults(down=True))


@when(parsers.parse('the malformed record "{record}" is appended to the log'))
def append_malformed_record(world: World, record: str) -> None:
    address = world.deployment.find_standin_address("log")
    body = record.replace("\\", "").encode()
    send_http("POST", f"http://{address}/v1/streams/config/records", body)


@when("all VMs are killed and started again")
def restart_all(world: World) -> None:
    vms = world.deployment.example["vms"]
    for vm in vms:
        world.deployment.processes[vm["vm"]].kill()
        world.deployment.processes[vm["vm"]].wait()
    for vm in vms:
        world.deployment.start_daemon(vm)
    for vm in vms:
        world.wait_for(
            lambda vm=vm: world.deployment.read_json(vm, "/v1/status") is not None
        )


@when(
    parsers.parse('all VMs of failure domain "{domain}" are killed and started again')
)
def restart_domain(world: World, domain: str) -> None:
    vms = [
        vm for vm in world.deployment.example["vms"] if vm["failure_domain"] == domain
    ]
    for vm in vms:
        world.deployment.processes[vm["vm"]].kill()
        world.deployment.processes[vm["vm"]].wait()
    for vm in vms:
        world.deployment.start_daemon(vm)
    world.restored_at = time.monotonic()


@when(parsers.parse('backend server "{server}" fails everything'))
def fail_everything(world: World, server: str) -> None:
    world.deployment.set_faults(server, Faults(fail_tasks=True))


@then(parsers.parse('VM "{vm}" reports "{kind}" of "{subject}"'))
def check_event(world: World, vm: str, kind: str, subject: str) -> None:
    def check_reported() -> bool:
        events = world.call(vm, "GET", f"/v1/timeline?subject={subject}") or []
        return any(event["kind"] == kind for event in events)

    world.wait_for(check_reported)


@when(parsers.parse('VM "{vm}" is killed and started again'))
def restart_vm(world: World, vm: str) -> None:
    world.deployment.processes[vm].kill()
    world.deployment.processes[vm].wait()
    world.deployment.start_daemon(world.find_vm(vm))


# Failure domains and the network


@then(parsers.parse('tasks start in failure domain "{domain}" again'))
def check_starts(world: World, domain: str) -> None:
    def check_new_start() -> bool:
        events = world.run(world.recorder.read_events())
        return any(
            event.kind in ("request", "start")
            and event.failure_domain == domain
            and event.at > world.restored_at
            for event in events
        )

    world.wait_for(check_new_start)


@when(parsers.parse('failure domain "{domain}" is cut off from everything'))
def cut_domain(world: World, domain: str) -> None:
    cuts = make_cuts(world.deployment.example, domain, with_platform=True)
    world.deployment.set_conditions(Conditions(cuts))


@when(parsers.parse('failure domain "{domain}" is cut off from the platform'))
def cut_domain_from_platform(world: World, domain: str) -> None:
    world.deployment.set_conditions(Conditions((Cut(domain, "platform"),)))


@when("every failure domain is cut off from the platform")
def cut_all_from_platform(world: World) -> None:
    rows = world.deployment.example["tables"]["failure_domains"]
    cuts = tuple(Cut(row["name"], "platform") for row in rows)
    world.deployment.set_conditions(Conditions(cuts))


@when("the network recovers")
def restore_network(world: World) -> None:
    world.deployment.set_conditions(Conditions())


@when(parsers.parse('the log trims all records of "{stream}"'))
def trim_records(world: World, stream: str) -> None:
    address = world.deployment.find_standin_address("log")
    url = f"http://{address}/v1/streams/{stream}/trim?before=1000000"
    send_http("POST", url, b"")


@when("all open connections go silent")
def silence_connections(world: World) -> None:
    world.deployment.set_conditions(Conditions(stale_silent=True))
    world.deployment.set_conditions(Conditions())


@when(
    parsers.parse(
        'operators tell failure domain "{domain}" to "{choice}" when isolated'
    )
)
def set_isolation(world: World, domain: str, choice: str) -> None:
    def change(tables: dict[str, Any]) -> None:
        for row in tables["failure_domains"]:
            if row["name"] == domain:
                row["when_isolated"] = choice

    world.edit_tables("lokeren-e1", change)
    check_versions(world)


# Processes


@when(parsers.parse('VM "{vm}" is told to stop'))
def stop_vm(world: World, vm: str) -> None:
    world.deployment.processes[vm].terminate()


@then(parsers.parse('VM "{vm}" stops with exit code {code:d}'))
def check_exit(world: World, vm: str, code: int) -> None:
    assert world.deployment.processes[vm].wait(90) == code


@when("every VM is told to stop and started again, one after another")
def replace_vms(world: World) -> None:
    for vm in world.deployment.example["vms"]:
        process = world.deployment.processes[vm["vm"]]
        process.terminate()
        assert process.wait(90) == 0
        world.deployment.start_daemon(vm)
        world.wait_for(lambda vm=vm: world.deployment.check_ready(vm))


@then("no request was aborted")
def check_not_aborted(world: World) -> None:
    """Fail for an attempt without a complete answer, also through another VM."""
    world.stop_load()
    outcomes = [attempt.outcome for attempt in world.recorder.attempts]
    assert "finished" in outcomes
    aborted = [a for a in world.recorder.attempts if a.outcome in ("lost", "not_known")]
    assert aborted == [], aborted


@when(parsers.parse('backend server "{server}" is frozen'))
def freeze_server(world: World, server: str) -> None:
    world.deployment.processes[server].send_signal(signal.SIGSTOP)


@when(parsers.parse('backend server "{server}" resumes'))
def resume_server(world: World, server: str) -> None:
    world.deployment.processes[server].send_signal(signal.SIGCONT)


@when(parsers.parse('backend server "{server}" is listed as leaving'))
def list_leaving(world: World, server: str) -> None:
    machines = list_machines(world.deployment.example)
    for machine in machines:
        if machine["name"] == server:
            machine["state"] = "leaving"
    address = world.deployment.find_standin_address("vmlist")
    body = encode({"machines": machines})
    send_http("PUT", f"http://{address}/v1/machines", body)


@then(parsers.parse('nothing started on backend server "{server}" since it was listed'))
def check_nothing_started(world: World, server: str) -> None:
    events = world.read_server_events(server)
    assert [event for event in events if event[1] in ("request", "start")] == []


# Requests


@then(parsers.parse('a request through "{vm}" is "{outcome}"'))
def check_request(world: World, vm: str, outcome: str) -> None:
    seen, body = world.run(world.send_request(vm, {}, "plain"))
    assert seen == outcome, body


@then(parsers.parse('a request through "{vm}" is "{outcome}" with "{kind}"'))
def check_request_kind(world: World, vm: str, outcome: str, kind: str) -> None:
    seen, body = world.run(world.send_request(vm, {}, "plain"))
    assert (seen, decode(body)["kind"]) == (outcome, kind)


@then(parsers.parse('a request to pool "{pool}" through "{vm}" is "{outcome}"'))
def check_pool_request(world: World, pool: str, vm: str, outcome: str) -> None:
    # Below the caller's timeout, because a held request waits for its deadline.
    headers = {"Client-Account": pool, "Deadline-Seconds": "3"}
    seen, body = world.run(world.send_request(vm, headers, "plain"))
    assert seen == outcome, body


@then(
    parsers.parse(
        'a request to pool "{pool}" through "{vm}" is "{outcome}" with "{kind}"'
    )
)
def check_pool_request_kind(
    world: World, pool: str, vm: str, outcome: str, kind: str
) -> None:
    # Below the caller's timeout, because a held request waits for its deadline.
    headers = {"Client-Account": pool, "Deadline-Seconds": "3"}
    seen, body = world.run(world.send_request(vm, headers, "plain"))
    assert (seen, decode(body)["kind"]) == (outcome, kind)


@when(
    parsers.parse(
        'the same key is sent {count:d} times at once through "{first}" and "{second}"'
    )
)
def send_same_key(world: World, count: int, first: str, second: str) -> None:
    headers = {"Idempotency-Key": "same"}
    body = "sleep=0.5 marker=same end"
    calls = [
        world.send_request((first, second)[number % 2], headers, body)
        for number in range(count)
    ]
    world.replies = world.run(gather_replies(list(calls)))


@when(
    parsers.parse(
        'a keyed request of 2 seconds is sent through "{vm}" and the VM is killed'
    )
)
def send_and_kill(world: World, vm: str) -> None:
    async def send() -> None:
        headers = {"Idempotency-Key": "same"}
        body = "sleep=2 marker=same end"
        sending = asyncio.create_task(world.send_request(vm, headers, body))
        while not await check_marker_started(world, "same"):
            await asyncio.sleep(0.05)
        world.deployment.processes[vm].kill()
        outcome, _ = await sending
        assert outcome == "lost"

    world.run(send())


async def check_marker_started(world: World, marker: str) -> bool:
    """Return whether a request with this marker started on any backend server."""
    events = await world.recorder.read_events()
    return any(event.subject == marker for event in events)


@when(parsers.parse('the same key is sent again through "{vm}" until it is finished'))
def resend_until_finished(world: World, vm: str) -> None:
    headers = {"Idempotency-Key": "same"}

    def check_finished() -> bool:
        outcome, _ = world.run(
            world.send_request(vm, headers, "sleep=2 marker=same end")
        )
        return outcome == "finished"

    world.wait_for(check_finished)


@then(parsers.parse("the request ran {count:d} times"))
def check_run_count(world: World, count: int) -> None:
    events = world.run(world.recorder.read_events())
    assert [event.subject for event in events].count("same") == count
