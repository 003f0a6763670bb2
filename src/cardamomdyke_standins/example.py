"""Runs an example deployment with short requests and a gang."""

import signal
import sys
import tempfile
import time
from contextlib import suppress
from pathlib import Path
from types import FrameType
from typing import Any

from fire import Fire
from msgspec.json import decode, encode
from psutil import Process, wait_procs

from cardamomdyke.model.errors import Problem, ProblemKind
from cardamomdyke_standins.deployment import (
    Deployment,
    find_taken_addresses,
    move_to_free_ports,
    read_example,
    run_deployment,
    send_http,
)

REQUESTS_PER_ACCOUNT = 5
EXIT_REFUSED = 1
EXIT_INTERRUPTED = 130
STOP_SIGNALS = (signal.SIGINT, signal.SIGTERM, signal.SIGHUP)


def send_requests(deployment: Deployment) -> int:
    """Send requests of every client account to every VM; return their number."""
    sent = 0
    for route in deployment.example["tables"]["routes"]:
        for vm in deployment.example["vms"]:
            path = f"/v1/services/{route['service']}/requests"
            for number in range(REQUESTS_PER_ACCOUNT):
                body = f"request {number} sleep=0.01".encode()
                answer = send_http(
                    "POST",
                    f"http://{vm['caller_address']}{path}",
                    body,
                    {"Client-Account": route["client_account"]},
                )
                if not answer.endswith(body):
                    raise RuntimeError(f"wrong answer: {answer!r}")
                sent += 1
    return sent


def run_gang(deployment: Deployment) -> dict[str, Any]:
    """Submit a gang of 16 members in one rack and return its final status."""
    route = deployment.example["tables"]["routes"][0]
    address = deployment.example["vms"][0]["caller_address"]
    job = {
        "client_account": route["client_account"],
        "service": route["service"],
        "accelerators_per_task": 4,
        "gang_size": 16,
        "adjacency": "rack",
        "run_seconds": 1.0,
        "payload": "sleep=1.0",
    }
    accepted = decode(send_http("POST", f"http://{address}/v1/jobs", encode(job)))
    url = f"http://{address}/v1/jobs/{accepted['job_id']}/answer?wait=30"
    final: dict[str, Any] = decode(send_http("GET", url, timeout_seconds=40.0))
    return final


def write_timeline(deployment: Deployment, path: Path) -> int:
    """Write the events of all VMs by time; return their number."""
    events = [
        event
        for vm in deployment.example["vms"]
        for event in deployment.read_json(vm, "/v1/timeline") or []
    ]
    events.sort(key=lambda event: float(event["at"]))
    lines = [
        f"{event['at']:.3f} {event['vm']} {event['kind']} {event['subject']} "
        f"{event['detail']}".rstrip()
        for event in events
    ]
    path.write_text("\n".join(lines) + "\n")
    return len(lines)


def interrupt(number: int, frame: FrameType | None) -> None:
    """Handle a signal to stop; later ones do not disturb the cleanup.

    Raises
    ------
    KeyboardInterrupt
        Always, so that every signal ends the run as Ctrl-C does.
    """
    for stop_signal in STOP_SIGNALS:
        signal.signal(stop_signal, signal.SIG_IGN)
    raise KeyboardInterrupt


def kill_children() -> None:
    """Kill processes that a signal kept the deployment from recording."""
    children = Process().children(recursive=True)
    for child in children:
        child.kill()
    wait_procs(children)


def find_port_problem(example: dict[str, Any]) -> Problem | None:
    """Return the problem of an example whose ports are not free."""
    taken = find_taken_addresses(example)
    if not taken:
        return None
    others = f" (and {len(taken) - 1} more of its addresses)" if taken[1:] else ""
    remedy = "stop the deployment that uses it, or add --free_ports"
    message = f"{taken[0]} is in use{others}"
    return Problem(ProblemKind.INVALID_SETTING, message, remedy)


def wait_for_interrupt(deployment: Deployment) -> None:
    """Keep the deployment running until Ctrl-C or another signal to stop."""
    vms = deployment.example["vms"]
    addresses = ", ".join(vm["caller_address"] for vm in vms)
    print(f"serving callers on {addresses}; Ctrl-C stops", flush=True)
    with suppress(KeyboardInterrupt):
        while True:
            time.sleep(1.0)


def main(
    example: str = "federation",
    binary: str = "",
    logs: str = "",
    free_ports: bool = False,
    keep: bool = False,
) -> None:
    """Run an example; exit code 1 after a failure.

    Parameters
    ----------
    example : str
        ``federation`` or ``trust``.
    binary : str
        Path of the built binary; the package by default.
    logs : str
        Directory for the processes' logs; a new temporary one by default.
    free_ports : bool
        Use free ports, so that runs do not conflict.
    keep : bool
        Keep serving until Ctrl-C or SIGTERM.
    """
    for stop_signal in STOP_SIGNALS:
        signal.signal(stop_signal, interrupt)
    root = Path(__file__).parents[2]
    content = read_example(root / "examples" / f"{example}.json")
    if free_ports:
        content = move_to_free_ports(content)
    problem = find_port_problem(content)
    if problem is not None:
        text = f"{problem.kind}: {problem.message}; {problem.remedy}"
        print(text, file=sys.stderr)
        sys.exit(EXIT_REFUSED)
    directory = Path(logs or tempfile.mkdtemp(prefix="cardamomdyke-"))
    command = [sys.executable, binary] if binary else None
    with run_deployment(content, directory, command) as deployment:
        print(f"{len(deployment.processes)} processes are up, logs in {directory}")
        print(f"{send_requests(deployment)} short requests answered")
        final = run_gang(deployment)
        print(
            f"gang {final['job_id']}: {final['state']}, {len(final['answers'])} answers"
        )
        if keep:
            wait_for_interrupt(deployment)
        timeline = directory / "timeline.txt"
        print(f"{write_timeline(deployment, timeline)} events in {timeline}")
        codes = deployment.stop_all()
        print(f"daemons stopped with exit codes {sorted(set(codes.values()))}")
    if final["state"] != "finished" or set(codes.values()) != {0}:
        sys.exit(EXIT_REFUSED)


if __name__ == "__main__":
    try:
        Fire(main)
    except KeyboardInterrupt:
        sys.exit(EXIT_INTERRUPTED)
    finally:
        kill_children()
