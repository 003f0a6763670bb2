"""Short requests through real daemons: bad input, lost answers, frozen servers."""

import signal
import socket
import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from http.client import HTTPConnection, HTTPException
from typing import Any

import pytest
from msgspec.json import decode, encode

from cardamomdyke_standins.deployment import Deployment, send_http, wait_until
from cardamomdyke_standins.faults import Faults

PATH = "/v1/services/order-desk/requests"
ACCOUNT = {"Client-Account": "koffie-invoer"}


@dataclass(frozen=True)
class Reply:
    """Reply to a caller; its outcome is ``lost`` if the connection failed."""

    status: int
    outcome: str
    request_id: str
    body: bytes

    def read_kind(self) -> str:
        problem = decode(self.body)
        assert problem["remedy"] and problem["message"]
        kind: str = problem["kind"]
        return kind


def post(address: str, body: bytes, headers: dict[str, str], path: str = PATH) -> Reply:
    connection = HTTPConnection(address, timeout=60.0)
    try:
        connection.request("POST", path, body, headers)
        reply = connection.getresponse()
        names = ("Outcome", "Request-Id")
        outcome, request_id = (reply.headers.get(name, "") for name in names)
        return Reply(reply.status, outcome, request_id, reply.read())
    except (OSError, HTTPException):
        return Reply(0, "lost", "", b"")
    finally:
        connection.close()


def list_servers(deployment: Deployment) -> list[dict[str, Any]]:
    pools = deployment.example["tables"]["pools"]
    return [server for pool in pools for server in pool["servers"]]


def count_runs(deployment: Deployment) -> Counter[str]:
    """Return each request id's number of runs over all backend servers."""
    runs: Counter[str] = Counter()
    for server in list_servers(deployment):
        events = decode(send_http("GET", f"http://{server['address']}/v1/events"))
        runs.update(event[2] for event in events if event[1] == "request")
    return runs


def wait_for_last_runs(deployment: Deployment) -> Counter[str]:
    """Return the runs once none was added for a second."""
    runs = count_runs(deployment)
    while True:
        time.sleep(1.0)
        later = count_runs(deployment)
        if later == runs:
            return runs
        runs = later


def send_slowly(address: str, first_bytes: bytes) -> bytes:
    """Send bytes, then one byte each half second; return what was received."""
    host, _, port = address.rpartition(":")
    with socket.create_connection((host, int(port)), timeout=60.0) as connection:
        connection.sendall(first_bytes)
        connection.settimeout(0.5)
        received = b""
        deadline = time.monotonic() + 60.0
        while time.monotonic() < deadline:
            try:
                received += connection.recv(65536)
                return received
            except TimeoutError:
                try:
                    connection.sendall(b"x")
                except OSError:
                    return received
            except OSError:
                return received
    raise AssertionError("the daemon kept a slow connection open")


@pytest.mark.processes
def test_bad_input_gets_typed_errors_and_disturbs_nothing(
    small_federation: Deployment,
) -> None:
    """Guards against untyped errors and slow callers that block others."""
    address = small_federation.example["vms"][0]["caller_address"]
    start = f"POST {PATH} HTTP/1.1\r\nHost: x\r\n".encode()
    head = start + b"Client-Account: koffie-invoer\r\nContent-Length: 900\r\n\r\n"
    with ThreadPoolExecutor(2) as pool:
        slow_head = pool.submit(send_slowly, address, start + b"X-Slow: ")
        slow_body = pool.submit(send_slowly, address, head)
        cases: list[tuple[str, int, bytes, dict[str, str], str]] = [
            ("bad_request", 400, b"{broken", {}, "/v1/jobs"),
            ("unknown_client_account", 403, b"", {"Client-Account": "x"}, PATH),
            ("unknown_service", 404, b"", ACCOUNT, PATH.replace("order-desk", "x")),
            ("body_too_large", 413, b"x" * 1_100_000, ACCOUNT, PATH),
            ("bad_request", 400, b"", {}, PATH),
            ("bad_request", 400, b"", {**ACCOUNT, "Repeatable": "maybe"}, PATH),
            ("bad_request", 400, b"", {**ACCOUNT, "First-Attempt": "?"}, PATH),
            ("bad_request", 400, b"", {**ACCOUNT, "Deadline-Seconds": "nan"}, PATH),
            ("bad_request", 400, b"", {**ACCOUNT, "Idempotency-Key": "k" * 999}, PATH),
        ]
        for kind, status, body, headers, path in cases:
            reply = post(address, body, headers, path)
            seen = (reply.status, reply.outcome, reply.read_kind())
            assert seen == (status, "not_run", kind)
        while not (slow_head.done() and slow_body.done()):
            assert post(address, b"good", ACCOUNT).outcome == "finished"
            time.sleep(0.2)
    assert b" 408 " in slow_body.result()
    assert b"did not arrive within" in slow_body.result()
    assert b"\r\nConnection: close\r\n" in slow_body.result()
    assert slow_head.result() == b"", "the slow header's connection closes"


@pytest.mark.processes
def test_caller_of_a_large_body_gets_its_reply(small_federation: Deployment) -> None:
    """Guards against a reply 413 that is lost while the caller still sends.

    The daemon closed the connection before the body had arrived: 20 of 400 callers
    beside other work got no reply.
    """
    address = small_federation.example["vms"][0]["caller_address"]
    body = b"x" * 1_100_000
    with ThreadPoolExecutor(4) as pool:
        sent = [pool.submit(post, address, body, ACCOUNT) for _ in range(100)]
        statuses = [future.result().status for future in sent]
    assert statuses == [413] * 100


@pytest.mark.processes
def test_same_key_at_two_vms_with_lost_answers_runs_once(
    small_federation: Deployment,
) -> None:
    """Guards against two runs of one key, on one backend server or on two."""
    vms = [vm["caller_address"] for vm in small_federation.example["vms"][:2]]
    fault_body = encode(Faults(lose_answers=1))
    for number in range(5):
        headers = {**ACCOUNT, "Idempotency-Key": f"key{number}"}
        body = f"number {number} sleep=0.1".encode()
        for server in list_servers(small_federation):
            send_http("PUT", f"http://{server['address']}/faults", fault_body)
        with ThreadPoolExecutor(2) as pool:
            sent = [pool.submit(post, vm, body, headers) for vm in vms]
            replies = [future.result() for future in sent]
        while not all(reply.outcome == "finished" for reply in replies):
            assert {r.outcome for r in replies} <= {"finished", "not_known"}
            replies = [post(vm, body, headers) for vm in vms]
        assert replies[0].body == replies[1].body
        assert replies[0].body.endswith(body)
    runs = count_runs(small_federation)
    assert sorted(runs.values()) == [1] * 5


@pytest.mark.processes
def test_frozen_backend_server_keeps_outcomes_true(
    small_federation: Deployment,
) -> None:
    """Guards against "not run" for a start that a frozen server runs later."""
    address = small_federation.example["vms"][0]["caller_address"]
    server = small_federation.example["tables"]["pools"][0]["servers"][0]
    process = small_federation.processes[server["name"]]
    url = f"http://{server['address']}/v1/inventory"
    replies: list[Reply] = []
    headers = {**ACCOUNT, "Deadline-Seconds": "0.6"}
    with ThreadPoolExecutor(8) as pool:
        # A start ticket outlives the pause of 1.2 s, but not that of 2.5 s.
        for frozen_seconds in (0.2, 1.2, 2.5):
            # Some start before the pause and answer after the deadline.
            slow = b"work sleep=3"
            sent = [pool.submit(post, address, slow, headers) for _ in range(4)]
            wait_until(lambda: decode(send_http("GET", url))["busy_slots"] > 0)
            process.send_signal(signal.SIGSTOP)
            body = b"work sleep=0.05"
            sent += [pool.submit(post, address, body, headers) for _ in range(12)]
            time.sleep(frozen_seconds)
            process.send_signal(signal.SIGCONT)
            replies += [future.result() for future in sent]
    runs = wait_for_last_runs(small_federation)
    assert max(runs.values()) == 1
    assert len(replies) == 48
    for reply in replies:
        if reply.outcome == "finished":
            assert runs[reply.request_id] == 1
            assert reply.request_id.encode() in reply.body
        elif reply.outcome == "not_run":
            assert runs[reply.request_id] == 0
        else:
            assert reply.outcome == "not_known"
    assert any(reply.outcome == "finished" for reply in replies)
