"""A job is given up because of crashes before servers carried out its starts."""

import json
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from harness import BROKEN, HELD, NOT_RUN, Case, run_case

JOB = "00000000000000a2"
FIRST = "00000000000000f0"
# A start that is left unanswered is carried out 2 s later or more; the server crashes
# before that, and is down for less than the dose of `cold_return` in the site file.
CRASH_SECONDS = 1.0
DOWN_SECONDS = 0.4
SERVERS = 3
# Other orders, so that under 0.055 of them are left unanswered, as in the site file.
OTHER_TASKS = 120
WAIT_SECONDS = 60.0


def make_job(milliseconds: int, count: int = 1) -> dict:
    """Return a job of tasks that each need an eighth of a server."""
    step = {
        "count": count,
        "cpu_millicores": 2000,
        "task_memory_mb": 1024,
        "accelerators": 1,
        "estimated_ms": milliseconds,
    }
    return {"specification": json.dumps([{"ms": milliseconds}]), "steps": [step]}


def play(case: Case) -> tuple[int, str]:
    """Let three servers withhold the starts of one job and crash."""
    case.start()
    nodes = list(case.nodes)
    code, _ = case.send(nodes[0], "POST", FIRST, make_job(500, OTHER_TASKS))
    if code != 200 or not case.wait(
        lambda: read_state(case, FIRST, nodes[0]) == "completed", 10.0
    ):
        return NOT_RUN, "the deployment does not serve a job before the disruption"
    if case.trouble:
        case.command(
            "trap", JOB, json.dumps([SERVERS, CRASH_SECONDS, DOWN_SECONDS]).encode()
        )
    code, _ = case.send(nodes[1], "POST", JOB, make_job(2000))
    if code != 200:
        return NOT_RUN, f"the job was answered {code}"
    states: list[str] = []
    final = {"completed", "failed", "cancelled"}
    ended = case.wait(
        lambda: states.append(read_state(case, JOB, nodes[2])) or states[-1] in final,
        WAIT_SECONDS,
    )
    failed = [e for e in case.list_runs(JOB, "end") if e["how"] == "failed"]
    starts = len(case.list_runs(JOB))
    facts = f"{starts} runs of its task started, {len(failed)} ended `failed`"
    if ended and states[-1] == "failed" and len(failed) < 3:
        return BROKEN, f"the job is shown as failed; {facts}, max_attempts is 3"
    if ended and states[-1] == "completed":
        return HELD, "the job is completed"
    return NOT_RUN, f"the job is shown as {states[-1]}; {facts}"


def read_state(case: Case, job_id: str, node: str) -> str:
    """Ask a daemon for the state of a job."""
    case.wait(lambda: False, 0.5)
    return str(case.send(node, "GET", job_id)[1].get("state"))


if __name__ == "__main__":
    sys.exit(run_case(str(Path(__file__).parent), play))
