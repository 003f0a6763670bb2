"""Random workloads: jobs, cancellations and failures in virtual time."""

from dataclasses import dataclass

from numpy import exp, log
from numpy.random import Generator, default_rng

from cardamomdyke.model.jobs import Adjacency, JobSpecification
from cardamomdyke.model.tables import Pool, Tables

HORIZON_SECONDS = 8 * 3600.0
SMALL_JOBS = 420
LARGE_JOBS = 36
SMALL_BURSTS = 6
LARGE_BURSTS = 8
BURST_SECONDS = 60.0
BURST_SHARE = 0.6
MEDIAN_SMALL_RUN_SECONDS = 500.0
MEDIAN_LARGE_RUN_SECONDS = 1800.0
RUN_LOG_DEVIATION = 1.0
MISDECLARED_SHARE = 0.3
MAX_MISDECLARED_FACTOR = 10.0
IMPOSSIBLE_SHARE = 0.02
URGENT_SHARE = 0.1
CANCELLED_SHARE = 0.15
CANCELLATION_WAVES = 2
CHECKPOINT_ON_REQUEST_SHARE = 0.7
CHECKPOINTING_SHARE = 0.7
CHECKPOINT_SECONDS = 300.0
OUTAGE_START_SECONDS = 0.4 * HORIZON_SECONDS
OUTAGE_SECONDS = 3600.0
FAULTY_START_SECONDS = 0.1 * HORIZON_SECONDS
FAULTY_SECONDS = 3600.0
LARGE_SHAPES = (
    (1, 16),
    (2, 8),
    (4, 4),
    (8, 2),
    (4, 6),
    (8, 4),
    (2, 16),
    (8, 6),
    (8, 8),
)
SMALL_SIZES = (1, 1, 1, 2, 2, 4, 8)
ACCOUNT_SHARES = (0.4, 0.3, 0.2, 0.1)


@dataclass(frozen=True, slots=True)
class SimulatedJob:
    """A job and the properties that the scheduler cannot see.

    Attributes
    ----------
    job_id : str
        Id of the job.
    arrives_at : float
        Submission time, in virtual seconds.
    specification : JobSpecification
        What the caller declares.
    run_seconds : float
        True run time on the declared accelerators.
    checkpoint_seconds : float
        Period of its checkpoints; 0 for none.
    checkpoints_on_request : bool
        Whether it saves a checkpoint when told to stop.
    large : bool
        Whether the gang has 16 or more accelerators.
    reported_age_factor : float
        Reported checkpoint age as a multiple of the actual one.
    """

    job_id: str
    arrives_at: float
    specification: JobSpecification
    run_seconds: float
    checkpoint_seconds: float
    checkpoints_on_request: bool
    large: bool
    reported_age_factor: float


@dataclass(frozen=True, slots=True)
class Workload:
    """Pools and their external events.

    Attributes
    ----------
    pools : tuple of Pool
        Backend servers and guarantees.
    jobs : tuple of SimulatedJob
        In arrival order.
    cancellations : tuple of tuple of float and str
        Times in seconds, and job ids.
    outage_domain : str
        Failure domain out of service for an hour.
    faulty_server : str
        Backend server on which gangs that start within one hour fail.
    """

    pools: tuple[Pool, ...]
    jobs: tuple[SimulatedJob, ...]
    cancellations: tuple[tuple[float, str], ...]
    outage_domain: str
    faulty_server: str


def draw_workload(tables: Tables, seed: int) -> Workload:
    """Draw a workload; equal seeds give equal workloads.

    Parameters
    ----------
    tables : Tables
        Pools and client accounts of a deployment.
    seed : int
        Seed of all random numbers.
    """
    random = default_rng(seed)
    times = [
        *((at, False) for at in draw_times(random, SMALL_JOBS, SMALL_BURSTS)),
        *((at, True) for at in draw_times(random, LARGE_JOBS, LARGE_BURSTS)),
    ]
    jobs = tuple(
        draw_job(random, tables, f"job-{number}", at, large)
        for number, (at, large) in enumerate(sorted(times))
    )
    pool = tables.pools[int(random.integers(len(tables.pools)))]
    faulty_pool = tables.pools[int(random.integers(len(tables.pools)))]
    server = faulty_pool.servers[int(random.integers(len(faulty_pool.servers)))]
    return Workload(
        tables.pools,
        jobs,
        draw_cancellations(random, jobs),
        pool.failure_domain,
        server.name,
    )


def draw_times(random: Generator, count: int, bursts: int) -> list[float]:
    """Draw arrival seconds, 60 % of them in bursts of a minute."""
    in_bursts = int(count * BURST_SHARE)
    starts = random.uniform(0.0, HORIZON_SECONDS - BURST_SECONDS, bursts)
    burst_starts = starts[random.integers(bursts, size=in_bursts)]
    burst_times = burst_starts + random.uniform(0.0, BURST_SECONDS, in_bursts)
    others = random.uniform(0.0, HORIZON_SECONDS, count - in_bursts)
    return [float(at) for at in (*burst_times, *others)]


def draw_factor(random: Generator) -> float:
    """Draw a declaration's error factor log-uniformly from 0.1 to 10."""
    limit = log(MAX_MISDECLARED_FACTOR)
    return float(exp(random.uniform(-limit, limit)))


def draw_job(
    random: Generator, tables: Tables, job_id: str, at: float, large: bool
) -> SimulatedJob:
    """Draw one job that arrives at a time."""
    accounts = list(dict.fromkeys(route.client_account for route in tables.routes))
    account = accounts[int(random.choice(len(ACCOUNT_SHARES), p=ACCOUNT_SHARES))]
    median = MEDIAN_LARGE_RUN_SECONDS if large else MEDIAN_SMALL_RUN_SECONDS
    run = median * float(exp(random.normal(0.0, RUN_LOG_DEVIATION)))
    size, gang = draw_shape(random, large)
    if not large and random.random() < MISDECLARED_SHARE:
        declared = round_size(size * draw_factor(random))
        run *= max(1.0, size / declared)
        size = declared
    if random.random() < IMPOSSIBLE_SHARE:
        size, gang = 16, 4
    specification = JobSpecification(
        account,
        tables.pools[0].service,
        size,
        gang,
        Adjacency.RACK if gang > 1 else Adjacency.NONE,
        run_seconds=run * draw_factor(random),
        urgent=not large and bool(random.random() < URGENT_SHARE),
    )
    period = CHECKPOINT_SECONDS if random.random() < CHECKPOINTING_SHARE else 0.0
    checkpoints_on_request = bool(random.random() < CHECKPOINT_ON_REQUEST_SHARE)
    factor = draw_factor(random)
    return SimulatedJob(
        job_id, at, specification, run, period, checkpoints_on_request, large, factor
    )


def draw_shape(random: Generator, large: bool) -> tuple[int, int]:
    """Draw the accelerators per member and the gang size."""
    if large:
        return LARGE_SHAPES[int(random.integers(len(LARGE_SHAPES)))]
    return SMALL_SIZES[int(random.integers(len(SMALL_SIZES)))], 1


def round_size(size: float) -> int:
    """Return the nearest size that one backend server can hold."""
    return max(1, min(8, round(size)))


def draw_cancellations(
    random: Generator, jobs: tuple[SimulatedJob, ...]
) -> tuple[tuple[float, str], ...]:
    """Draw two waves that each cancel 15 % of the last hour's jobs."""
    cancellations = []
    for wave in range(CANCELLATION_WAVES):
        at = HORIZON_SECONDS * (wave + 1) / (CANCELLATION_WAVES + 1)
        for job in jobs:
            recent = at - 3600.0 < job.arrives_at < at
            if recent and random.random() < CANCELLED_SHARE:
                cancellations.append((at, job.job_id))
    return tuple(cancellations)
