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


class PoolHistory(RuleBasedStateMachine):
    """Random sequences of arrivals, ends, failures and late reports."""

    @initialize(layout=st.sampled_from(LAYOUTS), rows=st.lists(ROWS, max_size=5))
    def open_pool(self, layout: list[list[int]], rows: list[Guarantee]) -> None:
        """Create a pool with the drawn guarantees that fit."""
        pool = make_pool(layout)
        for row in rows:
            size = row.accelerators if row.level is CellLevel.ACCELERATORS else 0
            row = replace(row, accelerators=size)
            wider = replace(pool, guarantees=(*pool.guarantees, row))
            if not find_missing_guarantees(wider):
                pool = wider
        self.policy = make_default_policy()
        self.state = PoolState(pool, (), ())
        self.now = 100.0
        self.count = 0
        self.uniform = len({s.accelerators for s in pool.servers}) == 1
        self.lost_capacity = False

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
        """Carry out a plan, which must not add missing cells."""
        before = count_missing(self.state)
        plan = plan_pool(self.policy, self.state, self.now)
        check_plan(self.state, plan)
        self.state = apply_plan(self.state, plan, self.now)
        assert count_missing(self.state) <= before

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
        before = count_missing(self.state)
        kept = tuple(g for g in self.state.placed if g is not gang)
        self.state = replace(self.state, placed=kept)
        assert before or count_missing(self.state) == 0

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
        self.lost_capacity = True
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

        Guaranteed work that moved while capacity was lost is not stopped when it
        is back. It can keep a larger server than it needs, or a part of a rack that
        another account is guaranteed as a whole. Such pools are not checked.
        """
        racks = any(g.level is CellLevel.RACK for g in self.state.pool.guarantees)
        movable = self.uniform and not racks
        if self.state.unusable or (self.lost_capacity and not movable):
            return
        assert count_missing(self.state) == 0

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
        pool, unusable = self.state.pool, self.state.unusable
        missing = find_missing_cells(pool, self.state.placed, unusable)
        short = {cells.client_account for cells in missing}
        probes = tuple(
            QueuedJob(
                f"probe-{row.client_account}-{number}", make_probe(pool, row), 0.0
            )
            for row in merge_rows(pool)
            if row.client_account not in short
            for number in range(row.count - count_cells_in_use(self.state, row))
        )
        busy = {*ACCOUNTS} - {job.specification.client_account for job in probes}
        others = tuple(
            job for job in self.state.queued if job.specification.client_account in busy
        )
        state = replace(self.state, queued=others + probes)
        first = plan_pool(self.policy, state, self.now)
        check_plan(state, first)
        state = apply_plan(state, first, self.now)
        stopping = {g.job_id for g in state.placed if g.stopping}
        state = requeue_gangs(state, stopping, self.now)
        second = plan_pool(self.policy, state, self.now + 1.0)
        check_plan(state, second)
        state = apply_plan(state, second, self.now + 1.0)
        started = {g.job_id for g in state.placed if not g.borrowed}
        assert {job.job_id for job in probes} <= started


PoolHistory.TestCase.settings = settings(
    max_examples=HISTORIES,
    stateful_step_count=STEPS,
    deadline=None,
    suppress_health_check=list(HealthCheck),
    database=None,
    # Shrinking a failed history takes minutes; the unshrunk one lists its steps.
    phases=(Phase.generate,),
    report_multiple_bugs=False,
)
TestPoolHistory = PoolHistory.TestCase
