"""Discrete-event simulation of a workload that `plan_pool` places."""

from collections.abc import Callable
from dataclasses import dataclass, field, replace
from heapq import heappop, heappush
from itertools import count

from cardamomdyke.model.jobs import JobSpecification
from cardamomdyke.model.tables import Pool
from cardamomdyke.placement.plan import (
    PlacedGang,
    PoolState,
    Preemption,
    QueuedJob,
    plan_pool,
)
from cardamomdyke_measurements.workload import (
    FAULTY_SECONDS,
    FAULTY_START_SECONDS,
    HORIZON_SECONDS,
    OUTAGE_SECONDS,
    OUTAGE_START_SECONDS,
    SimulatedJob,
    Workload,
)

STOP_DELAY_SECONDS = 1.0
PLANNING_PERIOD_SECONDS = 30.0
FAILURE_DELAY_SECONDS = 5.0
FAILURES_TO_EJECT = 3
EJECTION_SECONDS = 600.0
MAX_JOB_FAILURES = 3
MAX_SIMULATED_SECONDS = 4 * HORIZON_SECONDS


@dataclass(frozen=True, slots=True)
class GangRun:
    """One run of a gang, in seconds of virtual time.

    Attributes
    ----------
    job_id : str
        Id of the job.
    accelerators : int
        Accelerators of all members.
    started_at : float
        Start.
    ended_at : float
        End, by any cause.
    kept_seconds : float
        Run time not lost: all, or up to the last checkpoint.
    """

    job_id: str
    accelerators: int
    started_at: float
    ended_at: float
    kept_seconds: float


@dataclass
class SimulatedPool:
    """One pool's queue, placed gangs and unusable backend servers."""

    definition: Pool
    queued: dict[str, QueuedJob] = field(default_factory=dict)
    placed: dict[str, PlacedGang] = field(default_factory=dict)
    unusable: set[str] = field(default_factory=set)
    in_service: bool = True
    changed: bool = False


@dataclass
class SimulationRun:
    """State of one simulation, in seconds of virtual time."""

    policy: object
    workload: Workload
    pools: dict[str, SimulatedPool]
    jobs: dict[str, SimulatedJob]
    now: float = 0.0
    events: list[tuple[float, int, Callable[[], None]]] = field(default_factory=list)
    event_numbers: "count[int]" = field(default_factory=count)
    progress: dict[str, float] = field(default_factory=dict)
    pool_by_job: dict[str, SimulatedPool] = field(default_factory=dict)
    finished_at: dict[str, float] = field(default_factory=dict)
    first_started_at: dict[str, float] = field(default_factory=dict)
    dropped: dict[str, str] = field(default_factory=dict)
    gang_runs: list[GangRun] = field(default_factory=list)
    failures: dict[str, int] = field(default_factory=dict)
    server_failures: dict[str, int] = field(default_factory=dict)
    preemptions: int = 0
    plans: int = 0


def count_accelerators(specification: JobSpecification) -> int:
    """Return the accelerators of a whole gang."""
    return specification.accelerators_per_task * specification.gang_size


def schedule(run: SimulationRun, at: float, action: Callable[[], None]) -> None:
    """Add an event; equal times keep the order of addition."""
    heappush(run.events, (at, next(run.event_numbers), action))


def run_workload(
    policy: object, workload: Workload, observe: Callable[[SimulationRun, float], None]
) -> SimulationRun:
    """Simulate until no event is left, or for 4 times the horizon; return the state.

    Parameters
    ----------
    policy : object
        Placement policy.
    workload : Workload
        Jobs, cancellations and failures.
    observe : callable
        Called after each time's plans with the run and the next event's time.
    """
    run = SimulationRun(
        policy,
        workload,
        {row.name: SimulatedPool(row) for row in workload.pools},
        {job.job_id: job for job in workload.jobs},
    )
    schedule_workload(run)
    while run.events and run.now < MAX_SIMULATED_SECONDS:
        apply_next_events(run)
        for pool in run.pools.values():
            if pool.changed:
                plan_simulated_pool(run, pool)
        observe(run, run.events[0][0] if run.events else run.now)
    return run


def apply_next_events(run: SimulationRun) -> None:
    """Advance the clock to the next event and apply all that are due."""
    run.now = run.events[0][0]
    while run.events and run.events[0][0] <= run.now:
        _, _, action = heappop(run.events)
        action()


def schedule_workload(run: SimulationRun) -> None:
    """Schedule the events that do not depend on decisions."""
    for job in run.workload.jobs:
        schedule(run, job.arrives_at, lambda job=job: submit_job(run, job))  # type: ignore[misc]
    for at, job_id in run.workload.cancellations:
        schedule(run, at, lambda job_id=job_id: cancel_job(run, job_id))  # type: ignore[misc]
    schedule(run, OUTAGE_START_SECONDS, lambda: take_domain_out(run))
    end = OUTAGE_START_SECONDS + OUTAGE_SECONDS
    schedule(run, end, lambda: bring_domain_in(run))
    schedule(run, PLANNING_PERIOD_SECONDS, lambda: replan_periodically(run))


def replan_periodically(run: SimulationRun) -> None:
    """Mark pools with queued jobs as changed: reservation waits expire by time."""
    for pool in run.pools.values():
        pool.changed = pool.changed or bool(pool.queued)
    if run.events or any(pool.queued or pool.placed for pool in run.pools.values()):
        schedule(
            run, run.now + PLANNING_PERIOD_SECONDS, lambda: replan_periodically(run)
        )


def submit_job(run: SimulationRun, job: SimulatedJob) -> None:
    """Drop a job that no empty pool could hold, else route it."""
    sizes = [server.accelerators for server in run.workload.pools[0].servers]
    size = job.specification.accelerators_per_task
    if sum(held // size for held in sizes) < job.specification.gang_size:
        run.dropped[job.job_id] = "impossible"
        return
    route_job(run, QueuedJob(job.job_id, job.specification, run.now))


def route_job(run: SimulationRun, job: QueuedJob) -> None:
    """Queue a job in the in-service pool that `rank_pool` sorts first."""
    pools = [pool for pool in run.pools.values() if pool.in_service]
    pool = min(pools, key=lambda p: rank_pool(p, count_accelerators(job.specification)))
    pool.queued[job.job_id] = job
    pool.changed = True
    run.pool_by_job[job.job_id] = pool


def rank_pool(pool: SimulatedPool, size: int) -> tuple[bool, int]:
    """Return a sort key: fullest pool with room for a job, else least demand."""
    capacity = sum(
        s.accelerators for s in pool.definition.servers if s.name not in pool.unusable
    )
    running = sum(
        count_accelerators(gang.specification) for gang in pool.placed.values()
    )
    if running + size <= capacity:
        return False, -running
    return True, count_demand(pool)


def count_demand(pool: SimulatedPool) -> int:
    """Return the accelerators requested by queued and running jobs."""
    waiting = sum(count_accelerators(job.specification) for job in pool.queued.values())
    running = sum(
        count_accelerators(gang.specification) for gang in pool.placed.values()
    )
    return waiting + running


def plan_simulated_pool(run: SimulationRun, pool: SimulatedPool) -> None:
    """Plan one pool and apply its starts and preemptions."""
    pool.changed = False
    if not pool.in_service:
        return
    placed = tuple(set_reported_age(run, gang) for gang in pool.placed.values())
    queued = tuple(sorted(pool.queued.values(), key=lambda job: job.queued_at))
    state = PoolState(pool.definition, queued, placed, frozenset(pool.unusable))
    plan = plan_pool(run.policy, state, run.now)
    run.plans += 1
    for start in plan.starts:
        job = pool.queued.pop(start.job_id)
        gang = PlacedGang(
            job.job_id,
            job.specification,
            start.placements,
            start.borrowed,
            run.now,
            queued_at=job.queued_at,
        )
        pool.placed[job.job_id] = gang
        run.first_started_at.setdefault(job.job_id, run.now)
        schedule_end(run, gang)
    for preemption in plan.preemptions:
        preempt_gang(run, pool, preemption)


def set_reported_age(run: SimulationRun, gang: PlacedGang) -> PlacedGang:
    """Return a gang with its inaccurately reported checkpoint age."""
    job = run.jobs[gang.job_id]
    age = (
        compute_checkpoint_age(job, run.now - gang.started_at) * job.reported_age_factor
    )
    return replace(gang, checkpoint_age_seconds=age)


def compute_checkpoint_age(job: SimulatedJob, seconds: float) -> float:
    """Return the run time since the last checkpoint, else since the start."""
    return seconds % job.checkpoint_seconds if job.checkpoint_seconds else seconds


def schedule_end(run: SimulationRun, gang: PlacedGang) -> None:
    """Schedule a gang's finish, or its failure on the faulty server."""
    faulty = any(p.server == run.workload.faulty_server for p in gang.placements)
    faulty_until = FAULTY_START_SECONDS + FAULTY_SECONDS
    if faulty and FAULTY_START_SECONDS <= run.now < faulty_until:
        at = run.now + FAILURE_DELAY_SECONDS
        schedule(run, at, lambda: fail_gang(run, gang))
        return
    left = run.jobs[gang.job_id].run_seconds - run.progress.get(gang.job_id, 0.0)
    schedule(run, run.now + left, lambda: finish_gang(run, gang))


def is_current(run: SimulationRun, gang: PlacedGang) -> bool:
    """Return whether the run of a scheduled event has not ended."""
    placed = run.pool_by_job[gang.job_id].placed.get(gang.job_id)
    return placed is not None and placed.started_at == gang.started_at


def end_gang_run(run: SimulationRun, gang: PlacedGang, kept_seconds: float) -> None:
    """Free a gang's accelerators and record its run."""
    pool = run.pool_by_job[gang.job_id]
    del pool.placed[gang.job_id]
    pool.changed = True
    size = count_accelerators(gang.specification)
    run.gang_runs.append(
        GangRun(gang.job_id, size, gang.started_at, run.now, kept_seconds)
    )
    done = run.progress.get(gang.job_id, 0.0)
    run.progress[gang.job_id] = done + kept_seconds


def finish_gang(run: SimulationRun, gang: PlacedGang) -> None:
    """End a gang that completed its work."""
    if is_current(run, gang):
        end_gang_run(run, gang, run.now - gang.started_at)
        run.finished_at[gang.job_id] = run.now


def fail_gang(run: SimulationRun, gang: PlacedGang) -> None:
    """End a failed gang; eject the server or drop the job after 3 failures."""
    if not is_current(run, gang):
        return
    pool = run.pool_by_job[gang.job_id]
    end_gang_run(run, gang, 0.0)
    server = run.workload.faulty_server
    run.server_failures[server] = run.server_failures.get(server, 0) + 1
    if run.server_failures[server] >= FAILURES_TO_EJECT:
        eject_server(run, pool, server)
    run.failures[gang.job_id] = run.failures.get(gang.job_id, 0) + 1
    if run.failures[gang.job_id] >= MAX_JOB_FAILURES:
        run.dropped[gang.job_id] = "failed"
        return
    requeue_gang(run, gang)


def eject_server(run: SimulationRun, pool: SimulatedPool, server: str) -> None:
    """Make a backend server unusable for the ejection time."""
    pool.unusable.add(server)
    run.server_failures[server] = 0

    def restore() -> None:
        pool.unusable.discard(server)
        pool.changed = True

    schedule(run, run.now + EJECTION_SECONDS, restore)


def requeue_gang(run: SimulationRun, gang: PlacedGang) -> None:
    """Queue a stopped job again, with its original arrival time."""
    arrived = run.jobs[gang.job_id].arrives_at
    job = QueuedJob(gang.job_id, gang.specification, arrived, run.now)
    pool = run.pool_by_job[gang.job_id]
    if not pool.in_service:
        route_job(run, job)
        return
    pool.queued[job.job_id] = job
    pool.changed = True


def preempt_gang(
    run: SimulationRun, pool: SimulatedPool, preemption: Preemption
) -> None:
    """Tell a gang to checkpoint and stop, which takes 1 second."""
    gang = replace(pool.placed[preemption.job_id], stopping=True)
    pool.placed[gang.job_id] = gang
    run.preemptions += 1
    schedule(run, run.now + STOP_DELAY_SECONDS, lambda: stop_gang(run, gang))


def stop_gang(run: SimulationRun, gang: PlacedGang) -> None:
    """Stop a preempted gang; keep its work up to the last checkpoint."""
    if not is_current(run, gang):
        return
    job = run.jobs[gang.job_id]
    ran = run.now - gang.started_at
    lost = (
        STOP_DELAY_SECONDS
        if job.checkpoints_on_request
        else compute_checkpoint_age(job, ran)
    )
    end_gang_run(run, gang, max(ran - lost, 0.0))
    requeue_gang(run, gang)


def cancel_job(run: SimulationRun, job_id: str) -> None:
    """Cancel a job that has not ended."""
    if job_id in run.finished_at or job_id in run.dropped:
        return
    run.dropped[job_id] = "cancelled"
    pool = run.pool_by_job[job_id]
    pool.queued.pop(job_id, None)
    pool.changed = True
    gang = pool.placed.get(job_id)
    if gang is not None:
        end_gang_run(run, gang, run.now - gang.started_at)


def take_domain_out(run: SimulationRun) -> None:
    """Stop a failure domain's gangs and route its jobs to other pools."""
    for pool in run.pools.values():
        if pool.definition.failure_domain != run.workload.outage_domain:
            continue
        pool.in_service = False
        for gang in list(pool.placed.values()):
            job = run.jobs[gang.job_id]
            ran = run.now - gang.started_at
            end_gang_run(run, gang, ran - compute_checkpoint_age(job, ran))
            requeue_gang(run, gang)
        for queued in pool.queued.values():
            route_job(run, queued)
        pool.queued.clear()


def bring_domain_in(run: SimulationRun) -> None:
    """Return all pools to service and route the queued jobs again."""
    waiting: list[QueuedJob] = []
    for pool in run.pools.values():
        pool.in_service = True
        waiting.extend(pool.queued.values())
        pool.queued.clear()
    for job in sorted(waiting, key=lambda job: job.queued_at):
        route_job(run, job)
