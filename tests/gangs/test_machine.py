"""Histories of one gang that random tests rarely find."""

import math
from dataclasses import replace

import pytest

from cardamomdyke.gangs.machine import is_placeable, step
from cardamomdyke.gangs.state import (
    CallMember,
    CancelRequested,
    ClaimAnswered,
    ClaimAnswerKind,
    Gang,
    Phase,
    PreemptionRequested,
    RequestClaim,
    Stage,
    SuspectServersCleared,
    Ticked,
)
from cardamomdyke.model.jobs import JobState
from cardamomdyke_standins.gang_history import list_partial_seconds
from tests.gangs.model import Fault, MessageFault, Planner, World

LONG_SECONDS = 25.0
# Copied from the design page, so that a change of the code's constants is noticed.
CLAIM_VALID_SECONDS = 2.0
MAX_SEND_DELAY_SECONDS = 0.5


def begin(size: int = 2, repeatable: bool = False) -> tuple[World, Planner]:
    world = World(size, repeatable, LONG_SECONDS)
    return world, world.add_planner(fresh=True)


def run_to(world: World, planner: Planner, phase: Phase) -> Gang:
    for _ in range(5000):
        world.run_until(world.now + 0.001)
        if planner.gang is not None and planner.gang.phase is phase:
            return planner.gang
    raise AssertionError(f"never {phase}: {planner}")


def list_counted(world: World) -> set[int]:
    return {r.epoch for r in world.runs.values() if r.confirmed_at < math.inf}


def test_planner_that_died_after_its_releases_does_not_cause_a_second_run() -> None:
    """Guards against a later planner that finds no trace of an extended gang."""
    world, planner = begin()
    run_to(world, planner, Phase.RUNNING)
    task = next(t for b in world.backends.values() for t in b.tasks.values())
    for backend in world.backends.values():
        if task in backend.tasks.values():
            backend._end_task(task, "stopped", world.now)
    # Two renewals arrive; the call that marks the end at the claim home is lost.
    world.faults.extend([MessageFault(Fault.NONE)] * 2)
    world.faults.append(MessageFault(Fault.LOSE_REQUEST))
    run_to(world, planner, Phase.STOPPING)
    world.run_until(world.now + 0.007)
    assert not any(backend.tasks for backend in world.backends.values())
    planner.alive = False
    world.add_planner(fresh=False)
    world.run_until(world.now + 40.0)
    assert world.ended is not None and world.ended.ending is not None
    assert world.ended.ending.state is JobState.NOT_KNOWN
    assert len(list_counted(world)) == 1


def test_planner_that_resumes_before_its_extension_extends_nothing() -> None:
    """Guards against an extension that a frozen planner sends when it resumes."""
    world, planner = begin()
    run_to(world, planner, Phase.STARTING)
    # Both starts are answered, then the planner freezes as it marks the extension.
    world.faults.append(MessageFault(Fault.FREEZE, 30.0))
    run_to(world, planner, Phase.MARKING)
    later = world.add_planner(fresh=False)
    world.run_until(world.now + 60.0)
    assert planner.gang is None
    assert later.gang is not None and later.gang.ending is not None
    assert later.gang.ending.state is JobState.FINISHED
    assert len(list_counted(world)) == 1


@pytest.mark.parametrize("late", [0.9, 1.7, 1.95])
def test_late_start_and_dead_planner_stay_within_a_start_lease(late: float) -> None:
    """Guards against a member that runs alone for longer than its start lease."""
    world, planner = begin()
    run_to(world, planner, Phase.RESERVING)
    # The first two answers only bring tickets; then the starts are sent.
    world.faults.extend(
        [
            MessageFault(Fault.NONE),
            MessageFault(Fault.NONE),
            MessageFault(Fault.LATE, late),
            MessageFault(Fault.DIE),
        ]
    )
    world.run_until(world.now + 10.0)
    assert not planner.alive
    times = list_partial_seconds(list(world.runs.values()), 2, world.now)
    assert len(times) == 2
    assert max(times) <= 2.0 + 1e-6


def test_duplicated_start_after_a_release_stays_within_a_start_lease() -> None:
    """Guards against a duplicated reservation and start that run on or count."""
    world, planner = begin(repeatable=True)
    run_to(world, planner, Phase.RESERVING)
    duplicated = MessageFault(Fault.DUPLICATE, 1.7)
    world.faults.extend([duplicated, MessageFault(Fault.NONE)] * 2)
    run_to(world, planner, Phase.EXTENDING)
    (task,) = world.backends["b"].tasks.values()
    world.backends["b"]._end_task(task, "stopped", world.now)
    world.run_until(world.now + 6.0)
    (late,) = [run for run in world.runs.values() if run.started_at > 101.0]
    assert (late.epoch, late.confirmed_at) == (2, math.inf)
    assert late.ended_at - late.started_at <= 2.0 + 1e-6


def test_preempted_gang_that_is_not_repeatable_needs_a_complete_checkpoint() -> None:
    """Guards against repeated work after a checkpoint that was not confirmed."""
    world, planner = begin()
    run_to(world, planner, Phase.RUNNING)
    world.faults.extend([MessageFault(Fault.LOSE_REQUEST)] * 12)
    world.feed(planner, PreemptionRequested())
    world.run_until(world.now + 30.0)
    assert world.ended is not None and world.ended.ending is not None
    assert world.ended.ending.state is JobState.NOT_KNOWN
    assert len(list_counted(world)) == 1


def test_answers_are_kept_until_a_later_planner_knows_the_end() -> None:
    """Guards against a second run of a gang that finished as its planner died."""
    world, planner = begin(repeatable=True)
    run_to(world, planner, Phase.RUNNING)
    world.run_until(world.now + LONG_SECONDS - 2.0)
    run_to(world, planner, Phase.STOPPING)
    world.faults.extend([MessageFault(Fault.LOSE_REQUEST)] * 2)
    world.run_until(world.now + 3.0)
    planner.alive = False
    world.add_planner(fresh=False)
    world.run_until(world.now + 20.0)
    assert world.ended is not None and world.ended.ending is not None
    assert world.ended.ending.state is JobState.FINISHED
    assert len(list_counted(world)) == 1


def test_lost_answers_are_found_again_in_the_same_attempt() -> None:
    """Guards against a new attempt, or a stop, for each lost answer."""
    world, planner = begin()
    run_to(world, planner, Phase.RESERVING)
    lost = MessageFault(Fault.LOSE_ANSWER)
    kept = MessageFault(Fault.NONE)
    # Two calls without tickets, two reservations (one is sent again), two starts.
    world.faults.extend([kept, kept, lost, kept, kept, kept, kept])
    gang = run_to(world, planner, Phase.RUNNING)
    world.faults.extend([lost, lost])
    world.run_until(world.now + 8.0)
    assert planner.gang is not None and planner.gang.phase is Phase.RUNNING
    assert gang.attempts == 0 and len(world.runs) == 2


def test_extension_that_would_come_too_late_is_not_sent() -> None:
    """Guards against a job that is lost because only a part was extended."""
    world, planner = begin()
    run_to(world, planner, Phase.STARTING)
    # Both starts were sent; the mark of the extension follows.
    world.faults.append(MessageFault(Fault.LOSE_REQUEST))
    world.faults.append(MessageFault(Fault.LATE, 0.9))
    world.run_until(world.now + 60.0)
    assert world.ended is not None and world.ended.ending is not None
    assert world.ended.ending.state is JobState.FINISHED
    assert len(list_counted(world)) == 1


def test_others_are_not_renewed_while_a_member_is_silent() -> None:
    """Guards against members that outlive a lost one by more than run lease and
    renewal period."""
    world, planner = begin()
    run_to(world, planner, Phase.RUNNING)
    (task,) = world.backends["b"].tasks.values()
    world.backends["b"]._end_task(task, "stopped", world.now)
    world.cut.add("b")
    world.run_until(world.now + 9.5)
    world.cut.add("a")
    world.run_until(world.now + 30.0)
    times = list_partial_seconds(list(world.runs.values()), 2, world.now)
    assert max(times) <= 13.0 + 0.1, times


def test_cancelled_gang_holds_nothing_when_releases_are_lost() -> None:
    """Guards against cancelled jobs that wait without end for lost answers."""
    world, planner = begin(4)
    run_to(world, planner, Phase.RUNNING)
    world.cut.update("abc")
    world.feed(planner, CancelRequested())
    world.feed(planner, CancelRequested())
    assert planner.gang is not None and planner.gang.ending is not None
    assert planner.gang.ending.state is JobState.CANCELLED
    world.run_until(world.now + 16.0)
    assert planner.gang.phase is Phase.ENDED
    held = [t for b in world.backends.values() for t in b.tasks.values()]
    assert all(task.state == "stopped" for task in held)


def test_job_that_fails_by_itself_ends_after_three_servers() -> None:
    """Guards against a faulty job that is restarted without end."""
    world, planner = begin(1, repeatable=True)
    for backend in world.backends.values():
        backend.fail_tasks = True
    world.run_until(world.now + 30.0)
    assert world.ended is not None and world.ended.ending is not None
    problem = world.ended.ending.problem
    assert problem is not None and problem.kind == "job_failed"
    assert "task failed" in problem.message
    assert len(world.runs) == 3


def test_deadline_in_the_queue_is_not_run() -> None:
    """Guards against a job that starts after its deadline."""
    gang = Gang("gent.job", 1, False, "vm:1", deadline_at=10.0, epoch=1)
    gang, actions = step(gang, Ticked(), 11.0)
    assert gang.ending is not None and gang.ending.state is JobState.NOT_RUN
    assert all(not hasattr(action, "member") for action in actions)


def list_send_deadlines(gang: Gang, now: float) -> list[float]:
    _, actions = step(gang, Ticked(), now)
    return [action.not_after for action in actions if isinstance(action, CallMember)]


def test_old_claim_is_validated_before_any_start() -> None:
    """Guards against starts that a planner sends by an old claim when it resumes."""
    world, planner = begin()
    gang = run_to(world, planner, Phase.RESERVING)
    now = gang.claimed_at + CLAIM_VALID_SECONDS
    early = now - 1.0
    answers = [replace(m, pending=False) for m in gang.members]
    gang = replace(gang, members=tuple(answers), phase_entered_at=now)
    assert list_send_deadlines(gang, early) == [early + MAX_SEND_DELAY_SECONDS] * 2
    assert list_send_deadlines(gang, now) == [now] * 2
    _, too_late = step(gang, Ticked(), now + 0.01)
    assert [type(action) for action in too_late] == [RequestClaim]


def test_takeover_waits_before_its_first_start() -> None:
    """Guards against a start while a frozen planner's calls may still arrive.

    Inventories cannot replace the wait: a server without a table row has none.
    """
    gang, _ = step(Gang("gent.job", 2, False, "vm2:1"), Ticked(), 50.0)
    other = ClaimAnswered(ClaimAnswerKind.OTHER, 4, "vm1:1", Stage.STARTING, ("w1",))
    gang, _ = step(gang, other, 50.0)
    held = ClaimAnswered(ClaimAnswerKind.HELD, 5, sent_at=50.0)
    gang, _ = step(gang, held, 50.1)
    early, _ = step(gang, SuspectServersCleared(), 53.9)
    assert not is_placeable(early, 53.9)
    late, _ = step(gang, SuspectServersCleared(), 54.0)
    assert is_placeable(late, 54.0)
