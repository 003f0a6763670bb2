"""Overload of a pool: the planner's forecast decides what an entry VM accepts."""

from dataclasses import dataclass, field

from cardamomdyke.jobs.records import JobPhase
from cardamomdyke.model.orders import JobOrder, Shape, StepOrder
from cardamomdyke.model.queues import Account
from cardamomdyke.planner.forecasts import (
    CHANGE_FACTOR,
    SummaryPublisher,
    find_waits,
    list_waiting,
)
from cardamomdyke.planner.summaries import SummaryLedger
from cardamomdyke.scheduling.admission import (
    LATE_FACTOR,
    MAX_RETRY_SECONDS,
    MAX_SUMMARY_AGE_SECONDS,
    AdmissionRefusal,
    AdmissionRequest,
    decide_admission,
)
from cardamomdyke.scheduling.forecast import DeclaredEstimate, RuntimeEstimate
from cardamomdyke_standins.platform_server import StepPlan
from tests.planner.test_forecasts import RoutedWorld
from tests.planner.world import POOL

SERVER = Shape(32_000, 65_536, 8)
SERVERS = 8
# Eight tasks of an accelerator for a second: the pool runs eight such jobs a second.
BULK = StepOrder(8, Shape(1000, 100, 1), 1.0)
RUN_SECONDS = 1.0
BULK_STRETCH, BULK_TARGET = 3.0, 1.0
USEFUL_SECONDS = LATE_FACTOR * (BULK_STRETCH * RUN_SECONDS + BULK_TARGET)
URGENT = StepOrder(2, Shape(1000, 100, 4), 1.0, gang=True)
HEARTBEAT_SECONDS = 0.8
READ_SECONDS = 0.1
MAX_AGE_SECONDS = HEARTBEAT_SECONDS + READ_SECONDS
OVERLOAD_SECONDS = 10.0
LOAD = 3.0
URGENT_EVERY = 24
FIRST_URGENT = 1_000_000


def estimate_exactly(queue: str, declared_seconds: float) -> RuntimeEstimate:
    """Return what the planner knows of a queue whose run times were learnt."""
    return DeclaredEstimate(declared_seconds, 1.0)


@dataclass
class OverloadWorld(RoutedWorld):
    """Simulation with an entry VM that reads the planner's summaries.

    `accepted` and `refused` hold what the caller of each job got, `published` the
    times of the summaries.
    """

    publisher: SummaryPublisher = field(
        default_factory=lambda: SummaryPublisher(estimate_exactly)
    )
    view: SummaryLedger = field(default_factory=SummaryLedger)
    published: list[float] = field(default_factory=list)
    accepted: dict[str, float] = field(default_factory=dict)
    refused: dict[str, AdmissionRefusal] = field(default_factory=dict)
    ended: dict[str, float] = field(default_factory=dict)
    publishing: bool = True

    def publish(self) -> None:
        """Append the summaries and a heartbeat; the entry VM reads them soon."""
        if not self.publishing:
            return
        self.schedule(HEARTBEAT_SECONDS, self.publish)
        state = self.planner.state
        records = self.publisher.list_records(state, self.view.summaries, self.now)
        self.published += [self.now] * len(records)
        appended_at, fence = self.now, state.fence

        def read() -> None:
            for key, value in records:
                assert not self.view.apply(key, value, appended_at)
            self.view.confirm(fence, appended_at)

        self.schedule(READ_SECONDS, read)

    def request(self, job_id: str, step: StepOrder, priority: int) -> None:
        """Submit a job as a caller does; a refused one is not stored."""
        order = JobOrder("", (step,))
        request = AdmissionRequest(
            job_id, "a", order, priority, BULK_STRETCH, BULK_TARGET
        )
        summary, age = self.view.find(POOL, self.now)
        arrivals = self.view.arrivals.get(POOL, ())
        refusal = decide_admission(request, summary, age, arrivals)
        if refusal is not None:
            self.refused[job_id] = refusal
            return
        self.accepted[job_id] = self.now
        plan = StepPlan(1.0, step.count, gang=step.gang)
        self.submit(job_id, [(step, plan)], priority=priority, account="a")
        record = self.orders[job_id]
        self.schedule(READ_SECONDS, lambda: self.view.record_arrival(record))

    def forecast_wait(self) -> float:
        """Return the wait of new bulk work that the planner would publish now."""
        state = self.planner.state
        groups = list_waiting(state, estimate_exactly).get(POOL, {})
        waits = find_waits(state, POOL, groups, self.now, estimate_exactly)
        return max((wait.seconds for wait in waits if wait.priority == 1), default=0.0)

    def note_ends(self) -> None:
        """Record which jobs have completed."""
        ledger = self.planner.ledger
        for job_id in self.accepted.keys() - self.ended.keys():
            progress = ledger.progress.get(job_id)
            if progress is not None and progress.phase is JobPhase.COMPLETED:
                self.ended[job_id] = self.now

    def measure_backlog(self) -> float:
        """Return the time that the accepted bulk work needs on the empty pool."""
        waiting = [job_id for job_id in self.accepted if job_id not in self.ended]
        return len(waiting) * BULK.count / (SERVERS * SERVER.accelerators)


def make_world() -> OverloadWorld:
    world = OverloadWorld()
    world.accounts = (Account("a", frozenset()),)
    for number in range(SERVERS):
        world.add_server(f"s{number}", SERVER)
    world.take_over()
    world.publish()
    world.run_for(1.0)
    return world


def is_urgent(job_id: str) -> bool:
    return int(job_id, 16) >= FIRST_URGENT


def test_overload_refuses_only_what_would_be_worthless() -> None:
    """Guards against callers that wait for nothing, and untrue refusals.

    The load: three times what the pool can run, for ten seconds, and urgent gangs.
    """
    world = make_world()
    jobs = int(LOAD * SERVERS * OVERLOAD_SECONDS)
    backlogs: dict[str, float] = {}
    forecasts: dict[str, float] = {}
    for number in range(jobs):
        job_id = f"{number:016x}"
        backlogs[job_id] = world.measure_backlog()
        forecasts[job_id] = world.forecast_wait()
        world.request(job_id, BULK, 1)
        if number % URGENT_EVERY == 0:
            world.request(f"{FIRST_URGENT + number:016x}", URGENT, 0)
        world.run_for(OVERLOAD_SECONDS / jobs)
        world.note_ends()
    assert world.refused
    assert not any(is_urgent(job_id) for job_id in world.refused)
    for job_id, refusal in world.refused.items():
        # Even with no loss between runs, it would have ended too late.
        assert backlogs[job_id] + RUN_SECONDS > USEFUL_SECONDS
        assert 1 <= refusal.retry_after_seconds <= 1.5 * MAX_RETRY_SECONDS + 1
        assert job_id not in world.orders
    for job_id in world.accepted:
        # By the planner's own forecast, less its margins and the age of the view.
        least = forecasts.get(job_id, 0.0) / CHANGE_FACTOR**2 - MAX_AGE_SECONDS
        assert least + RUN_SECONDS <= USEFUL_SECONDS
    while len(world.ended) < len(world.accepted) and world.now < 60.0:
        world.run_for(0.1)
        world.note_ends()
    assert len(world.ended) == len(world.accepted)
    assert world.violations == []
    # The view of the wait is not appended with every heartbeat.
    assert len(world.published) < world.now / HEARTBEAT_SECONDS


def test_pool_that_is_busy_and_keeps_up_refuses_nothing() -> None:
    """Guards against refusals below capacity, where each job is served in time."""
    world = make_world()
    for number in range(60):
        world.request(f"{number:016x}", BULK, 1)
        world.run_for(0.8 / SERVERS * 2)
    assert not world.refused


def test_lost_planner_refuses_nothing_and_its_successor_does() -> None:
    """Guards against a view that outlives its planner, and one that starts empty."""
    world = make_world()
    # Enough to refuse by declared run times, before anything was learnt of them.
    for number in range(80 * SERVERS):
        world.submit(f"{number:016x}", [(BULK, StepPlan(30.0, BULK.count))])
    world.run_for(2.0)
    world.request("a0", BULK, 1)
    world.publishing = False
    world.run_for(1.5)
    world.request("a1", BULK, 1)
    assert set(world.refused) == {"a0", "a1"}
    world.run_for(MAX_SUMMARY_AGE_SECONDS)
    world.request("a2", BULK, 1)
    assert "a2" in world.accepted
    world.take_over()
    world.publishing, world.publisher = True, SummaryPublisher()
    world.publish()
    world.run_for(0.05)
    world.request("a3", BULK, 1)
    assert "a3" in world.accepted
    world.run_for(2.0)
    world.request("a4", BULK, 1)
    assert "a4" in world.refused
    assert world.view.summaries[POOL].fence == 2
