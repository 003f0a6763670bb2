"""Random histories of planners, servers and a store under faults."""

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from cardamomdyke.jobs.layout import RecordLimits
from cardamomdyke.model.orders import Shape, StepOrder
from cardamomdyke.model.queues import Account
from cardamomdyke_standins.platform_server import MAX_LEASE_SECONDS, StepPlan
from tests.planner.crash_world import CrashWorld
from tests.planner.world import ONCE, Fault, Schedule

HISTORIES = 300
STEPS = 16
SERVER = Shape(32_000, 65_536, 8)
SERVERS = ["s0", "s1", "s2", "s3"]
LATE_SECONDS = [2.0, 4.0, 8.0, 12.0]
FAULTS = st.lists(
    st.tuples(
        st.sampled_from([Fault.NONE] * 6 + list(Fault)), st.sampled_from(LATE_SECONDS)
    ),
    max_size=12,
)
STEP_ORDERS = st.builds(
    StepOrder,
    count=st.integers(1, 4),
    shape=st.builds(Shape, st.just(1000), st.just(100), st.sampled_from([1, 2, 4, 8])),
    estimated_seconds=st.sampled_from([0.5, 2.0, 10.0]),
    checkpointing=st.booleans(),
    gang=st.booleans(),
    rack_sensitive=st.booleans(),
)
SCHEDULES = st.one_of(
    st.just(ONCE),
    st.builds(
        Schedule,
        repetitions=st.integers(1, 3),
        delay=st.sampled_from([0.0, 1.0, 5.0]),
        interval=st.sampled_from([0.0, 0.5, 4.0]),
    ),
)
# Long-running tasks never free their resources. They need no accelerators here, since
# a gang of four whole servers could not run beside one that does.
MAX_LONG_RUNNING_JOBS = 2
LONG_RUNNING_MILLICORES = 12_000
LONG_RUNNING_SECONDS = 1e6
# Each crash takes one of four servers away.
MAX_CRASHING_JOBS = 2
PLATFORM_LIMITS = RecordLimits(262_144, 2_097_152)
# The progress of a job with two tasks or more takes several records and appends.
SMALL_LIMITS = RecordLimits(110, 250)
# Time in which every job ends after the last fault: the leases of lost servers expire,
# then the jobs run one after the other.
SETTLE_SECONDS = 2 * MAX_LEASE_SECONDS + 120.0


class PlannerHistories(RuleBasedStateMachine):
    """Guards against broken platform rules and lost jobs under faults.

    Jobs are submitted and cancelled while planners, servers, calls and the store fail.
    """

    @initialize(
        rates=st.lists(st.sampled_from([1.0, 0.98]), min_size=4, max_size=4),
        quota=st.sampled_from([0, 8, 16]),
        record_limits=st.sampled_from([PLATFORM_LIMITS, SMALL_LIMITS]),
    )
    def begin(
        self, rates: list[float], quota: int, record_limits: RecordLimits
    ) -> None:
        self.world = CrashWorld(record_limits=record_limits)
        self.world.accounts = (Account("owner", frozenset(), 16),)
        self.world.set_quota("owner", quota)
        for name, rate in zip(SERVERS, rates, strict=True):
            rack = "r1" if name in ("s0", "s1") else "r2"
            self.world.add_server(name, SERVER, rack, rate)
        self.world.take_over()
        self.world.run_for(1.0)
        self.jobs = 0
        self.crashing_jobs = 0
        self.long_running_jobs = 0

    @rule(
        orders=st.lists(STEP_ORDERS, min_size=1, max_size=2),
        seconds=st.sampled_from([0.3, 1.5, 4.0, 9.0]),
        failing=st.sampled_from([0, 0, 0, 1, 9]),
        priority=st.integers(0, 2),
        schedule=SCHEDULES,
    )
    def submit(
        self,
        orders: list[StepOrder],
        seconds: float,
        failing: int,
        priority: int,
        schedule: Schedule,
    ) -> None:
        self.jobs += 1
        steps = []
        for number, order in enumerate(orders):
            after = (0,) if number else ()
            step = StepOrder(
                order.count,
                order.shape,
                order.estimated_seconds,
                after,
                order.checkpointing,
                order.gang,
                order.rack_sensitive,
            )
            plan = StepPlan(seconds, step.count, step.gang, failing, step.checkpointing)
            steps.append((step, plan))
        job_id = f"{self.jobs:016x}"
        self.world.submit(job_id, steps, priority, 2, "owner", schedule)

    @precondition(lambda self: self.long_running_jobs < MAX_LONG_RUNNING_JOBS)
    @rule(
        count=st.integers(1, 2),
        failing=st.sampled_from([0, 0, 3]),
        priority=st.integers(0, 2),
    )
    def submit_long_running(self, count: int, failing: int, priority: int) -> None:
        """Submit long-running tasks of which the first `failing` runs fail."""
        self.long_running_jobs += 1
        step = StepOrder(count, Shape(LONG_RUNNING_MILLICORES, 100), long_running=True)
        plan = StepPlan(LONG_RUNNING_SECONDS, count, failing_runs=failing)
        self.world.submit(
            f"a{self.long_running_jobs:015x}", [(step, plan)], priority, 1
        )

    @precondition(lambda self: self.crashing_jobs < MAX_CRASHING_JOBS)
    @rule(
        count=st.integers(1, 3),
        accelerators=st.sampled_from([1, 8]),
        gang=st.booleans(),
        priority=st.integers(0, 2),
    )
    def submit_crashing(
        self, count: int, accelerators: int, gang: bool, priority: int
    ) -> None:
        """Submit a job of which the first task crashes each server that starts it."""
        self.crashing_jobs += 1
        step = StepOrder(count, Shape(1000, 100, accelerators), 1.0, gang=gang)
        plan = StepPlan(1.0, count, gang, crashing_index=0)
        job_id = f"d{self.crashing_jobs:015x}"
        self.world.submit(job_id, [(step, plan)], priority)

    @precondition(lambda self: self.jobs > 0)
    @rule(number=st.integers(0, 20))
    def cancel(self, number: int) -> None:
        self.world.cancel(f"{number % self.jobs + 1:016x}")

    @rule(accelerators=st.sampled_from([0, 4, 8, 16, 32]))
    def change_quota(self, accelerators: int) -> None:
        self.world.set_quota("owner", accelerators)

    @rule(seconds=st.sampled_from([0.05, 0.3, 1.0, 3.0, 8.0]))
    def wait(self, seconds: float) -> None:
        self.world.run_for(seconds)

    @rule(faults=FAULTS)
    def disturb_calls(self, faults: list[tuple[Fault, float]]) -> None:
        self.world.faults_injected = True
        self.world.faults = faults

    @rule(faults=FAULTS)
    def disturb_starts(self, faults: list[tuple[Fault, float]]) -> None:
        self.world.faults_injected = True
        self.world.start_faults = faults

    @rule(names=st.sets(st.sampled_from(SERVERS), max_size=1))
    def refuse_starts(self, names: set[str]) -> None:
        self.world.refusing = names

    @rule()
    def kill_planner(self) -> None:
        self.world.faults_injected = True
        self.world.planner.alive = False
        self.world.take_over()

    @rule(seconds=st.sampled_from([1.0, 4.0, 9.0]))
    def freeze_planner(self, seconds: float) -> None:
        self.world.faults_injected = True
        self.world.planner.frozen_until = self.world.now + seconds
        self.world.take_over()

    @rule(seconds=st.sampled_from([1.0, 4.0, 9.0]))
    def pause_planner(self, seconds: float) -> None:
        """Pause the planner, which goes on in its term."""
        self.world.faults_injected = True
        self.world.planner.frozen_until = self.world.now + seconds

    @rule(names=st.sets(st.sampled_from(SERVERS)))
    def take_over_at_once(self, names: set[str]) -> None:
        """Let a planner begin that does not reach some servers, beside the old one."""
        self.world.faults_injected = True
        self.world.take_over(overlaps=True).cut |= names

    @rule(names=st.sets(st.sampled_from(SERVERS)))
    def cut_new_planner(self, names: set[str]) -> None:
        """Cut off a new planner from some servers, after the old one has ended."""
        self.world.faults_injected = True
        self.world.take_over().cut |= names

    @rule(names=st.sets(st.sampled_from(SERVERS)))
    def cut_servers(self, names: set[str]) -> None:
        self.world.faults_injected = True
        self.world.planner.cut |= names

    @rule()
    def heal(self) -> None:
        self.world.planner.cut.clear()
        self.world.store_up = True

    @rule()
    def lose_store(self) -> None:
        self.world.faults_injected = True
        self.world.store_up = False

    @rule()
    def lose_history(self) -> None:
        planner = self.world.planner
        if planner.reaches_store and self.world.store_up:
            self.world.reread_records(planner)

    @rule()
    def drop_history(self) -> None:
        """Let the store keep only the newest record of each key."""
        self.world.compact()

    @rule(name=st.sampled_from(SERVERS), seconds=st.sampled_from([0.2, 2.0, 6.0]))
    def restart_server(self, name: str, seconds: float) -> None:
        self.world.faults_injected = True
        server = self.world.cluster.servers[name]
        server.crash(self.world.now)
        self.world.run_for(seconds)
        server.restart(self.world.now)
        self.world.list_server(name)

    @rule(name=st.sampled_from(SERVERS), draining=st.booleans())
    def drain_server(self, name: str, draining: bool) -> None:
        self.world.list_server(name, draining)

    @rule(name=st.sampled_from(SERVERS), accelerators=st.sampled_from([0, 2, 4, 8]))
    def change_capacity(self, name: str, accelerators: int) -> None:
        self.world.set_capacity(name, accelerators)

    @invariant()
    def keeps_rules(self) -> None:
        if hasattr(self, "world"):
            assert not self.world.violations, self.world.violations

    def teardown(self) -> None:
        """Check that every job ends correctly once all faults are over."""
        if not hasattr(self, "world"):
            return
        world = self.world
        world.store_up = True
        world.faults = []
        world.start_faults = []
        world.refusing = set()
        # A gang larger than its account's quota could never run.
        world.set_quota("owner", 0)
        for name in SERVERS:
            world.set_capacity(name, SERVER.accelerators)
            world.list_server(name)
        world.planner.cut.clear()
        if not world.is_running(world.planner):
            world.take_over()
        world.run_for(SETTLE_SECONDS)
        world.check_final_phases()
        assert not world.violations, world.violations


TestPlannerHistories = PlannerHistories.TestCase
TestPlannerHistories.settings = settings(
    max_examples=HISTORIES,
    stateful_step_count=STEPS,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
