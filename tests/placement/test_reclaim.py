"""Recorded cases in which one round of stops did not free guaranteed cells."""

from dataclasses import dataclass

from hypothesis.strategies import SearchStrategy

from cardamomdyke.placement.plan import PlacedGang, PoolState, QueuedJob, plan_pool
from cardamomdyke.placement.policy import make_default_policy
from tests.placement.pools import (
    make_gang,
    make_guarantee,
    make_pool,
    make_specification,
)
from tests.placement.test_plan_histories import (
    PoolHistory,
    apply_plan,
    requeue_gangs,
)


@dataclass(frozen=True)
class RecordedChoice:
    """Stands in for hypothesis's data object and returns the recorded gang."""

    gang: PlacedGang

    def draw(self, strategy: SearchStrategy[PlacedGang]) -> PlacedGang:
        """Return the recorded gang instead of a drawn one."""
        return self.gang


def choose_gang(history: PoolHistory, job_id: str) -> RecordedChoice:
    """Return the choice of a placed gang by its job id."""
    return RecordedChoice(next(g for g in history.state.placed if g.job_id == job_id))


def submit(
    history: PoolHistory,
    account: str,
    gang: int,
    size: int,
    adjacency: str = "none",
    urgent: bool = False,
) -> None:
    """Queue a job, plan, and check the guarantees."""
    history.submit(
        account=account, size=size, gang=gang, adjacency=adjacency, urgent=urgent
    )
    history.hold_guarantees()


def test_second_plan_needs_no_further_stop_after_starts_beside_a_reclaim() -> None:
    """Guards against a guaranteed job that has to wait for a second round of stops.

    The first plan started two jobs beside the reclaimed places. In the second one
    they made a place under another borrowed gang the tightest, and it was preempted
    although the reclaimed accelerators were free.
    """
    history = PoolHistory()
    history.open_pool(
        layout=[[8, 6, 4], [8, 1]],
        rows=[
            make_guarantee("b", "server", 1),
            make_guarantee("b", "server", 2),
            make_guarantee("b", "server", 2),
            make_guarantee("a", "server", 2),
            make_guarantee("c", "server", 3),
        ],
    )
    submit(history, "b", gang=2, size=1, adjacency="server")
    history.finish(data=choose_gang(history, "job-1"))
    history.wait(seconds=70.0)
    submit(history, "b", gang=1, size=4, adjacency="rack", urgent=True)
    history.reclaim()
    history.report_usage(data=choose_gang(history, "job-2"), age=0.0)
    history.finish(data=choose_gang(history, "job-2"))
    submit(history, "a", gang=4, size=1)
    history.report_usage(data=choose_gang(history, "job-3"), age=5.0)
    history.reclaim()
    history.wait(seconds=0.1)
    submit(history, "c", gang=1, size=1)
    history.reclaim()


def test_work_lent_beside_a_reclaim_does_not_move_the_reclaimed_cells() -> None:
    """Guards against borrowed starts that lead the next plan to other victims.

    The job "lent" made its server expensive for the account's third cell, which the
    next plan therefore placed on a server where "left" ran on.
    """
    pool = make_pool([[6, 6, 3], [2]], make_guarantee("b", "server", 3))
    placed = (
        make_gang("spread", "c", [("r1s0", [0]), ("r1s0", [1]), ("r0s0", [4])], True),
        make_gang("small", "c", [("r0s0", [2, 3])], True),
        make_gang("ending", "c", [("r0s1", [2])], True, stopping=1),
        make_gang("own", "b", [("r0s2", [0, 1, 2])], False),
        make_gang("left", "c", [("r0s1", [3, 4, 5])], True),
    )
    queued = (
        QueuedJob("lent", make_specification("a", 1, 2, "server"), 140.0),
        QueuedJob("first", make_specification("b", 2, urgent=True), 0.0),
        QueuedJob("second", make_specification("b", 2, urgent=True), 0.0),
    )
    state = PoolState(pool, queued, placed)
    policy = make_default_policy()
    first = plan_pool(policy, state, 140.0)
    state = apply_plan(state, first, 140.0)
    stopped = {gang.job_id for gang in state.placed if gang.stopping}
    state = requeue_gangs(state, stopped, 141.0)
    second = plan_pool(policy, state, 141.0)
    assert second.preemptions == ()
    started = apply_plan(state, second, 141.0).placed
    guaranteed = {gang.job_id for gang in started if not gang.borrowed}
    assert guaranteed == {"own", "first", "second"}
