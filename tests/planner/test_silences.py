"""Records of silent servers, which later planners count leases from."""

import pytest

from cardamomdyke.planner.inputs import Silence
from cardamomdyke.planner.silences import (
    RECORD_AFTER_SECONDS,
    SilenceLedger,
    list_silence_records,
)
from cardamomdyke_standins.platform_server import MAX_LEASE_SECONDS, StepPlan
from tests.planner.test_planner import JOB, make_step, make_world
from tests.planner.world import World

SERVER = "s0"


def make_busy_world() -> World:
    """Return a world in which one server runs a task that lasts."""
    world = make_world(1)
    world.submit(JOB, [(make_step(1, 8), StepPlan(1000.0))])
    world.run_for(3.0)
    return world


def test_regained_server_gets_no_lease_before_the_record_is_removed() -> None:
    """Guards against leases that a later planner takes as never granted."""
    world = make_busy_world()
    world.planner.cut.add(SERVER)
    world.run_for(4.0)
    assert SERVER in world.silences.silences
    world.store_up = False
    world.planner.cut.clear()
    lease_until = world.cluster.servers[SERVER].lease_until
    world.run_for(1.0)
    assert world.cluster.servers[SERVER].lease_until == lease_until
    world.store_up = True
    world.run_for(1.0)
    assert SERVER not in world.silences.silences
    assert world.cluster.servers[SERVER].lease_until > lease_until
    assert world.violations == []


@pytest.mark.parametrize("planners", [1, 3])
def test_leases_of_a_silent_server_are_not_cut_short(planners: int) -> None:
    """Guards against a task that runs twice, since its server is silent and not gone.

    The server answers nobody and goes on with its work until its lease ends.
    """
    world = make_world(2)
    world.submit(JOB, [(make_step(1, 8), StepPlan(1000.0))])
    world.run_for(3.0)
    (name,) = [item.name for item in world.cluster.servers.values() if item.runs]
    for _ in range(planners):
        world.planner.cut.add(name)
        world.run_for(2.5)
        world.take_over(overlaps=True)
    world.planner.cut.add(name)
    world.run_for(2 * MAX_LEASE_SECONDS)
    assert world.violations == []
    (run,) = [
        run for item in world.cluster.servers.values() for run in item.runs.values()
    ]
    assert run.run > 1


def test_record_keeps_its_age_over_planners_and_full_reads() -> None:
    """Guards against a wait that each change of the planner begins anew.

    The daemon that plans next may have been cut off from the store meanwhile.
    """
    ledger = SilenceLedger()
    assert ledger.apply("ss0", b"4.100 4 0", 10.0)
    assert ledger.apply("ss0", b"4.100 5 8000", 20.0)
    assert ledger.silences["s0"].since == 10.0
    ledger.silences.clear()
    assert ledger.apply("ss0", b"4.100 5 18500", 30.0)
    assert ledger.silences == {"s0": Silence("4.100", 5, 11.5)}
    # The server answered in between, so leases were granted again.
    assert ledger.apply("ss0", b"5.900 5 0", 40.0)
    assert ledger.silences["s0"].since == 40.0
    assert ledger.apply("ss0", b"", 50.0)
    assert ledger.silences == {}
    for value in (b"\xff\xfe", b"4.1 5", b"4.1 5 -1", b"4.1 5 1 ", b"4.1 x 1"):
        assert not ledger.apply("ss0", value, 60.0)


def test_record_before_a_planner_of_an_earlier_version_is_not_used() -> None:
    """Guards against leases of a planner that does not know of these records."""
    ledger = SilenceLedger()
    ledger.apply("ss0", b"4.100 4 0", 10.0)
    assert list(ledger.list_vouched(4)) == ["s0"]
    assert list(ledger.list_vouched(5)) == []


def test_server_with_the_longest_name_is_left_out() -> None:
    """Guards against a key that is too long for the store and ends each term."""
    world = make_busy_world()
    state = world.planner.state
    server = state.servers.pop(SERVER)
    state.servers["x" * 255] = server
    server.failing_since = world.now - RECORD_AFTER_SECONDS
    assert list_silence_records(state, world.now) == []
