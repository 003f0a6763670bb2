"""Comparison of the cell policy with two baselines and lower bounds."""

from concurrent.futures import ProcessPoolExecutor
from math import exp, log
from pathlib import Path

from fire import Fire
from msgspec import Struct
from msgspec.json import Decoder, encode, format
from numpy import array, percentile
from numpy.random import default_rng

from cardamomdyke.model.tables import Tables
from cardamomdyke.placement.baselines import FirstFit, LeastLoadedRandom
from cardamomdyke.placement.policy import make_default_policy
from cardamomdyke_measurements.measures import measure_run
from cardamomdyke_measurements.workload import draw_workload

EXAMPLES = ("federation", "trust")
SEEDS = 20
# The examples have equal sizes, so equal seeds would give equal results.
EXAMPLE_SEED_OFFSET = 1000
PROCESSES = 2
RESAMPLES = 2000
CONFIDENCE_PERCENT = 95
COMPARED_MEASURES = ("small_p50", "small_p99", "large_p50", "large_p99", "makespan")
POLICIES = ("cells", "first_fit", "least_loaded")


class Example(Struct):
    """The part of an example file that the measurements use."""

    tables: Tables


def make_policy(name: str, seed: int) -> object:
    """Create a policy; the seed is for the random baseline."""
    if name == "cells":
        return make_default_policy()
    return FirstFit() if name == "first_fit" else LeastLoadedRandom(seed)


def read_tables(example: str) -> Tables:
    """Read the tables of a shipped example."""
    data = Path("examples", f"{example}.json").read_bytes()
    return Decoder(Example).decode(data).tables


def measure_seed(task: tuple[str, str, int]) -> dict[str, float]:
    """Measure one policy with one seed of an example."""
    example, policy, seed = task
    offset = EXAMPLES.index(example) * EXAMPLE_SEED_OFFSET
    workload = draw_workload(read_tables(example), seed + offset)
    return measure_run(make_policy(policy, seed), workload)


def compute_interval(values: list[float]) -> tuple[float, float]:
    """Return the mean's bootstrapped 95 % confidence interval."""
    data = array(values)
    indices = default_rng(0).integers(len(data), size=(RESAMPLES, len(data)))
    tail = (100 - CONFIDENCE_PERCENT) / 2
    low, high = percentile(data[indices].mean(axis=1), [tail, 100 - tail])
    return float(low), float(high)


def summarize(values: list[float]) -> dict[str, float]:
    """Return mean and confidence interval."""
    low, high = compute_interval(values)
    return {"mean": sum(values) / len(values), "low": low, "high": high}


def summarize_ratios(
    numerators: list[float], denominators: list[float]
) -> dict[str, float]:
    """Return paired ratios' geometric mean and confidence interval."""
    logs = [log(a / b) for a, b in zip(numerators, denominators, strict=True)]
    return {name: exp(value) for name, value in summarize(logs).items()}


def compare_example(
    example: str, runs: dict[str, list[dict[str, float]]]
) -> dict[str, dict[str, dict[str, float]]]:
    """Return measures by policy, and ratios of the cell policy to the others."""
    report = {
        policy: {
            name: summarize([run[name] for run in measured]) for name in measured[0]
        }
        for policy, measured in runs.items()
    }
    cells = runs["cells"]
    for policy in POLICIES[1:]:
        report[f"cells / {policy}"] = {
            name: summarize_ratios(
                [run[name] for run in cells], [run[name] for run in runs[policy]]
            )
            for name in COMPARED_MEASURES
        }
    report["cells / bound"] = {
        name: summarize_ratios(
            [run[name] for run in cells], [run[f"{name}_bound"] for run in cells]
        )
        for name in COMPARED_MEASURES
    }
    return report


def print_table(example: str, report: dict[str, dict[str, dict[str, float]]]) -> None:
    """Print an example's measures, one per line."""
    for column, measures in report.items():
        for name, value in measures.items():
            print(
                f"{example:<11} {column:<21} {name:<24} {value['mean']:>10.3f} "
                f"[{value['low']:.3f}, {value['high']:.3f}]"
            )


def measure_placement(
    seeds: int = SEEDS, first_seed: int = 0, json: str = "", processes: int = PROCESSES
) -> None:
    """Measure all policies and print a table, then JSON.

    Parameters
    ----------
    seeds : int
        Workloads per example.
    first_seed : int
        Seed of the first workload.
    json : str
        Path of the JSON file; standard output when empty.
    processes : int
        Worker processes.
    """
    seed_range = range(first_seed, first_seed + seeds)
    reports = {}
    with ProcessPoolExecutor(processes) as executor:
        for example in EXAMPLES:
            tasks = [(example, p, seed) for p in POLICIES for seed in seed_range]
            results = list(executor.map(measure_seed, tasks))
            runs = {
                policy: results[number * seeds : (number + 1) * seeds]
                for number, policy in enumerate(POLICIES)
            }
            reports[example] = compare_example(example, runs)
            print_table(example, reports[example])
    text = format(encode(reports)).decode()
    if json:
        Path(json).write_text(text + "\n")
    else:
        print(text)


if __name__ == "__main__":
    Fire(measure_placement)
