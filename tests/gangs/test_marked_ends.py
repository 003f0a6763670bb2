"""Ends that a planner marks after another planner has marked one and died."""

from dataclasses import replace

import pytest

from cardamomdyke.gangs.machine import step
from cardamomdyke.gangs.state import (
    ClaimAnswered,
    ClaimAnswerKind,
    Ending,
    Gang,
    Phase,
    RequestClaim,
    Stage,
    Superseded,
)
from cardamomdyke.model.jobs import JobState
from tests.gangs.model import Fault, MessageFault
from tests.gangs.test_machine_histories import GangHistories

PLAIN = MessageFault(Fault.NONE)
LOST_REQUEST = MessageFault(Fault.LOSE_REQUEST)
LOST_ANSWER = MessageFault(Fault.LOSE_ANSWER)
DEATH = MessageFault(Fault.DIE)


def test_finished_gang_whose_end_another_planner_marked_ends() -> None:
    """Guards against a planner that drops a finished gang for a claim that says ended.

    A planner marked a cancellation in the claim and died before its releases; the gang
    finished, and the planner that adopted it dropped it for that mark.
    """
    histories = GangHistories()
    faults = [
        PLAIN,
        PLAIN,
        MessageFault(Fault.LATE, 9.0),
        MessageFault(Fault.FREEZE, 1.7),
        PLAIN,
        PLAIN,
        LOST_ANSWER,
        PLAIN,
        LOST_ANSWER,
        MessageFault(Fault.DUPLICATE, 2.6),
    ]
    later_faults = [
        MessageFault(Fault.FREEZE, 5.0),
        LOST_ANSWER,
        LOST_REQUEST,
        DEATH,
        LOST_ANSWER,
        LOST_ANSWER,
        LOST_REQUEST,
        LOST_ANSWER,
    ]
    histories.begin(1, True, 0.5, faults, 5.0)
    histories.wait(2.5)
    histories.wait(0.1)
    histories.kill_members("b")
    histories.wait(0.1)
    histories.break_messages(later_faults)
    histories.preempt()
    histories.preempt()
    histories.take_over(dies=True)
    histories.wait(0.4)
    histories.break_messages([PLAIN, MessageFault(Fault.FREEZE, 0.9), PLAIN, DEATH])
    histories.cancel()
    histories.break_messages(later_faults)
    histories.cancel()
    histories.teardown()


@pytest.mark.parametrize(
    ("state", "stage", "ended"),
    [
        (JobState.FINISHED, Stage.ENDED, JobState.FINISHED),
        (JobState.CANCELLED, Stage.ENDED, JobState.CANCELLED),
        (JobState.FINISHED, Stage.STARTING, None),
        (JobState.NOT_RUN, Stage.ENDED, None),
        (JobState.NOT_KNOWN, Stage.ENDED, None),
    ],
)
def test_mark_of_another_planner_proves_no_other_end(
    state: JobState, stage: Stage, ended: JobState | None
) -> None:
    """Guards against "not run" for a job that ended under another planner."""
    gang = Gang("gent.job", 1, False, "vm2:1", epoch=5, phase=Phase.STOPPING)
    claim = RequestClaim(6, Stage.ENDED, (), take=True)
    gang = replace(gang, ending=Ending(state), pending_claim=claim)
    other = ClaimAnswered(ClaimAnswerKind.OTHER, 6, "vm1:1", stage, ())
    gang, actions = step(gang, other, 50.0)
    assert gang.phase is Phase.ENDED
    assert (gang.ending.state if gang.ending else None) is ended
    assert actions == (() if ended else (Superseded(),))
