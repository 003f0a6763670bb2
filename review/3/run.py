"""A job runs although its cancellation was answered before a frozen daemon woke."""

import json
import signal
import socket
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from harness import (
    BOUNDS,
    BROKEN,
    HELD,
    HOST,
    KEY,
    PREFIXES,
    Case,
    CaseError,
    run_case,
)

JOB = "00000000000000a4"
FROZEN = "frontend-gent-2"
OTHER = "frontend-lokeren-2"
# Dose of `node_freeze` in the site file.
FREEZE_SECONDS = 4.0
# `give_up` in the site file: clients leave within 900 ms.
PATIENCE_SECONDS = 0.5
TASKS = 4
WAIT_SECONDS = 10.0


def make_job() -> dict:
    """Return a job of some tasks that each run for two seconds."""
    step = {
        "count": TASKS,
        "cpu_millicores": 2000,
        "task_memory_mb": 1024,
        "accelerators": 1,
        "estimated_ms": 2000,
    }
    return {"specification": json.dumps([{"ms": 2000}]), "steps": [step]}


def submit(case: Case) -> None:
    """Send the job to a daemon, and leave after a while or with the answer."""
    host, _, port = case.nodes[FROZEN]["frontend"].rpartition(":")
    body = json.dumps(make_job()).encode()
    path = PREFIXES[2] + JOB
    head = (
        f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\nApi-Key: {KEY}\r\n"
        "Content-Type: application/json\r\nDeadline-Milliseconds: 3000\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    with socket.create_connection((host, int(port)), 2.0) as connection:
        connection.sendall(head.encode() + body)
        case.write(f"POST {path} at {FROZEN}")
        connection.settimeout(PATIENCE_SECONDS)
        try:
            answer = connection.recv(4096).decode()
        except TimeoutError:
            answer = "no answer"
    case.write(f"the client leaves {FROZEN} with {answer!r}")


def play(case: Case) -> tuple[int, str]:
    """Freeze a daemon, submit and cancel a job, and wake the daemon."""
    case.start()
    case.wait(lambda: False, 3.0)
    process = case.processes[FROZEN]
    frozen_at = time.monotonic()
    if case.trouble:
        process.send_signal(signal.SIGSTOP)
        case.write(f"{FROZEN} is frozen")
    submit(case)
    code, _ = case.send(OTHER, "DELETE", JOB)
    if code not in (200, 410):
        raise CaseError(f"the cancellation was answered {code}")
    acknowledged_at = time.time()
    if case.trouble:
        case.wait(lambda: False, frozen_at + FREEZE_SECONDS - time.monotonic())
        process.send_signal(signal.SIGCONT)
        case.write(f"{FROZEN} wakes")
    case.wait(lambda: False, WAIT_SECONDS)
    state = case.send(OTHER, "GET", JOB)[1].get("state", "not known")
    limit = acknowledged_at + BOUNDS["cancel_ms"] / 1000
    late = [event for event in case.list_runs(JOB) if event["at"] > limit]
    if not late:
        return HELD, f"no task started too late; the job is shown as {state}"
    seconds = min(event["at"] for event in late) - acknowledged_at
    done = [event for event in case.list_runs(JOB, "end") if event["how"] == "done"]
    text = f"{len(late)} tasks started, the first {seconds:.1f} s after the"
    text += f" cancellation was answered {code}"
    return BROKEN, f"{text}; {len(done)} ran to their end, the job is shown as {state}"


if __name__ == "__main__":
    sys.exit(run_case(str(Path(__file__).parent), play))
