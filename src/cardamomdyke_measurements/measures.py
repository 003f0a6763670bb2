"""Times, shares, fragmentation and lost work of a simulation."""

from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

from cardamomdyke.placement.cells import list_blocks, make_pool_masks
from cardamomdyke.placement.guarantees import find_guaranteed_work
from cardamomdyke.placement.plan import QueuedJob
from cardamomdyke_measurements.driver import (
    SimulatedPool,
    SimulationRun,
    count_accelerators,
    run_workload,
)
from cardamomdyke_measurements.workload import (
    HORIZON_SECONDS,
    OUTAGE_SECONDS,
    OUTAGE_START_SECONDS,
    Workload,
)

# Limit for starts of urgent work within a guarantee, preemption included.
MAX_START_WAIT_SECONDS = 4.2
MAX_CELL_ACCELERATORS = 8
RECOVERY_SECONDS = 600.0
MAX_HISTOGRAM_SECONDS = 1_000_000
HISTOGRAM_DIGITS = 3
OUTAGE_WINDOW = (
    OUTAGE_START_SECONDS,
    OUTAGE_START_SECONDS + OUTAGE_SECONDS + RECOVERY_SECONDS,
)


@dataclass
class Observer:
    """Integrals over virtual time, and refused jobs.

    Attributes
    ----------
    free, fragmented : float
        Free accelerator seconds until the horizon: all, and outside free cells of 8.
    attainable_in_outage, movable_in_outage : float
        Accelerator seconds usable by any policy in the outage window, without and
        with moves of guaranteed gangs.
    guaranteed_demand, guaranteed_use : dict of str to float
        Accelerator seconds within the guarantee, by client account.
    eligible_since : dict of str to float
        Virtual seconds, by job id, since which a queued job fits its account's free
        guaranteed cells.
    refused : set of str
        Ids of jobs that fitted but waited past the start limit.
    """

    free: float = 0.0
    fragmented: float = 0.0
    attainable_in_outage: float = 0.0
    movable_in_outage: float = 0.0
    guaranteed_demand: dict[str, float] = field(default_factory=dict)
    guaranteed_use: dict[str, float] = field(default_factory=dict)
    eligible_since: dict[str, float] = field(default_factory=dict)
    refused: set[str] = field(default_factory=set)

    def observe(self, run: SimulationRun, until: float) -> None:
        """Add the time from now until the next event."""
        seconds = until - run.now
        for job_id in list(self.eligible_since):
            if job_id not in run.pool_by_job[job_id].queued:
                del self.eligible_since[job_id]
        for pool in run.pools.values():
            if pool.in_service:
                self.observe_refusals(run, pool)
                if run.now < HORIZON_SECONDS:
                    self.observe_fragmentation(pool, seconds)
                    self.observe_shares(pool, seconds)
        low, high = OUTAGE_WINDOW
        overlap = min(until, high) - max(run.now, low)
        if overlap > 0:
            self.attainable_in_outage += overlap * compute_attainable(run, True)
            self.movable_in_outage += overlap * compute_attainable(run, False)

    def observe_fragmentation(self, pool: SimulatedPool, seconds: float) -> None:
        """Add the free accelerators and those outside free cells of 8."""
        free = make_pool_masks(pool.definition, frozenset(pool.unusable))
        for gang in pool.placed.values():
            for placement in gang.placements:
                if placement.server in free:
                    for index in placement.accelerators:
                        free[placement.server] &= ~(1 << index)
        total = sum(mask.bit_count() for mask in free.values())
        in_free_cells = sum(
            MAX_CELL_ACCELERATORS
            for server in pool.definition.servers
            for block in list_blocks(MAX_CELL_ACCELERATORS, server.accelerators)
            if free.get(server.name, 0) & block == block
        )
        self.free += seconds * total
        self.fragmented += seconds * (total - in_free_cells)

    def observe_shares(self, pool: SimulatedPool, seconds: float) -> None:
        """Add each account's demand and use within its guarantee."""
        for row in pool.definition.guarantees:
            account = row.client_account
            running = sum(
                count_accelerators(g.specification)
                for g in pool.placed.values()
                if g.specification.client_account == account and not g.stopping
            )
            waiting = sum(
                count_accelerators(job.specification)
                for job in pool.queued.values()
                if job.specification.client_account == account
                and count_accelerators(job.specification)
                <= MAX_CELL_ACCELERATORS * row.count
            )
            limit = MAX_CELL_ACCELERATORS * row.count
            demand = min(running + waiting, limit)
            self.guaranteed_demand[account] = (
                self.guaranteed_demand.get(account, 0.0) + seconds * demand
            )
            used_seconds = seconds * min(running, limit)
            self.guaranteed_use[account] = (
                self.guaranteed_use.get(account, 0.0) + used_seconds
            )

    def observe_refusals(self, run: SimulationRun, pool: SimulatedPool) -> None:
        """Record jobs that wait although their account's free cells fit them."""
        used = find_guaranteed_work(pool.placed.values())
        for row in pool.definition.guarantees:
            cells = used.get(row.client_account, {})
            assigned = sum(bool(mask) for mask in cells.values())
            for job in pool.queued.values():
                if job.specification.client_account != row.client_account:
                    continue
                if count_cells(job) <= row.count - assigned:
                    self.record_wait(run, job)
                else:
                    self.eligible_since.pop(job.job_id, None)

    def record_wait(self, run: SimulationRun, job: QueuedJob) -> None:
        """Record a job as refused after the start limit."""
        since = self.eligible_since.setdefault(job.job_id, run.now)
        if run.now - since > MAX_START_WAIT_SECONDS:
            self.refused.add(job.job_id)


def count_cells(job: QueuedJob) -> int:
    """Return the cells of 8 accelerators that a job's members need."""
    members = MAX_CELL_ACCELERATORS // job.specification.accelerators_per_task
    return -(-job.specification.gang_size // members)


def compute_attainable(run: SimulationRun, keep_guaranteed: bool) -> int:
    """Return the most accelerators that unfinished jobs could use now.

    Per pool it is the largest sum of complete gangs, queued or running, that
    fits the usable accelerators. With ``keep_guaranteed`` it includes the running
    guaranteed gangs, because they cannot be preempted.
    """
    attainable = 0
    for pool in run.pools.values():
        if not pool.in_service:
            continue
        live = make_pool_masks(pool.definition, frozenset(pool.unusable)).values()
        capacity = sum(mask.bit_count() for mask in live)
        gangs = [job.specification for job in pool.queued.values()]
        for gang in pool.placed.values():
            if gang.borrowed or not keep_guaranteed:
                gangs.append(gang.specification)
            else:
                size = count_accelerators(gang.specification)
                capacity -= size
                attainable += size
        reachable_sums = 1
        for specification in gangs:
            reachable_sums |= reachable_sums << count_accelerators(specification)
            reachable_sums &= (1 << (max(capacity, 0) + 1)) - 1
        attainable += reachable_sums.bit_length() - 1
    return attainable


def measure_run(policy: object, workload: Workload) -> dict[str, float]:
    """Simulate a workload and return all measures.

    Parameters
    ----------
    policy : object
        Placement policy.
    workload : Workload
        Jobs, cancellations and failures.

    Returns
    -------
    dict of str to float
        Measures by name: times in seconds, shares from 0 to 1, counts.
    """
    observer = Observer()
    run = run_workload(policy, workload, observer.observe)
    measures = measure_completion(run)
    measures["fragmentation"] = observer.fragmented / max(observer.free, 1.0)
    measures["refused_in_guarantee"] = float(len(observer.refused))
    done = measure_work(run, *OUTAGE_WINDOW)
    measures["outage_work_share"] = done / max(observer.attainable_in_outage, 1.0)
    measures["outage_work_share_of_demand"] = done / max(
        observer.movable_in_outage, 1.0
    )
    for account, demand in sorted(observer.guaranteed_demand.items()):
        measures[f"share_{account}"] = observer.guaranteed_use[account] / max(
            demand, 1.0
        )
    measures["preemptions"] = float(run.preemptions)
    ran = sum(s.accelerators * (s.ended_at - s.started_at) for s in run.gang_runs)
    kept = sum(s.accelerators * s.kept_seconds for s in run.gang_runs)
    measures["lost_work_share"] = 1.0 - kept / max(ran, 1.0)
    return measures


def measure_completion(run: SimulationRun) -> dict[str, float]:
    """Return percentiles of completion times and urgent waits, and bounds."""
    measures = {}
    end = run.now
    for large, name in ((False, "small"), (True, "large")):
        jobs = [
            job
            for job in run.workload.jobs
            if job.large is large and job.job_id not in run.dropped
        ]
        times = [run.finished_at.get(job.job_id, end) - job.arrives_at for job in jobs]
        bounds = [job.run_seconds for job in jobs]
        for percent in (50, 99):
            measures[f"{name}_p{percent}"] = find_percentile(times, percent)
            measures[f"{name}_p{percent}_bound"] = find_percentile(bounds, percent)
        unfinished = sum(job.job_id not in run.finished_at for job in jobs)
        measures[f"{name}_unfinished"] = float(unfinished)
    urgent = [
        run.first_started_at.get(job.job_id, end) - job.arrives_at
        for job in run.workload.jobs
        if job.specification.urgent and job.job_id not in run.dropped
    ]
    measures["urgent_wait_p99"] = find_percentile(urgent, 99)
    measures["makespan"] = max(run.finished_at.values())
    measures["makespan_bound"] = bound_makespan(run)
    return measures


def bound_makespan(run: SimulationRun) -> float:
    """Return a lower bound of any policy's makespan."""
    jobs = [job for job in run.workload.jobs if job.job_id in run.finished_at]
    work = sum(job.run_seconds * count_accelerators(job.specification) for job in jobs)
    capacity = sum(s.accelerators for p in run.workload.pools for s in p.servers)
    path = max(job.arrives_at + job.run_seconds for job in jobs)
    return max(work / capacity, path)


def measure_work(run: SimulationRun, low: float, high: float) -> float:
    """Return the accelerator seconds of kept work in a window."""
    return sum(
        gang_run.accelerators
        * max(
            min(gang_run.started_at + gang_run.kept_seconds, high)
            - max(gang_run.started_at, low),
            0.0,
        )
        for gang_run in run.gang_runs
    )


def find_percentile(values: list[float], percent: float) -> float:
    """Return a percentile of durations in seconds, to a tenth."""
    histogram = HdrHistogram(1, MAX_HISTOGRAM_SECONDS * 10, HISTOGRAM_DIGITS)
    for value in values:
        histogram.record_value(max(1, round(value * 10)))
    return float(histogram.get_value_at_percentile(percent)) / 10
