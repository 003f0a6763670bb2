"""Planners whose calls are fenced by a later epoch while their job is queued."""

from dataclasses import replace

from cardamomdyke.gangs.adoption import Verdict, classify_members
from cardamomdyke.gangs.machine import is_placeable, step
from cardamomdyke.gangs.state import (
    Adopted,
    ClaimAnswered,
    ClaimAnswerKind,
    Gang,
    Phase,
    ReleaseFenced,
    RequestClaim,
    Stage,
    Superseded,
    SuspectServersCleared,
    Ticked,
)
from cardamomdyke.model.jobs import JobState, MemberPlacement
from tests.gangs.model import JOB, Fault, MessageFault, World
from tests.gangs.test_machine import begin, run_to
from tests.gangs.test_machine_histories import GangHistories

PLAIN = MessageFault(Fault.NONE)
LOST_ANSWER = MessageFault(Fault.LOSE_ANSWER)
DEATH = MessageFault(Fault.DIE)


def test_job_of_a_fenced_planner_ends() -> None:
    """Guards against a queued job that waits without end for suspect servers.

    A planner took the claim, a frozen one took later epochs, set the fences of the
    suspect servers and died. The first one's releases were refused for ever.
    """
    histories = GangHistories()
    faults = [
        PLAIN,
        LOST_ANSWER,
        DEATH,
        DEATH,
        PLAIN,
        LOST_ANSWER,
        MessageFault(Fault.FREEZE, 1.7),
        PLAIN,
        PLAIN,
        MessageFault(Fault.DUPLICATE, 9.0),
        PLAIN,
        PLAIN,
        DEATH,
        PLAIN,
        MessageFault(Fault.FREEZE, 2.6),
    ]
    histories.begin(3, True, 4.0, faults, 5.0)
    histories.take_over(dies=False)
    histories.wait(0.4)
    histories.preempt()
    histories.take_over(dies=True)
    histories.preempt()
    histories.take_over(dies=False)
    histories.preempt()
    histories.wait(2.5)
    histories.wait(1.0)
    histories.wait(2.5)
    histories.preempt()
    histories.teardown()


def end_members(world: World) -> None:
    """End all members that run, without a word to their planner."""
    for backend in world.backends.values():
        for task in backend.tasks.values():
            if task.state == "running":
                backend._end_task(task, "stopped", world.now)


def check_finished_once(world: World) -> None:
    """Check that the job has finished, in one whole attempt, and holds nothing."""
    assert world.ended is not None and world.ended.ending is not None
    assert world.ended.ending.state is JobState.FINISHED
    finished = [run for run in world.runs.values() if run.state == "finished"]
    assert {run.member for run in finished} == set(range(world.size))
    assert len({run.epoch for run in finished}) == 1 and len(finished) == world.size
    tasks = [t for b in world.backends.values() for t in b.tasks.values()]
    assert all(task.state not in ("reserved", "running") for task in tasks)


def test_job_ends_after_the_claim_home_lost_its_claim() -> None:
    """Guards against a new planner whose first epoch is below the servers' fences."""
    world, planner = begin()
    run_to(world, planner, Phase.STARTING)
    planner.alive = False
    world.home.claims.clear()
    later = world.add_planner(fresh=False)
    world.run_until(world.now + 60.0)
    assert later.gang is not None
    check_finished_once(world)


def test_job_ends_after_adoptions_without_the_claim_home() -> None:
    """Guards against fences above the claim, which adoption alone has raised."""
    world, planner = begin(repeatable=True)
    run_to(world, planner, Phase.RUNNING)
    for _ in range(2):
        planner.alive = False
        planner = world.add_planner(fresh=False)
        # Its claim call is lost; both renewals of the extension arrive.
        world.faults.append(MessageFault(Fault.LOSE_REQUEST))
        run_to(world, planner, Phase.RUNNING)
    planner.alive = False
    end_members(world)
    claimed = world.home.claims[JOB]["epoch"]
    assert max(
        fence for b in world.backends.values() for fence in b.fences.values()
    ) > (
        claimed + 1,
        "",
    )
    world.add_planner(fresh=False)
    world.run_until(world.now + 60.0)
    check_finished_once(world)


def make_fenced_gang(now: float) -> Gang:
    """Return a gang of a takeover whose releases a suspect server has refused."""
    gang = Gang("gent.job", 2, False, "vm3:1", epoch=3, suspect_servers=("a", "b"))
    gang, actions = step(gang, ReleaseFenced(3), now)
    assert actions == (RequestClaim(4, Stage.STARTING, (), take=True),)
    return gang


def test_fenced_planner_ends_its_term_when_another_took_the_claim() -> None:
    """Guards against a planner that takes a job back from one that may start it."""
    gang = make_fenced_gang(50.0)
    other = ClaimAnswered(ClaimAnswerKind.OTHER, 5, "vm2:1", Stage.STARTING, ("c",))
    gang, actions = step(gang, other, 50.1)
    assert actions == (Superseded(),)
    assert gang.phase is Phase.ENDED and gang.ending is None


def test_fenced_planner_reads_all_servers_before_its_next_start() -> None:
    """Guards against a start beside a planner whose epoch the claim home lost."""
    gang = make_fenced_gang(50.0)
    early, _ = step(gang, SuspectServersCleared(), 50.1)
    assert early.suspect_servers
    gang, _ = step(gang, ClaimAnswered(ClaimAnswerKind.HELD, 4, sent_at=50.0), 50.1)
    assert (gang.epoch, gang.fenced, gang.unknown_history) == (4, False, True)
    early, _ = step(gang, SuspectServersCleared(), 54.0)
    assert not is_placeable(early, 54.0)
    late, _ = step(gang, SuspectServersCleared(), 54.1)
    assert is_placeable(late, 54.1)


def test_planner_whose_claim_home_lost_all_claims_waits_before_its_next_start() -> None:
    """Guards against a start while calls of the forgotten planner may still arrive."""
    gang = Gang("gent.job", 2, False, "vm3:1", epoch=1, unknown_history=True)
    gang, _ = step(gang, ReleaseFenced(1), 50.0)
    gang, _ = step(gang, ClaimAnswered(ClaimAnswerKind.HELD, 2, sent_at=50.0), 50.1)
    early, _ = step(gang, SuspectServersCleared(), 54.0)
    assert not is_placeable(early, 54.0)


def test_fenced_planner_waits_for_its_claim_unless_it_adopts_the_gang() -> None:
    """Guards against releases with a refused epoch, and a fence kept for too long."""
    gang = make_fenced_gang(50.0)
    assert classify_members(gang, (), complete=True, now=60.0) is Verdict.WAIT
    placements = (MemberPlacement("a", (0,)), MemberPlacement("b", (0,)))
    gang, _ = step(gang, Adopted(placements, False, 5), 60.0)
    assert (gang.phase, gang.epoch, gang.fenced) == (Phase.EXTENDING, 6, False)


def test_fenced_planner_asks_a_silent_claim_home_again() -> None:
    """Guards against a lost answer after which the planner waits without end."""
    gang = make_fenced_gang(50.0)
    gang, actions = step(gang, ClaimAnswered(ClaimAnswerKind.UNREACHABLE), 51.0)
    assert actions == ()
    _, actions = step(gang, Ticked(), 51.3)
    assert actions == (RequestClaim(4, Stage.STARTING, (), take=True),)


def test_refusal_of_an_earlier_epoch_changes_nothing() -> None:
    """Guards against a second take for a release that was sent before the first."""
    gang = make_fenced_gang(50.0)
    gang, _ = step(gang, ClaimAnswered(ClaimAnswerKind.HELD, 4, sent_at=50.0), 50.1)
    assert step(gang, ReleaseFenced(3), 50.2) == (gang, ())


def test_fenced_planner_keeps_the_mark_of_an_extension() -> None:
    """Guards against a claim that lets a later planner repeat work that counted."""
    gang = Gang("gent.job", 1, False, "vm3:1", epoch=3, suspect_servers=("a",))
    gang = replace(gang, was_extended=True)
    _, (action,) = step(gang, ReleaseFenced(3), 50.0)
    assert action == RequestClaim(4, Stage.EXTENDING, (), take=True)


def test_successor_of_a_fenced_planner_reads_all_servers() -> None:
    """Guards against a start by a claim that names too few suspect servers.

    The planner whose epoch the claim home lost may have started members on servers that
    only inventories show.
    """
    gang, _ = step(Gang("gent.job", 2, False, "vm4:1"), Ticked(), 60.0)
    other = ClaimAnswered(ClaimAnswerKind.OTHER, 4, "vm3:1", Stage.STARTING, ())
    gang, (action,) = step(gang, other, 60.1)
    assert action == RequestClaim(5, Stage.STARTING, (), take=True)
    gang, _ = step(gang, ClaimAnswered(ClaimAnswerKind.HELD, 5, sent_at=60.1), 60.2)
    assert gang.unknown_history
    assert not is_placeable(gang, 70.0)
