"""Random histories of a pool under the cell policy, on a simulated clock."""

from dataclasses import replace

from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from cardamomdyke.model.jobs import Adjacency, JobSpecification
from cardamomdyke.model.tables import CellLevel, Guarantee, Pool
from cardamomdyke.placement.excess import mark_excess
from cardamomdyke.placement.guarantees import (
    find_missing_cells,
    find_missing_guarantees,
)
from cardamomdyke.placement.plan import (
    PlacedGang,
    PoolPlan,
    PoolState,
    QueuedJob,
    plan_pool,
)
from cardamomdyke.placement.policy import make_default_policy
from tests.placement.pools import (
    list_places,
    make_guarantee,
    make_pool,
    make_specification,
)

HISTORIES = 1000
LOST_SERVER_HISTORIES = 300
EDIT_HISTORIES = 300
STEPS = 25
ACCOUNTS = ("a", "b", "c")
LAYOUTS = (
    [[8, 8, 8]],
    [[8, 8], [8, 8]],
    [[1, 1, 1, 1], [1, 1, 1, 1]],
    [[8, 6, 4], [8, 1]],
    [[4, 4], [4, 3]],
)
ROWS = st.builds(
    make_guarantee,
    st.sampled_from(ACCOUNTS),
    st.sampled_from(["server", "server", "accelerators", "rack"]),
    st.integers(1, 3),
    st.sampled_from([1, 2, 4, 8]),
)


def check_plan(state: PoolState, plan: PoolPlan) -> None:
    """Check that starts fit and only borrowed gangs are preempted."""
    servers = {s.name: s for s in state.pool.servers}
    held = {
        (p.server, i)
        for gang in state.placed
        for p in gang.placements
        for i in p.accelerators
    }
    queued = {job.job_id: job.specification for job in state.queued}
    for start in plan.starts:
        specification = queued.pop(start.job_id)
        assert len(start.placements) == specification.gang_size
        for placement in start.placements:
            assert placement.server not in state.unusable
            size = specification.accelerators_per_task
            assert len(set(placement.accelerators)) == size
            for index in placement.accelerators:
                assert 0 <= index < servers[placement.server].accelerators
                assert (placement.server, index) not in held
                held.add((placement.server, index))
        names = {placement.server for placement in start.placements}
        if specification.adjacency is Adjacency.SERVER:
            assert len(names) == 1
        if specification.adjacency is Adjacency.RACK:
            assert len({servers[name].rack for name in names}) == 1
    victims = [preemption.job_id for preemption in plan.preemptions]
    assert len(set(victims)) == len(victims)
    borrowed = {g.job_id for g in state.placed if g.borrowed and not g.stopping}
    assert set(victims) <= borrowed


def apply_plan(state: PoolState, plan: PoolPlan, now: float) -> PoolState:
    """Return the state after a plan was carried out."""
    queued = {job.job_id: job for job in state.queued}
    victims = {preemption.job_id for preemption in plan.preemptions}
    placed = [
        replace(g, stopping=True) if g.job_id in victims else g for g in state.placed
    ]
    for start in plan.starts:
        job = queued.pop(start.job_id)
        placed.append(
            PlacedGang(
                job.job_id, job.specification, start.placements, start.borrowed, now
            )
        )
    return replace(state, queued=tuple(queued.values()), placed=tuple(placed))


def requeue_gangs(state: PoolState, ended: set[str], now: float) -> PoolState:
    """Return the state after some gangs were queued again."""
    back = tuple(
        QueuedJob(g.job_id, g.specification, g.started_at, now)
        for g in state.placed
        if g.job_id in ended
    )
    kept = tuple(g for g in state.placed if g.job_id not in ended)
    return replace(state, queued=state.queued + back, placed=kept)


def count_missing(state: PoolState) -> int:
    """Count the guaranteed cells that do not fit."""
    missing = find_missing_cells(state.pool, state.placed, state.unusable)
    return sum(cells.count for cells in missing)


def make_probe(pool: Pool, row: Guarantee) -> JobSpecification:
    """Return an urgent job that needs one whole guaranteed cell."""
    account = row.client_account
    if row.level is CellLevel.ACCELERATORS:
        return make_specification(account, row.accelerators, urgent=True)
    sizes = [server.accelerators for server in pool.servers]
    if row.level is CellLevel.SERVER:
        return make_specification(account, min(sizes), urgent=True)
    racks: dict[str, int] = {}
    for server in pool.servers:
        racks[server.rack] = racks.get(server.rack, 0) + server.accelerators
    return make_specification(account, 1, min(racks.values()), "rack", urgent=True)


def merge_rows(pool: Pool) -> list[Guarantee]:
    """Return one row per client account."""
    counts: dict[str, int] = {}
    for row in pool.guarantees:
        counts[row.client_account] = counts.get(row.client_account, 0) + row.count
    rows = {row.client_account: row for row in pool.guarantees}
    return [replace(row, count=counts[name]) for name, row in rows.items()]


def count_cells_in_use(state: PoolState, row: Guarantee) -> int:
    """Count the account's places that hold its guaranteed work."""
    work = {
        (p.server, i)
        for gang in state.placed
        if not gang.borrowed and gang.specification.client_account == row.client_account
        for p in gang.placements
        if p.server not in state.unusable
        for i in p.accelerators
    }
    return sum(bool(place & work) for place in list_places(state.pool, row))


def find_guaranteed_work(state: PoolState) -> dict[str, set[tuple[str, int]]]:
    """Return the usable accelerators of guaranteed work, by client account."""
    work: dict[str, set[tuple[str, int]]] = {}
    for gang in state.placed:
        held = work.setdefault(gang.specification.client_account, set())
        for placement in gang.placements:
            if not gang.borrowed and placement.server not in state.unusable:
                held.update((placement.server, i) for i in placement.accelerators)
    return work


def exceeds_cells(state: PoolState) -> bool:
    """Return whether guaranteed work is in more cells than its account has, or none."""
    rows = {row.client_account: row for row in merge_rows(state.pool)}
    for account, held in find_guaranteed_work(state).items():
        places = list_places(state.pool, rows[account]) if account in rows else []
        if held - set().union(*places):
            return True
    return any(count_cells_in_use(state, row) > row.count for row in rows.values())


def shares_cells(state: PoolState) -> bool:
    """Return whether accounts have guaranteed work in one server or block cell.

    A rack can be shared by work that was placed while it was not whole.
    """
    work = find_guaranteed_work(state)
    return any(
        place & work.get(row.client_account, set()) and place & held
        for row in merge_rows(state.pool)
        if row.level is not CellLevel.RACK
        for place in list_places(state.pool, row)
        for account, held in work.items()
        if account != row.client_account
    )


def check_excess(state: PoolState, marked: PoolState) -> None:
    """Check that no gang is counted as borrowed that could stay guaranteed work."""
    assert len(marked.placed) == len(state.placed)
    for number, gang in enumerate(state.placed):
        counted = marked.placed[number]
        if counted == gang:
            continue
        assert counted == replace(gang, borrowed=True)
        before, after = marked.placed[:number], marked.placed[number + 1 :]
        kept = replace(marked, placed=(*before, gang, *after))
        adds_missing = count_missing(kept) > count_missing(marked)
        assert adds_missing or exceeds_cells(kept) or shares_cells(kept)


def add_guarantees(pool: Pool, rows: list[Guarantee]) -> Pool:
    """Return the pool with those of the rows that fit together."""
    for row in rows:
        size = row.accelerators if row.level is CellLevel.ACCELERATORS else 0
        row = replace(row, accelerators=size)
        wider = replace(pool, guarantees=(*pool.guarantees, row))
        if not find_missing_guarantees(wider):
            pool = wider
    return pool


class PoolHistory(RuleBasedStateMachine):
    """Random sequences of arrivals, ends, failures and late reports."""

    @initialize(layout=st.sampled_from(LAYOUTS), rows=st.lists(ROWS, max_size=5))
    def open_pool(self, layout: list[list[int]], rows: list[Guarantee]) -> None:
        """Create a pool with the drawn guarantees that fit."""
        pool = add_guarantees(make_pool(layout), rows)
        self.policy = make_default_policy()
        self.state = PoolState(pool, (), ())
        self.now = 100.0
        self.count = 0
        self.may_exceed = False

    @rule(
        account=st.sampled_from(ACCOUNTS),
        size=st.sampled_from([1, 1, 1, 2, 3, 4, 8]),
        gang=st.sampled_from([1, 1, 1, 2, 4, 16]),
        adjacency=st.sampled_from(["none", "server", "rack"]),
        urgent=st.booleans(),
    )
    def submit(
        self, account: str, size: int, gang: int, adjacency: str, urgent: bool
    ) -> None:
        """Queue a job and plan."""
        self.count += 1
        job = QueuedJob(
            f"job-{self.count}",
            make_specification(account, size, gang, adjacency, urgent),
            self.now,
        )
        self.state = replace(self.state, queued=(*self.state.queued, job))
        self.plan()

    @rule()
    def plan(self) -> None:
        """Carry out a plan."""
        self.state = self.carry_out_plan(self.state, self.now)

    def carry_out_plan(self, state: PoolState, now: float) -> PoolState:
        """Return the state after a plan.

        Guards against starts that add missing cells, or that exceed a guarantee and
        would only then count as borrowed.
        """
        marked = self.mark_excess(state, now)
        plan = plan_pool(self.policy, state, now)
        check_plan(marked, plan)
        planned = apply_plan(marked, plan, now)
        assert count_missing(planned) <= count_missing(marked)
        assert not exceeds_cells(planned) and not shares_cells(planned)
        return apply_plan(state, plan, now)

    def mark_excess(self, state: PoolState, now: float) -> PoolState:
        """Return the state as the policy sees it.

        Guards against guaranteed work that is made preemptible without a need. Only
        lost capacity or an edit can lead to work beyond a guarantee.
        """
        marked = mark_excess(state, now, self.policy.restart_seconds)
        assert self.may_exceed or marked == state
        check_excess(state, marked)
        return marked

    @rule(seconds=st.sampled_from([0.1, 1.0, 70.0, 4000.0]))
    def wait(self, seconds: float) -> None:
        """Advance the clock."""
        self.now += seconds

    @precondition(lambda self: self.state.placed)
    @rule(data=st.data())
    def finish(self, data: st.DataObject) -> None:
        """End a gang, finished or cancelled.

        While cells are missing, a larger one can take the freed accelerators and
        leave several smaller ones missing. So the count is only checked if it was 0.
        """
        gang = data.draw(st.sampled_from(self.state.placed))
        marked = self.mark_excess(self.state, self.now)
        kept = tuple(g for g in self.state.placed if g is not gang)
        self.state = replace(self.state, placed=kept)
        left = tuple(g for g in marked.placed if g.job_id != gang.job_id)
        left_missing = count_missing(replace(marked, placed=left))
        assert count_missing(marked) or left_missing == 0

    @precondition(lambda self: any(g.stopping for g in self.state.placed))
    @rule(data=st.data())
    def complete_stop(self, data: st.DataObject) -> None:
        """Stop a preempted gang that ignored its order to checkpoint."""
        stopping = [g.job_id for g in self.state.placed if g.stopping]
        ended = data.draw(st.sampled_from(stopping))
        self.state = requeue_gangs(self.state, {ended}, self.now)

    @precondition(lambda self: self.state.placed)
    @rule(data=st.data(), age=st.sampled_from([0.0, 5.0, 1e6]))
    def report_usage(self, data: st.DataObject, age: float) -> None:
        """Apply a late usage report, with any checkpoint age."""
        late = data.draw(st.sampled_from(self.state.placed))
        placed = tuple(
            replace(g, checkpoint_age_seconds=age) if g is late else g
            for g in self.state.placed
        )
        self.state = replace(self.state, placed=placed)

    @rule(data=st.data(), runs_on=st.booleans())
    def lose_server(self, data: st.DataObject, runs_on: bool) -> None:
        """Make a backend server unusable; with `runs_on`, its gangs keep running."""
        name = data.draw(st.sampled_from([s.name for s in self.state.pool.servers]))
        self.state = replace(self.state, unusable=self.state.unusable | {name})
        self.may_exceed = True
        if not runs_on:
            ended = {
                g.job_id
                for g in self.state.placed
                if any(p.server == name for p in g.placements)
            }
            self.state = requeue_gangs(self.state, ended, self.now)

    @precondition(lambda self: self.state.unusable)
    @rule(data=st.data())
    def return_server(self, data: st.DataObject) -> None:
        """Make a backend server usable again."""
        name = data.draw(st.sampled_from(sorted(self.state.unusable)))
        self.state = replace(self.state, unusable=self.state.unusable - {name})

    @invariant()
    def hold_guarantees(self) -> None:
        """Guards against work in cells that other accounts are guaranteed.

        While the usable servers are too few for all guarantees, cells are missing
        anyway; then no account may have work in more cells than it is guaranteed, or
        in those of others.
        """
        state = self.mark_excess(self.state, self.now)
        assert not exceeds_cells(state) and not shares_cells(state)
        if not find_missing_cells(state.pool, (), state.unusable):
            assert count_missing(state) == 0

    @rule()
    def reclaim(self) -> None:
        """Guards against a guaranteed cell that one round of stops does not free."""
        self.check_reclaim()

    def teardown(self) -> None:
        """Check reclaiming at the end of each history."""
        if hasattr(self, "state"):
            self.check_reclaim()

    def check_reclaim(self) -> None:
        """Check that accounts without missing cells can all claim their unused ones."""
        pool, marked = self.state.pool, self.mark_excess(self.state, self.now)
        missing = find_missing_cells(pool, marked.placed, marked.unusable)
        short = {cells.client_account for cells in missing}
        probes = tuple(
            QueuedJob(
                f"probe-{row.client_account}-{number}", make_probe(pool, row), 0.0
            )
            for row in merge_rows(pool)
            if row.client_account not in short
            for number in range(row.count - count_cells_in_use(marked, row))
        )
        busy = {*ACCOUNTS} - {job.specification.client_account for job in probes}
        others = tuple(
            job for job in self.state.queued if job.specification.client_account in busy
        )
        state = replace(self.state, queued=others + probes)
        state = self.carry_out_plan(state, self.now)
        stopping = {g.job_id for g in state.placed if g.stopping}
        state = requeue_gangs(state, stopping, self.now)
        state = self.carry_out_plan(state, self.now + 1.0)
        placed = self.mark_excess(state, self.now + 1.0).placed
        started = {g.job_id for g in placed if not g.borrowed}
        assert {job.job_id for job in probes} <= started


class EditHistory(PoolHistory):
    """Histories in which operators also edit the guarantees."""

    @rule(rows=st.lists(ROWS, max_size=5))
    def edit_guarantees(self, rows: list[Guarantee]) -> None:
        """Replace all guarantees by those of the rows that fit."""
        pool = replace(self.state.pool, guarantees=())
        self.state = replace(self.state, pool=add_guarantees(pool, rows))
        self.may_exceed = True


class LostServerHistory(PoolHistory):
    """Histories in which jobs often start while others run on on a lost server."""

    @rule(
        data=st.data(),
        account=st.sampled_from(ACCOUNTS),
        size=st.sampled_from([1, 2, 4, 8]),
        jobs=st.integers(1, 3),
    )
    def lose_server_for_a_while(
        self, data: st.DataObject, account: str, size: int, jobs: int
    ) -> None:
        """Lose a backend server, queue jobs, and return a lost server."""
        self.lose_server(data=data, runs_on=True)
        self.hold_guarantees()
        for _ in range(jobs):
            self.submit(account, size, 1, "none", True)
            self.hold_guarantees()
        self.return_server(data=data)


HISTORY_SETTINGS = settings(
    max_examples=HISTORIES,
    stateful_step_count=STEPS,
    deadline=None,
    suppress_health_check=list(HealthCheck),
    database=None,
    # Shrinking a failed history takes minutes; the unshrunk one lists its steps.
    phases=(Phase.generate,),
    report_multiple_bugs=False,
)
PoolHistory.TestCase.settings = HISTORY_SETTINGS
LostServerHistory.TestCase.settings = settings(
    HISTORY_SETTINGS, max_examples=LOST_SERVER_HISTORIES
)
EditHistory.TestCase.settings = settings(HISTORY_SETTINGS, max_examples=EDIT_HISTORIES)
TestPoolHistory = PoolHistory.TestCase
TestLostServerHistory = LostServerHistory.TestCase
TestEditHistory = EditHistory.TestCase
