"""Orders that servers carry out seconds late, or on a later instance."""

import pytest

from cardamomdyke.model.orders import TaskId
from cardamomdyke.model.servers import RunLists
from cardamomdyke.planner.actions import PollOrder, SendStop
from cardamomdyke.planner.members import MemberPhase
from cardamomdyke.planner.polls import handle_poll_answer
from cardamomdyke.planner.replies import grant_start_lease
from cardamomdyke_standins.platform_server import PlatformServer, StepPlan
from tests.planner.test_planner import JOB, make_step, make_world
from tests.planner.world import Fault, World

# A start is sent once, and repeated five times at most.
UNANSWERED_REPEATS = [(Fault.LOSE_REQUEST, 0.0)] * 5


def submit_task(world: World) -> None:
    """Submit a task that fills a server and outlasts the test."""
    world.submit(JOB, [(make_step(1, 8), StepPlan(90.0))])


def find_server(world: World) -> PlatformServer:
    """Return the server of the task's current attempt."""
    (unit,) = world.planner.state.jobs[JOB].units.values()
    assert unit.attempt is not None
    (member,) = unit.attempt.members.values()
    return world.cluster.servers[member.server]


def restart_server(world: World, server: PlatformServer, seconds: float) -> None:
    """Restart a server under its own name; the store lists the new instance."""
    server.crash(world.now)
    world.run_for(seconds)
    server.restart(world.now)
    world.list_server(server.name)


def check_single_run(world: World) -> None:
    """Check that the task runs once now, and never ran twice at the same time."""
    assert world.violations == []
    runs = [run for item in world.cluster.servers.values() for run in item.runs]
    assert len(runs) == 1


@pytest.mark.parametrize("away", [0.01, 0.2, 0.5])
def test_repeated_start_does_not_run_again_on_a_later_instance(away: float) -> None:
    """Guards against a start that takes effect after the run of its repeat is lost."""
    world = make_world(2)
    world.start_faults = [(Fault.LATE, 5.0)]
    submit_task(world)
    world.run_for(2.0)
    server = find_server(world)
    world.refusing.add(server.name)
    restart_server(world, server, away)
    world.run_for(10.0)
    check_single_run(world)


@pytest.mark.parametrize("away", [0.01, 0.2, 0.5])
def test_stopped_start_does_not_run_on_a_later_instance(away: float) -> None:
    """Guards against a late start that only the instance before was told to refuse."""
    world = make_world(2)
    world.start_faults = [(Fault.LATE, 6.0), *UNANSWERED_REPEATS]
    submit_task(world)
    world.run_for(0.2)
    server = find_server(world)
    world.run_for(2.5)
    assert find_server(world) is not server
    restart_server(world, server, away)
    world.run_for(10.0)
    check_single_run(world)


def test_stop_of_an_earlier_instance_is_no_proof() -> None:
    """Guards against the confirmation of a stop that outlives its instance."""
    world = make_world(2)
    world.start_faults = [(Fault.LATE, 4.0), *UNANSWERED_REPEATS]
    submit_task(world)
    world.run_for(0.2)
    server = find_server(world)
    while not server.refused_up_to:
        world.run_for(0.001)
    world.run_for(0.006)
    restart_server(world, server, 0.001)
    world.run_for(10.0)
    check_single_run(world)


@pytest.mark.parametrize("takes_over", [False, True])
@pytest.mark.parametrize("late", [9.0, 11.9])
def test_late_start_does_not_run_on_an_unreachable_later_instance(
    late: float, takes_over: bool
) -> None:
    """Guards against a task that starts elsewhere while a late start may arrive."""
    world = make_world(2)
    world.start_faults = [(Fault.LATE, late)]
    submit_task(world)
    world.run_for(0.12)
    server = find_server(world)
    world.planner.cut.add(server.name)
    if takes_over:
        world.planner.alive = False
        world.take_over().cut.add(server.name)
    restart_server(world, server, 1.0)
    world.run_for(40.0)
    check_single_run(world)


def test_refused_repeat_does_not_settle_the_start_before() -> None:
    """Guards against a task started elsewhere while its first start is under way."""
    world = make_world(2)
    world.start_faults = [(Fault.LATE, 0.7)]
    submit_task(world)
    world.run_for(0.2)
    world.refusing.add(find_server(world).name)
    world.run_for(5.0)
    check_single_run(world)


def test_queued_start_is_not_sent_after_its_attempt_has_ended() -> None:
    """Guards against a start that waits behind slow calls until its task runs again."""
    world = make_world(2)
    submit_task(world)
    world.run_for(2.0)
    server = world.planner.state.servers[find_server(world).name]
    task = TaskId(JOB, 0, 0, 0)
    assert grant_start_lease(world.planner.state, server, task, 1, world.now)
    world.cancel(JOB)
    world.run_for(0.2)
    assert grant_start_lease(world.planner.state, server, task, 1, world.now) is None
    world.run_for(2.0)
    assert grant_start_lease(world.planner.state, server, task, 1, world.now) is None


def test_previous_planner_may_renew_leases_after_a_takeover() -> None:
    """Guards against leases counted from a takeover while two planners overlap."""
    world = make_world(2)
    submit_task(world)
    world.run_for(2.0)
    server = find_server(world)
    world.take_over(overlaps=True).cut.add(server.name)
    world.run_for(20.0)
    check_single_run(world)


def test_late_renewal_extends_the_lease_of_a_later_instance() -> None:
    """Guards against a lease that a poll of the instance before has extended."""
    world = make_world(2)
    submit_task(world)
    world.run_for(2.0)
    server = find_server(world)
    world.faults = [(Fault.LATE, 9.0)] * 2
    world.run_for(0.2)
    world.faults = []
    restart_server(world, server, 0.2)
    world.run_for(2.0)
    world.planner.cut.add(find_server(world).name)
    world.run_for(30.0)
    check_single_run(world)


def test_run_confirmed_during_a_poll_ends_only_after_its_stop() -> None:
    """Guards against a lost run that starts again before its late start is stopped.

    The answer to the start's repeat arrives while a later instance answers a poll.
    """
    world = make_world(2)
    world.start_faults = [(Fault.LATE, 9.0)]
    submit_task(world)
    world.run_for(0.2)
    server = find_server(world)
    while not server.runs:
        world.run_for(0.001)
    sent_at = world.now
    state = world.planner.state
    (unit,) = state.jobs[JOB].units.values()
    assert unit.attempt is not None
    (member,) = unit.attempt.members.values()
    while member.phase is not MemberPhase.RUNNING:
        world.run_for(0.001)
    task = TaskId(JOB, 0, 0, 0)
    assert (task, 1) in state.unsettled_starts[server.name]
    for seconds in (0.0, 0.05):
        order = PollOrder(sent_at + seconds, 0, None, 0.0)
        lists = RunLists(0.1 + seconds, 2, (), ())
        handle_poll_answer(state, server.name, order, lists, world.now + seconds)
    assert member.phase is not MemberPhase.ENDED
    assert SendStop(server.name, task, 1) in state.actions


def abandon_start(world: World, late: float) -> str:
    """Let a late start be abandoned; return its server once the task runs elsewhere."""
    world.start_faults = [(Fault.LATE, late), *UNANSWERED_REPEATS]
    submit_task(world)
    world.run_for(0.2)
    server = find_server(world)
    world.run_for(2.5)
    assert find_server(world) is not server
    return server.name


@pytest.mark.parametrize("late", [3.0, 3.5])
def test_abandoned_start_does_not_run_before_a_later_instance_is_polled(
    late: float,
) -> None:
    """Guards against a late start that reaches a restarted server before its stop."""
    world = make_world(2)
    server = world.cluster.servers[abandon_start(world, late)]
    restart_server(world, server, 0.01)
    world.run_for(10.0)
    check_single_run(world)


def test_abandoned_start_does_not_run_on_an_unreachable_later_instance() -> None:
    """Guards against a late start on a later instance that the planner cannot stop."""
    world = make_world(2)
    server = world.cluster.servers[abandon_start(world, 9.0)]
    world.planner.cut.add(server.name)
    restart_server(world, server, 1.0)
    world.run_for(20.0)
    check_single_run(world)


def test_late_start_does_not_run_on_an_instance_listed_after_the_leases() -> None:
    """Guards against a silent server given up while a late start may still arrive."""
    world = make_world(2)
    # The server is polled directly after its start, so its lease ends early.
    world.run_for(0.9)
    world.start_faults = [(Fault.LATE, 11.9)]
    submit_task(world)
    world.run_for(0.2)
    server = find_server(world)
    world.planner.cut.add(server.name)
    restart_server(world, server, 11.2)
    world.run_for(40.0)
    check_single_run(world)


@pytest.mark.parametrize("takeovers", [1, 2])
@pytest.mark.parametrize("late", [9.5, 11.9])
def test_late_start_of_an_earlier_planner_does_not_run_on_a_later_instance(
    late: float, takeovers: int
) -> None:
    """Guards against a start that only an earlier planner has in mind.

    The next planner finds no run, and starts the task on another server. An idle server
    is polled each 2 s only, and a later instance does not know the fencing token.
    """
    world = make_world(2)
    world.start_faults = [(Fault.LATE, late)]
    submit_task(world)
    world.run_for(0.2)
    server = find_server(world)
    arrives_at = world.now + late
    world.refusing.add(server.name)
    for _ in range(takeovers):
        world.planner.alive = False
        world.take_over()
        world.run_for(1.0)
    world.run_for(arrives_at - 0.5 - world.now)
    assert find_server(world) is not server
    while server.name not in world.planner.due_polls:
        # A poll that is under way would be lost with the instance before.
        world.run_for(0.001)
    restart_server(world, server, 0.001)
    world.run_for(15.0)
    check_single_run(world)


def test_start_of_a_done_task_does_not_run_on_a_later_instance() -> None:
    """Guards against the late first copy of a start whose repeat has ended `done`."""
    world = make_world(1)
    world.start_faults = [(Fault.LATE, 4.0)]
    world.submit(JOB, [(make_step(1, 8), StepPlan(0.3))])
    world.run_for(3.5)
    (server,) = world.cluster.servers.values()
    assert TaskId(JOB, 0, 0, 0) in world.acknowledged_done
    restart_server(world, server, 0.01)
    world.run_for(10.0)
    assert world.violations == []


def test_late_renewal_is_kept_in_mind_while_a_server_is_not_listed() -> None:
    """Guards against a lease extended by a poll that its server's entry outlived."""
    world = make_world(2)
    world.faults = [(Fault.LATE, 11.0)] * 2
    world.run_for(4.0)
    assert world.faults == []
    sent_by = world.now
    for name, server in world.cluster.servers.items():
        server.crash(world.now)
        del world.listed[name]
    world.run_for(1.0)
    assert not world.planner.state.servers
    for name, server in world.cluster.servers.items():
        server.restart(world.now)
        world.list_server(name)
    world.run_for(0.5)
    submit_task(world)
    world.run_for(0.5)
    server = find_server(world)
    world.planner.cut.add(server.name)
    assert world.now < sent_by + 7.0
    world.run_for(30.0)
    check_single_run(world)


def test_late_acknowledgement_does_not_drop_an_end_of_a_later_instance() -> None:
    """Guards against a done task that starts again because its end was never read."""
    world = make_world(1)
    (server,) = world.cluster.servers.values()
    world.submit("00000000000000e1", [(make_step(1, 8), StepPlan(0.5))])
    while not server.last_end:
        world.run_for(0.001)
    planner_server = world.planner.state.servers[server.name]
    while planner_server.acknowledged == 0:
        world.run_for(0.001)
    # The next poll acknowledges the end, and is late.
    world.faults = [(Fault.LATE, 4.0)]
    while world.faults:
        world.run_for(0.001)
    sent_at = world.now
    restart_server(world, server, 0.2)
    world.run_for(2.0)
    world.submit(JOB, [(make_step(1, 8), StepPlan(sent_at + 3.5 - world.now))])
    while not server.runs:
        world.run_for(0.01)
    # The server does not answer while its run ends.
    world.run_for(sent_at + 3.3 - world.now)
    world.planner.cut.add(server.name)
    world.run_for(sent_at + 4.5 - world.now)
    world.planner.cut.clear()
    world.run_for(10.0)
    assert world.violations == []
