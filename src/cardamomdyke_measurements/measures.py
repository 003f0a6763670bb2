"""The users' measures, taken while a run goes on."""

from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

from cardamomdyke.placement.cells import list_blocks, make_pool_masks
from cardamomdyke.placement.guarantees import find_guaranteed_work
from cardamomdyke.placement.plan import QueuedJob
from cardamomdyke_measurements.driver import (
    Run,
    Site,
    count_size,
    run_workload,
)
from cardamomdyke_measurements.workload import (
    HORIZON_SECONDS,
    OUTAGE_SECONDS,
    OUTAGE_START_SECONDS,
    Workload,
)

# Urgent work within a guarantee starts within this time, preemption included.
START_LIMIT_SECONDS = 4.2
LARGEST_CELL = 8
RETURN_SECONDS = 600.0
HISTOGRAM_MAXIMUM_SECONDS = 1_000_000
HISTOGRAM_DIGITS = 3
OUTAGE_WINDOW = (
    OUTAGE_START_SECONDS,
    OUTAGE_START_SECONDS + OUTAGE_SECONDS + RETURN_SECONDS,
)


@dataclass
class Observer:
    """Sums over time of what a run shows."""

    free: float = 0.0
    unfit: float = 0.0
    allowed_in_outage: float = 0.0
    demanded_in_outage: float = 0.0
    wanted: dict[str, float] = field(default_factory=dict)
    served: dict[str, float] = field(default_factory=dict)
    eligible_since: dict[str, float] = field(default_factory=dict)
    refused: set[str] = field(default_factory=set)

    def observe(self, run: Run, until: float) -> None:
        """Add the time up to the next moment."""
        seconds = until - run.now
        for job_id in list(self.eligible_since):
            if job_id not in run.site_of[job_id].queued:
                del self.eligible_since[job_id]
        for site in run.sites.values():
            if site.in_service:
                self.observe_refusals(run, site)
                if run.now < HORIZON_SECONDS:
                    self.observe_fragmentation(site, seconds)
                    self.observe_shares(site, seconds)
        low, high = OUTAGE_WINDOW
        overlap = min(until, high) - max(run.now, low)
        if overlap > 0:
            self.allowed_in_outage += overlap * measure_allowed(run, True)
            self.demanded_in_outage += overlap * measure_allowed(run, False)

    def observe_fragmentation(self, site: Site, seconds: float) -> None:
        """Add the free accelerators and those outside the largest free cells."""
        free = make_pool_masks(site.pool, frozenset(site.unusable))
        for gang in site.placed.values():
            for placement in gang.placements:
                if placement.server in free:
                    for index in placement.accelerators:
                        free[placement.server] &= ~(1 << index)
        total = sum(mask.bit_count() for mask in free.values())
        whole = sum(
            LARGEST_CELL
            for server in site.pool.servers
            for block in list_blocks(LARGEST_CELL, server.accelerators)
            if free.get(server.name, 0) & block == block
        )
        self.free += seconds * total
        self.unfit += seconds * (total - whole)

    def observe_shares(self, site: Site, seconds: float) -> None:
        """Add what accounts want of their guarantee, and what they get."""
        for row in site.pool.guarantees:
            account = row.client_account
            running = sum(
                count_size(g.specification)
                for g in site.placed.values()
                if g.specification.client_account == account and not g.stopping
            )
            waiting = sum(
                count_size(job.specification)
                for job in site.queued.values()
                if job.specification.client_account == account
                and count_size(job.specification) <= LARGEST_CELL * row.count
            )
            limit = LARGEST_CELL * row.count
            wanted = min(running + waiting, limit)
            self.wanted[account] = self.wanted.get(account, 0.0) + seconds * wanted
            served = seconds * min(running, limit)
            self.served[account] = self.served.get(account, 0.0) + served

    def observe_refusals(self, run: Run, site: Site) -> None:
        """Note jobs that wait although their account's free cells could hold them."""
        used = find_guaranteed_work(site.placed.values())
        for row in site.pool.guarantees:
            cells = used.get(row.client_account, {})
            bound = sum(bool(mask) for mask in cells.values())
            for job in site.queued.values():
                if job.specification.client_account != row.client_account:
                    continue
                if count_cells(job) <= row.count - bound:
                    self.note_wait(run, job)
                else:
                    self.eligible_since.pop(job.job_id, None)

    def note_wait(self, run: Run, job: QueuedJob) -> None:
        """Count a job once when it waits longer than a preemption takes."""
        since = self.eligible_since.setdefault(job.job_id, run.now)
        if run.now - since > START_LIMIT_SECONDS:
            self.refused.add(job.job_id)


def count_cells(job: QueuedJob) -> int:
    """Count the whole backend servers that a job's members need."""
    members = LARGEST_CELL // job.specification.accelerators_per_task
    return -(-job.specification.gang_size // members)


def measure_allowed(run: Run, keep_guaranteed: bool) -> int:
    """Return the accelerators that unfinished jobs could keep busy now.

    In each pool it is the largest sum of whole gangs, queued or running, that the
    live accelerators can hold. With ``keep_guaranteed`` the guaranteed gangs that
    run are part of the sum, because nothing may stop them.
    """
    allowed = 0
    for site in run.sites.values():
        if not site.in_service:
            continue
        live = make_pool_masks(site.pool, frozenset(site.unusable)).values()
        capacity = sum(mask.bit_count() for mask in live)
        gangs = [job.specification for job in site.queued.values()]
        for gang in site.placed.values():
            if gang.borrowed or not keep_guaranteed:
                gangs.append(gang.specification)
            else:
                size = count_size(gang.specification)
                capacity -= size
                allowed += size
        sums = 1
        for specification in gangs:
            sums |= sums << count_size(specification)
            sums &= (1 << (max(capacity, 0) + 1)) - 1
        allowed += sums.bit_length() - 1
    return allowed


def measure_run(policy: object, workload: Workload) -> dict[str, float]:
    """Run a workload under a policy and return all measures.

    Parameters
    ----------
    policy : object
        Placement policy.
    workload : Workload
        What happens.

    Returns
    -------
    dict of str to float
        Measures by name; times in seconds, shares from 0 to 1.
    """
    observer = Observer()
    run = run_workload(policy, workload, observer.observe)
    measures = measure_completion(run)
    measures["fragmentation"] = observer.unfit / max(observer.free, 1.0)
    measures["refused_in_guarantee"] = float(len(observer.refused))
    done = measure_work(run, *OUTAGE_WINDOW)
    measures["outage_work_share"] = done / max(observer.allowed_in_outage, 1.0)
    measures["outage_work_share_of_demand"] = done / max(
        observer.demanded_in_outage, 1.0
    )
    for account, wanted in sorted(observer.wanted.items()):
        measures[f"share_{account}"] = observer.served[account] / max(wanted, 1.0)
    measures["preemptions"] = float(run.preemptions)
    ran = sum(s.accelerators * (s.ended_at - s.started_at) for s in run.segments)
    kept = sum(s.accelerators * s.kept_seconds for s in run.segments)
    measures["lost_work_share"] = 1.0 - kept / max(ran, 1.0)
    return measures


def measure_completion(run: Run) -> dict[str, float]:
    """Return completion times and their lower bounds."""
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
        run.first_start.get(job.job_id, end) - job.arrives_at
        for job in run.workload.jobs
        if job.specification.urgent and job.job_id not in run.dropped
    ]
    measures["urgent_wait_p99"] = find_percentile(urgent, 99)
    measures["makespan"] = max(run.finished_at.values())
    measures["makespan_bound"] = bound_makespan(run)
    return measures


def bound_makespan(run: Run) -> float:
    """Return the earliest end that any policy could reach."""
    jobs = [job for job in run.workload.jobs if job.job_id in run.finished_at]
    work = sum(job.run_seconds * count_size(job.specification) for job in jobs)
    capacity = sum(s.accelerators for p in run.workload.pools for s in p.servers)
    path = max(job.arrives_at + job.run_seconds for job in jobs)
    return max(work / capacity, path)


def measure_work(run: Run, low: float, high: float) -> float:
    """Return the accelerator seconds in a window that were not lost."""
    return sum(
        segment.accelerators
        * max(
            min(segment.started_at + segment.kept_seconds, high)
            - max(segment.started_at, low),
            0.0,
        )
        for segment in run.segments
    )


def find_percentile(values: list[float], percent: float) -> float:
    """Return a percentile of durations, from a histogram in tenths of seconds."""
    histogram = HdrHistogram(1, HISTOGRAM_MAXIMUM_SECONDS * 10, HISTOGRAM_DIGITS)
    for value in values:
        histogram.record_value(max(1, round(value * 10)))
    return float(histogram.get_value_at_percentile(percent)) / 10
