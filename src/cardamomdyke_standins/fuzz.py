"""Runs deployments under load with random failures, and checks their histories.

The seed determines the failures and the load, not the timing between processes.
"""

import asyncio
from dataclasses import dataclass
from pathlib import Path

from fire import Fire

from cardamomdyke_standins.deployment import (
    add_relay,
    move_to_free_ports,
    read_example,
    run_deployment,
    shrink_example,
)
from cardamomdyke_standins.history import Violation
from cardamomdyke_standins.load import Recorder
from cardamomdyke_standins.nemesis import Nemesis
from cardamomdyke_standins.seeds import run_seeds

ROOT = Path(__file__).parents[2]
CALLERS = 6
ACTIONS_PER_RUN = 4
PAUSE_SECONDS = 1.0
# Members that still run end within a lease of the last renewal by their planner.
END_WAIT_SECONDS = 4.0


@dataclass(frozen=True, slots=True)
class RunResult:
    """Result of one run.

    Attributes
    ----------
    seed : int
        Seed of the random choices.
    actions : tuple of str
        Names of the failures, in order.
    outcomes : dict of str to int
        Number of attempts by outcome.
    gangs : int
        Number of gangs submitted.
    violations : tuple of Violation
        Violated invariants; empty when the run passed.
    """

    seed: int
    actions: tuple[str, ...]
    outcomes: dict[str, int]
    gangs: int
    violations: tuple[Violation, ...]


async def run_load(recorder: Recorder, nemesis: Nemesis) -> RunResult:
    """Send load during random failures, then check the history."""
    load = [
        asyncio.create_task(recorder.send_until_stopped(0.1)) for _ in range(CALLERS)
    ]
    load.append(asyncio.create_task(recorder.submit_gangs_until_stopped(1.0)))
    load.append(asyncio.create_task(recorder.sample_versions_until_stopped()))
    actions = await nemesis.run_actions(ACTIONS_PER_RUN, PAUSE_SECONDS)
    recorder.stopping = True
    await asyncio.gather(*load)
    await asyncio.sleep(END_WAIT_SECONDS)
    outcomes = [attempt.outcome for attempt in recorder.attempts]
    counts = {outcome: outcomes.count(outcome) for outcome in sorted(set(outcomes))}
    violations = tuple(await recorder.check_history())
    gangs = len(recorder.gang_sizes)
    return RunResult(recorder.seed, tuple(actions), counts, gangs, violations)


def run_seed(seed: int, directory: Path, example: str = "federation") -> RunResult:
    """Run one seed on a new deployment behind a relay.

    Parameters
    ----------
    seed : int
        Seed of the random choices.
    directory : Path
        Directory for the processes' logs.
    example : str
        ``federation`` or ``trust``.

    Returns
    -------
    RunResult
        Failures, outcomes and violations.
    """
    content = read_example(ROOT / "examples" / f"{example}.json")
    content = move_to_free_ports(add_relay(shrink_example(content, 2, 2)))
    with run_deployment(content, directory) as deployment:

        async def run_one() -> RunResult:
            recorder = Recorder(deployment, seed)
            return await run_load(recorder, Nemesis(deployment, recorder))

        return asyncio.run(run_one())


def main(first: int = 1, count: int = 4, example: str = "federation") -> None:
    """Run seeds one after another; exit code 1 after a violation.

    Parameters
    ----------
    first : int
        First seed.
    count : int
        Number of seeds.
    example : str
        ``federation`` or ``trust``.
    """
    run_seeds("seed", first, count, lambda seed, at: run_seed(seed, at, example))


if __name__ == "__main__":
    Fire(main)
