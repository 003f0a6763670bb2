"""Guaranteed work that keeps other accounts from their guaranteed cells."""

from dataclasses import dataclass

from hypothesis.strategies import SearchStrategy

from cardamomdyke.placement.excess import find_excess_gangs, mark_excess
from cardamomdyke.placement.guarantees import find_missing_cells
from cardamomdyke.placement.plan import PlacedGang, PoolState
from tests.placement.pools import make_gang, make_guarantee, make_pool
from tests.placement.test_plan_histories import PoolHistory

NOW = 100.0
RESTART_SECONDS = 5.0


@dataclass(frozen=True)
class RecordedServer:
    """Stands in for hypothesis's data object and returns the recorded server."""

    name: str

    def draw(self, strategy: SearchStrategy[str]) -> str:
        """Return the recorded server instead of a drawn one."""
        return self.name


def find_excess(state: PoolState) -> frozenset[str]:
    """Return the gangs that do not fit in the guarantees."""
    return find_excess_gangs(state, NOW, RESTART_SECONDS)


def make_work(job_id: str, account: str, server: str, age: float = 0.0) -> PlacedGang:
    """Return guaranteed work on the first accelerator of a backend server."""
    return make_gang(
        job_id, account, [(server, [0])], False, checkpoint_age_seconds=age
    )


def test_accounts_reclaim_their_servers_after_a_lost_one_returned() -> None:
    """Guards against guaranteed work beyond a guarantee, which is never preempted.

    The first job ran on on a lost server, so the second one started within the same
    guarantee. Once the server was back, `a` held two of three servers and `b` could
    not reclaim its second one.
    """
    history = PoolHistory()
    history.open_pool(
        layout=[[8, 8, 8]],
        rows=[make_guarantee("b", "server", 2), make_guarantee("a", "server", 1)],
    )
    shape = {"size": 1, "gang": 1, "adjacency": "none", "urgent": False}
    history.submit(account="a", **shape)
    history.lose_server(data=RecordedServer("r0s0"), runs_on=True)
    history.submit(account="a", **shape)
    history.return_server(data=RecordedServer("r0s0"))
    assert [gang.borrowed for gang in history.state.placed] == [False, False]
    history.hold_guarantees()
    history.reclaim()


def test_work_whose_stop_loses_the_least_is_borrowed() -> None:
    """Guards against stops that lose more work than a reclaim needs."""
    rows = make_guarantee("a", "server", 1), make_guarantee("b", "server", 2)
    pool = make_pool([[8, 8, 8]], *rows)
    placed = (
        make_work("recent", "a", "r0s0", age=1.0),
        make_work("old", "a", "r0s1", age=60.0),
        make_work("other", "b", "r0s2"),
    )
    assert find_excess(PoolState(pool, (), placed)) == {"recent"}


def test_small_cells_spread_over_servers_do_not_keep_a_whole_one() -> None:
    """Guards against work within its guarantee that splits a server of another account.

    Each job runs in a cell of `a`, but they leave only one server for the two of `b`.
    """
    rows = make_guarantee("a", "accelerators", 2, 4), make_guarantee("b", "server", 2)
    pool = make_pool([[8, 8, 8]], *rows)
    placed = make_work("1", "a", "r0s0"), make_work("2", "a", "r0s1")
    state = PoolState(pool, (), placed)
    marked = mark_excess(state, NOW, RESTART_SECONDS)
    assert [gang.borrowed for gang in marked.placed] == [False, True]
    assert not find_missing_cells(pool, marked.placed)


def test_accounts_do_not_share_a_guaranteed_server() -> None:
    """Guards against two accounts that are guaranteed work in the same whole server.

    Neither can use all of it, and each could claim a further server beside it.
    """
    rows = make_guarantee("a", "server", 1), make_guarantee("b", "server", 1)
    pool = make_pool([[8, 8, 8]], *rows)
    other = make_gang("2", "b", [("r0s0", [1])], False, checkpoint_age_seconds=60.0)
    placed = make_work("1", "a", "r0s0"), other
    assert find_excess(PoolState(pool, (), placed)) == {"1"}


def test_work_within_its_guarantee_is_kept_while_servers_are_short() -> None:
    """Guards against guaranteed work that is stopped because capacity was lost."""
    rows = make_guarantee("a", "server", 1), make_guarantee("b", "server", 2)
    pool = make_pool([[8, 8, 8]], *rows)
    placed = make_work("1", "a", "r0s0"), make_work("2", "b", "r0s1")
    lost = frozenset({"r0s2"})
    assert find_excess(PoolState(pool, (), placed, lost)) == frozenset()
    beyond = (*placed, make_work("3", "a", "r0s1"))
    assert find_excess(PoolState(pool, (), beyond, lost)) == {"3"}


def test_borrowed_work_is_guaranteed_again_once_it_fits() -> None:
    """Guards against work that stays preemptible after its account has a free cell."""
    rows = make_guarantee("a", "server", 1), make_guarantee("b", "server", 2)
    pool = make_pool([[8, 8, 8]], *rows)
    first, second = make_work("1", "a", "r0s0"), make_work("2", "a", "r0s1")
    assert find_excess(PoolState(pool, (), (first, second))) == {"2"}
    assert find_excess(PoolState(pool, (), (second,))) == frozenset()
    lost = frozenset({"r0s0"})
    assert find_excess(PoolState(pool, (), (first, second), lost)) == frozenset()
