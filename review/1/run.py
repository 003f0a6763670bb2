"""An entry of another writer in the store stops all planning."""

import json
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from harness import BROKEN, HELD, Case, run_case

JOB = "00000000000000a1"
FIRST = "00000000000000f0"
# `finish_s`, within which jobs have to be served, and the 3 s of the rule.
WAIT_SECONDS = 25.0
ENTRY = {
    "service": "printers",
    "address": "",
    "zone": "gent",
    "version": "v1",
    "slots": 1,
    "state": "ready",
    "cold_remaining_ms": 0,
    "capacity": {"cpu_millicores": 1000, "task_memory_mb": 1024},
    "labels": ["p", "r9-9"],
    "sequence": 1,
}
# "Office 1" in the language of one of the users.
WRITER = "مكتب-1"


def make_job(milliseconds: int) -> dict:
    """Return a job of four tasks that each need an eighth of a server."""
    step = {
        "count": 4,
        "cpu_millicores": 2000,
        "task_memory_mb": 1024,
        "accelerators": 1,
        "estimated_ms": milliseconds,
    }
    return {"specification": json.dumps([{"ms": milliseconds}]), "steps": [step]}


def play(case: Case) -> tuple[int, str]:
    """Write the entry, submit a job, and see whether it is served."""
    case.start()
    nodes = list(case.nodes)
    code, _ = case.send(nodes[0], "POST", FIRST, make_job(500))
    done = case.wait(lambda: is_completed(case, FIRST, nodes[0]), 10.0)
    if code != 200 or not done:
        return 2, "the deployment does not serve a job before the disruption"
    if case.trouble:
        # Nobody listens there; the entry names no worker to use.
        address = case.take_address()
        case.release_addresses()
        entry = json.dumps({**ENTRY, "address": address}).encode()
        case.command("entry", WRITER, entry)
    case.wait(lambda: False, 2.0)
    code, _ = case.send(nodes[1], "POST", JOB, make_job(500))
    if code != 200:
        return 2, f"the job was answered {code}"
    if case.wait(lambda: is_completed(case, JOB, nodes[2]), WAIT_SECONDS):
        return HELD, "the job is completed"
    starts = len(case.list_runs(JOB))
    text = f"the job is not completed {WAIT_SECONDS} s after its acceptance"
    return BROKEN, f"{text}; {starts} of its 4 tasks have started on 24 idle workers"


def is_completed(case: Case, job_id: str, node: str) -> bool:
    """Ask a daemon whether a job is completed."""
    case.wait(lambda: False, 0.5)
    return case.send(node, "GET", job_id)[1].get("state") == "completed"


if __name__ == "__main__":
    sys.exit(run_case(str(Path(__file__).parent), play))
