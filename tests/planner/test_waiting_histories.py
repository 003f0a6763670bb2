"""Random histories in which accepted work has to start once faults are over."""

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from cardamomdyke.model.orders import Shape, StepOrder
from cardamomdyke_standins.platform_server import MAX_LEASE_SECONDS, StepPlan
from tests.planner.crash_world import CrashWorld
from tests.planner.test_histories import FAULTS, SERVER
from tests.planner.waiting import check_waits
from tests.planner.world import AUTHORITY_SECONDS

HISTORIES = 40
STEPS = 24
REMOTE_FACTOR = 3.0
# A new planner waits for the leases of silent servers, by clocks that are 2% slow.
CALM_SECONDS = AUTHORITY_SECONDS + MAX_LEASE_SECONDS / 0.98 + 2.0
CHECKED_SECONDS = 12.0
# Lasting tasks never free their resources, so too many of them leave no room.
MAX_LASTING_JOBS = 3
MAX_CRASHING_JOBS = 2
# Half of the servers stay, or there would be no room.
LOST_SHARE = 0.5
RACKS = st.sampled_from(["", "", "r0", "r1"])


class WaitingHistories(RuleBasedStateMachine):
    """Guards against accepted work that waits without an end beside idle servers.

    Racks, limits, lasting tasks, gangs and single tasks meet crashes, losses of servers
    for good, late calls, takeovers, cuts and drains.
    """

    @initialize(
        servers=st.sampled_from([6, 12, 22]),
        rack_size=st.sampled_from([2, 4, 8]),
        renames=st.booleans(),
        restart=st.sampled_from([1.0, 3.0, 6.0]),
        crash_delay=st.sampled_from([0.01, 0.3, 0.7]),
        spreads=st.booleans(),
    )
    def begin(
        self,
        servers: int,
        rack_size: int,
        renames: bool,
        restart: float,
        crash_delay: float,
        spreads: bool,
    ) -> None:
        """Begin with idle servers, or with a lasting task on each server."""
        self.world = CrashWorld(
            renames_servers=renames, restart_seconds=restart, crash_delay=crash_delay
        )
        self.world.faults_injected = True
        self.servers = servers
        for number in range(servers):
            self.world.add_server(f"s{number:02}", SERVER, f"r{number // rack_size}")
        self.take_over()
        self.world.run_for(1.0)
        self.jobs = 0
        self.lost = 0
        self.lasting_jobs = 0
        self.crashing_jobs: list[str] = []
        if spreads:
            self.submit_lasting(1.0, 1, 1, "", 1)
            self.world.run_for(2.0)

    def take_over(self, overlaps: bool = False) -> None:
        self.world.take_over(remote_factor=REMOTE_FACTOR, overlaps=overlaps)

    def list_up(self) -> list[str]:
        return [
            name
            for name, server in self.world.cluster.servers.items()
            if server.up and name in self.world.listed
        ]

    @rule(
        count=st.sampled_from([1, 1, 2, 3, 4, 7]),
        accelerators=st.sampled_from([1, 2, 4, 4, 8]),
        millicores=st.sampled_from([1000, 16_000]),
        gang=st.sampled_from([True, True, False]),
        rack_sensitive=st.sampled_from([True, True, False]),
        data_rack=RACKS,
        label=RACKS,
        server_limit=st.sampled_from([0, 0, 1]),
        seconds=st.sampled_from([0.3, 2.0, 6.0]),
        failing=st.sampled_from([0, 0, 0, 1]),
        priority=st.integers(0, 2),
        with_next=st.booleans(),
        crashes=st.booleans(),
    )
    def submit(
        self,
        count: int,
        accelerators: int,
        millicores: int,
        gang: bool,
        rack_sensitive: bool,
        data_rack: str,
        label: str,
        server_limit: int,
        seconds: float,
        failing: int,
        priority: int,
        with_next: bool,
        crashes: bool,
    ) -> None:
        """Submit a job; with `crashes`, a server crashes at its start."""
        self.jobs += 1
        step = StepOrder(
            count,
            Shape(millicores, 100, accelerators),
            2.0,
            gang=gang,
            rack_sensitive=gang and rack_sensitive,
            data_rack=data_rack,
            required_label=label,
            server_limit=server_limit,
        )
        steps = [(step, StepPlan(seconds, count, gang, failing))]
        if with_next:
            steps.append((StepOrder(2, Shape(1000, 100, 1), 1.0, (0,)), StepPlan(0.5)))
        job_id = f"{self.jobs:016x}"
        self.world.submit(job_id, steps, priority)
        self.world.run_for(0.4)
        used = [
            name
            for name in self.list_up()
            for run in self.world.cluster.servers[name].runs.values()
            if run.task.job_id == job_id
        ]
        if crashes and used and len(self.list_up()) > LOST_SHARE * self.servers:
            self.world.crash_server(used[0])

    @precondition(lambda self: self.lasting_jobs < MAX_LASTING_JOBS)
    @rule(
        share=st.sampled_from([0.3, 1.0]),
        accelerators=st.sampled_from([1, 2]),
        server_limit=st.sampled_from([0, 1]),
        data_rack=RACKS,
        priority=st.integers(0, 2),
    )
    def submit_lasting(
        self,
        share: float,
        accelerators: int,
        server_limit: int,
        data_rack: str,
        priority: int,
    ) -> None:
        self.lasting_jobs += 1
        step = StepOrder(
            max(1, round(share * self.servers)),
            Shape(1000, 100, accelerators),
            long_running=True,
            server_limit=server_limit,
            data_rack=data_rack,
        )
        job_id = f"a{self.lasting_jobs:015x}"
        self.world.submit(job_id, [(step, StepPlan(1e6, step.count))], priority)

    @precondition(lambda self: len(self.crashing_jobs) < MAX_CRASHING_JOBS)
    @rule(
        count=st.integers(1, 3),
        gang=st.booleans(),
        accelerators=st.sampled_from([1, 8]),
    )
    def submit_crashing(self, count: int, gang: bool, accelerators: int) -> None:
        """Submit a job of which the first task crashes each server that starts it."""
        job_id = f"d{len(self.crashing_jobs):015x}"
        self.crashing_jobs.append(job_id)
        step = StepOrder(count, Shape(1000, 100, accelerators), 1.0, gang=gang)
        self.world.submit(
            job_id, [(step, StepPlan(1.0, count, gang, crashing_index=0))]
        )

    @rule(seconds=st.sampled_from([0.05, 0.3, 1.0, 3.0]))
    def wait(self, seconds: float) -> None:
        self.world.run_for(seconds)

    @precondition(lambda self: len(self.list_up()) > LOST_SHARE * self.servers)
    @rule(number=st.integers(0, 50), returns=st.booleans(), unlists=st.booleans())
    def crash_server(self, number: int, returns: bool, unlists: bool) -> None:
        """Crash a server, if possible one that is in use."""
        names = self.list_up()
        busy = [name for name in names if self.world.cluster.servers[name].runs]
        name = (busy or names)[number % len(busy or names)]
        if returns:
            self.world.crash_server(name)
            return
        self.world.cluster.servers[name].crash(self.world.now)
        if unlists:
            self.world.listed.pop(name)

    @rule(faults=FAULTS)
    def disturb_calls(self, faults: list) -> None:
        self.world.faults = faults

    @rule(number=st.integers(0, 50), seconds=st.sampled_from([0.5, 2.0]))
    def break_server(self, number: int, seconds: float) -> None:
        """Let every run on a server fail for a while."""
        names = self.list_up()
        server = self.world.cluster.servers[names[number % len(names)]]
        server.faulty = True
        self.world.run_for(seconds)
        server.faulty = False

    @rule(overlaps=st.booleans())
    def replace_planner(self, overlaps: bool) -> None:
        self.take_over(overlaps)

    @rule()
    def lose_all_vms(self) -> None:
        self.world.planner.alive = False
        self.take_over()

    @rule(seconds=st.sampled_from([1.0, 4.0]))
    def freeze_planner(self, seconds: float) -> None:
        self.world.planner.frozen_until = self.world.now + seconds
        self.take_over()

    @rule(
        numbers=st.sets(st.integers(0, 21), max_size=3),
        seconds=st.sampled_from([1.0, 4.0, 11.0]),
    )
    def cut_servers(self, numbers: set[int], seconds: float) -> None:
        names = self.list_up()
        self.world.planner.cut |= {names[number % len(names)] for number in numbers}
        self.world.run_for(seconds)
        self.world.planner.cut.clear()

    @precondition(lambda self: len(self.list_up()) > LOST_SHARE * self.servers)
    @rule(number=st.integers(0, 50), draining=st.booleans())
    def drain_server(self, number: int, draining: bool) -> None:
        names = self.list_up()
        self.world.list_server(names[number % len(names)], draining)

    @rule()
    def lose_history(self) -> None:
        if self.world.planner.reaches_store:
            self.world.reread_records(self.world.planner)

    @rule(number=st.integers(0, 50))
    def refuse_starts(self, number: int) -> None:
        names = self.list_up()
        self.world.refusing = {names[number % len(names)]}
        self.world.run_for(1.0)
        self.world.refusing = set()

    @invariant()
    def keeps_rules(self) -> None:
        if hasattr(self, "world"):
            assert not self.world.violations, self.world.violations

    def teardown(self) -> None:
        """Check that no work waits beside idle servers once all faults are over."""
        if not hasattr(self, "world"):
            return
        world = self.world
        world.faults = []
        for job_id in self.crashing_jobs:
            world.cancel(job_id)
        if not world.is_running(world.planner):
            self.take_over()
        world.run_for(CALM_SECONDS)
        check_waits(world, CHECKED_SECONDS)
        assert not world.planner.state.set_aside
        assert not world.violations, world.violations


TestWaitingHistories = WaitingHistories.TestCase
TestWaitingHistories.settings = settings(
    max_examples=HISTORIES,
    stateful_step_count=STEPS,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
