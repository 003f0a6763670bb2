"""Tests of the simulation and its lower bounds."""

from dataclasses import replace

import pytest

from cardamomdyke.placement.baselines import FirstFit, LeastLoadedRandom
from cardamomdyke.placement.policy import make_default_policy
from cardamomdyke_measurements.measures import measure_run
from cardamomdyke_measurements.placement import read_tables
from cardamomdyke_measurements.workload import draw_workload


@pytest.mark.parametrize(
    "policy", [make_default_policy(), FirstFit(), LeastLoadedRandom()]
)
def test_no_run_beats_its_bounds(policy: object) -> None:
    """Guards against a simulation that loses, invents or duplicates work."""
    workload = draw_workload(read_tables("federation"), seed=3)
    workload = replace(workload, jobs=workload.jobs[:150], cancellations=())
    measures = measure_run(policy, workload)
    assert measures["small_unfinished"] == measures["large_unfinished"] == 0
    assert measures["makespan"] >= measures["makespan_bound"]
    for name in ("small_p50", "small_p99", "large_p50", "large_p99"):
        assert measures[name] >= measures[f"{name}_bound"]
    assert 0.0 <= measures["outage_work_share"] <= 1.0
    assert 0.0 <= measures["lost_work_share"] <= 1.0
    assert 0.0 <= measures["fragmentation"] <= 1.0


def test_equal_seeds_give_equal_workloads() -> None:
    """Guards against results that cannot be reproduced from their seed."""
    tables = read_tables("trust")
    assert draw_workload(tables, 5) == draw_workload(tables, 5)
    assert draw_workload(tables, 5) != draw_workload(tables, 6)
