"""Renewals that a backend server carries out long after they were sent."""

import math

import pytest

from cardamomdyke.gangs.state import Phase
from cardamomdyke.gangs.timing import (
    MAX_SEND_DELAY_SECONDS,
    RENEWAL_PERIOD_SECONDS,
    RUN_LEASE_SECONDS,
    START_LEASE_SECONDS,
)
from cardamomdyke_standins.backend_state import BackendState, RefusalError
from cardamomdyke_standins.gang_history import list_partial_seconds
from tests.gangs.model import Fault, MessageFault, Planner, World
from tests.gangs.test_machine import begin, run_to
from tests.gangs.test_machine_histories import GangHistories

PLAIN = MessageFault(Fault.NONE)
STARTED_AT = 100.0


def start_member() -> tuple[BackendState, dict[str, object]]:
    """Start a member; return its server and the renewal that extends it at once."""
    state = BackendState("a", "boot-a", 2, 8)
    call: dict[str, object] = {
        "job_id": "gent.job",
        "member": 0,
        "gang_size": 2,
        "epoch": 2,
        "holder": "vm0:1",
        "client_account": "client",
        "accelerators": (0,),
        "lease_seconds": START_LEASE_SECONDS,
        "ticket": state.make_ticket(STARTED_AT),
        "ticket_age_seconds": 0.0,
    }
    state.reserve_member(call, math.inf, STARTED_AT)
    state.start_member(call, STARTED_AT)
    return state, call | {"lease_seconds": RUN_LEASE_SECONDS}


def test_duplicated_renewal_does_not_outlast_its_sender() -> None:
    """Guards against a lease that counts from the arrival of a late duplicate."""
    histories = GangHistories()
    faults = [
        MessageFault(Fault.LATE, 0.3),
        *[PLAIN] * 4,
        MessageFault(Fault.FREEZE, 0.9),
        *[PLAIN] * 3,
        MessageFault(Fault.DUPLICATE, 5.0),
    ]
    histories.begin(2, True, 25.0, faults, 0.3)
    histories.freeze_planner(3.0)
    histories.wait(6.0)
    histories.kill_members("a")
    histories.take_over(dies=True)
    histories.teardown()


@pytest.mark.parametrize("delay", [0.0, 0.5, 1.9])
def test_renewed_lease_counts_from_the_sending(delay: float) -> None:
    """Guards against a renewal that extends a lease by its time in transit."""
    state, renewal = start_member()
    task = state.renew_lease(renewal, STARTED_AT + delay)
    assert task.lease_until == STARTED_AT + RUN_LEASE_SECONDS


def test_age_of_the_ticket_counts() -> None:
    """Guards against leases that shrink between the answers of a server."""
    state, renewal = start_member()
    state.renew_lease(renewal, STARTED_AT)
    later = renewal | {"ticket_age_seconds": 3.0}
    task = state.renew_lease(later, STARTED_AT + 3.005)
    assert task.lease_until == STARTED_AT + 3.0 + RUN_LEASE_SECONDS


def test_wrong_age_of_a_ticket_does_not_lengthen_the_lease() -> None:
    """Guards against a planner's fast clock that lengthens a lease."""
    state, renewal = start_member()
    task = state.renew_lease(renewal | {"ticket_age_seconds": 60.0}, STARTED_AT + 1.0)
    assert task.lease_until == STARTED_AT + 1.0 + RUN_LEASE_SECONDS


def test_overtaken_renewal_does_not_shorten_a_lease() -> None:
    """Guards against a renewal that ends the lease of a later one early."""
    state, renewal = start_member()
    newer = renewal | {"ticket": state.make_ticket(STARTED_AT + 1.0)}
    state.renew_lease(newer, STARTED_AT + 1.0)
    task = state.renew_lease(renewal, STARTED_AT + 1.5)
    assert task.lease_until == STARTED_AT + 1.0 + RUN_LEASE_SECONDS


def test_renewal_whose_lease_has_ended_has_no_effect() -> None:
    """Guards against an old renewal that confirms a member or sets a fence."""
    state, call = start_member()
    arrival = STARTED_AT + RUN_LEASE_SECONDS
    fresh = call | {"ticket": state.make_ticket(arrival)}
    state.release_task(fresh, arrival)
    state.reserve_member(fresh, math.inf, arrival)
    task = state.start_member(fresh, arrival)
    with pytest.raises(RefusalError, match="stale_ticket"):
        state.renew_lease(call | {"epoch": 3}, arrival)
    assert not task.confirmed
    assert state.fences["gent.job"] == (2, "vm0:1")


@pytest.mark.parametrize("ticket", ["", "boot-b:100000"])
def test_renewal_without_a_ticket_of_this_boot_is_refused(ticket: str) -> None:
    """Guards against a renewal whose time of sending the server cannot tell."""
    state, renewal = start_member()
    with pytest.raises(RefusalError, match="stale_ticket"):
        state.renew_lease(renewal | {"ticket": ticket}, STARTED_AT)


@pytest.mark.parametrize("delay", [0.5, 2.0])
def test_repeated_start_does_not_extend_the_lease(delay: float) -> None:
    """Guards against a duplicated start that lengthens the start lease."""
    state, renewal = start_member()
    call = renewal | {"lease_seconds": START_LEASE_SECONDS}
    task = state.start_member(call, STARTED_AT + delay - MAX_SEND_DELAY_SECONDS)
    assert task.lease_until == STARTED_AT + START_LEASE_SECONDS


def run_until_answered(world: World, planner: Planner) -> None:
    """Run until both members have answered the renewals of a second round."""
    gang = run_to(world, planner, Phase.RUNNING)
    first_round = gang.renewal_round_at
    while gang.renewal_round_at == first_round or any(
        member.renewed_at < gang.renewal_round_at for member in gang.members
    ):
        world.run_until(world.now + 0.001)
        assert planner.gang is not None
        gang = planner.gang


def end_first_member(world: World) -> None:
    """End member 0 without a word to its planner."""
    for backend in world.backends.values():
        for task in backend.tasks.values():
            if task.member == 0:
                backend._end_task(task, "stopped", world.now)


def measure_longest_part(world: World) -> float:
    """Return the longest time that a member of two ran without the other."""
    world.run_until(world.now + 30.0)
    return max(list_partial_seconds(list(world.runs.values()), 2, world.now))


def test_repeated_renewal_does_not_outlast_a_lost_member() -> None:
    """Guards against a lease that counts from the repetition of a lost renewal."""
    world, planner = begin(repeatable=True)
    run_until_answered(world, planner)
    end_first_member(world)
    # Both renewals are lost; the planner dies as it repeats them.
    lost = MessageFault(Fault.LOSE_REQUEST)
    world.faults.extend([lost, lost, PLAIN, MessageFault(Fault.DIE)])
    longest = measure_longest_part(world)
    assert not planner.alive
    assert longest <= RUN_LEASE_SECONDS + RENEWAL_PERIOD_SECONDS


def test_member_that_answers_late_does_not_outlast_a_lost_one() -> None:
    """Guards against a round that follows a long one with a full lease."""
    world, planner = begin(repeatable=True)
    run_until_answered(world, planner)
    # Member 1 answers its next renewal at the fifth try, and member 0 the first.
    lost = MessageFault(Fault.LOSE_REQUEST)
    world.faults.extend([PLAIN, *[lost] * 4])
    gang = planner.gang
    assert gang is not None
    last_round = gang.renewal_round_at
    while gang.members[0].renewed_at <= last_round:
        world.run_until(world.now + 0.001)
        assert planner.gang is not None
        gang = planner.gang
    end_first_member(world)
    while world.faults:
        world.run_until(world.now + 0.001)
    world.faults.extend([PLAIN, lost, MessageFault(Fault.DIE)])
    longest = measure_longest_part(world)
    assert not planner.alive
    assert longest <= RUN_LEASE_SECONDS + RENEWAL_PERIOD_SECONDS
