"""Order of waiting jobs by what a delay costs their callers.

It answers the load of a pool with too little room for the work of one priority. In
order of arrival, each job waits behind all older ones, and under lasting overload
nearly all of them are late.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum
from math import log

from cardamomdyke.scheduling.objectives import (
    MIN_RUN_SECONDS,
    SPREAD,
    Objective,
    estimate_value,
    make_objective,
)

# Slack, in remaining run times, by which the weight of a job falls to 1/e. A job with
# more slack can be placed later without a loss.
SLACK_DECAY = 0.5
# Bounds the logarithms of work and value.
MIN_CORE_SECONDS = 1e-6
MIN_VALUE = 1e-6
# Share of the capacity that jobs of a priority use, up to which aged ones go first.
AGED_SHARE = 1.0

# Priority, share and pool.
GroupKey = tuple[int, bool, str]


class Standing(StrEnum):
    """What decides the place of a job within its priority and share, first to last.

    Attributes
    ----------
    LONG_RUNNING
        It runs until it is cancelled, so its start is all that its caller waits for.
    AGED
        It has waited for twice its objective.
    IN_TIME
        It can still complete within its objective.
    LATE
        A late completion still has part of its value.
    DEFERRED
        It has aged, and aged jobs hold their share of the capacity.
    TOO_LATE
        It has no value left, and has not aged.
    ARRIVAL
        No job of its pool, priority and share states an objective.
    """

    LONG_RUNNING = "long_running"
    AGED = "aged"
    IN_TIME = "in_time"
    LATE = "late"
    DEFERRED = "deferred"
    TOO_LATE = "too_late"
    ARRIVAL = "arrival"


PLACES = {standing: place for place, standing in enumerate(Standing)}


@dataclass(frozen=True, slots=True)
class WaitingJob:
    """What decides the rank of a job.

    Attributes
    ----------
    job_id : str
        Id of the job.
    pool : str
        Pool of the job.
    priority : int
        0 is the highest.
    beyond_share : bool
        True if its client account had submitted faster than agreed.
    arrived_at : float
        When the planner first read it, in steady-clock seconds.
    objective : Objective or None
        None if its route states none.
    remaining_seconds : float
        Run time of its longest remaining chain of steps.
    remaining_core_seconds : float
        Work of its tasks that have not started.
    running_cores : float
        Processor cores of its tasks that run; an accelerator counts as 8.
    is_ready : bool
        True if a task of it waits only for resources.
    long_running : bool
        True if it runs until it is cancelled.
    """

    job_id: str
    pool: str
    priority: int
    beyond_share: bool
    arrived_at: float
    objective: Objective | None = None
    remaining_seconds: float = 0.0
    remaining_core_seconds: float = 0.0
    running_cores: float = 0.0
    is_ready: bool = True
    long_running: bool = False

    @property
    def group(self) -> GroupKey:
        """Priority, share and pool; only jobs of one group are weighed."""
        return self.priority, self.beyond_share, self.pool


@dataclass(frozen=True, slots=True)
class Rank:
    """Place of a job in a planning pass.

    Attributes
    ----------
    job_id : str
        Id of the job.
    standing : Standing
        What decides the place.
    ahead_of : str
        Oldest job of its pool, priority and share that arrived earlier, waits, and
        ranks after it; empty for none.
    slack_seconds : float or None
        Time by which its start can be delayed within its objective, negative for a
        late one; None if it states none.
    """

    job_id: str
    standing: Standing
    ahead_of: str = ""
    slack_seconds: float | None = None


@dataclass(slots=True)
class Group:
    """Jobs of one priority, share and pool, which are weighed against one another.

    Attributes
    ----------
    default_seconds : float
        Longest objective that a job of it states, in seconds; 0 if none does. It
        counts for a job that states none.
    running_cores : float
        Processor cores of its running tasks, without long-running ones.
    aged_cores : float
        The same of its jobs that have waited for twice their objectives.
    """

    default_seconds: float = 0.0
    running_cores: float = 0.0
    aged_cores: float = 0.0


def rank_waiting(
    jobs: Iterable[WaitingJob], now: float, aged_share: float = AGED_SHARE
) -> list[Rank]:
    """Rank the waiting jobs of one planning pass, the first to place first.

    Jobs are ordered by priority, then by share, then by standing. A job that has aged
    is preceded only by jobs that aged before it, so that nothing that arrives after
    that time passes it over. Jobs that can be in time, or else of use, are ordered by
    the expected value for each core-second of work, which counts less the more slack
    there is.

    Parameters
    ----------
    jobs : iterable of WaitingJob
        Jobs of all pools; the order decides between equal ones.
    now : float
        Steady-clock seconds.
    aged_share : float
        Share of the cores that jobs of a group use, up to which aged ones go first; 1
        for always.

    Returns
    -------
    list of Rank
        One for each job.
    """
    listed = list(jobs)
    groups = make_groups(listed)
    weighed = []
    for job in listed:
        group = groups[job.group]
        standing, cost = weigh_job(job, group.default_seconds, now)
        if standing is Standing.AGED:
            group.aged_cores += job.running_cores
        if standing is not Standing.LONG_RUNNING:
            group.running_cores += job.running_cores
        weighed.append((job, standing, cost))
    ranked = []
    for job, standing, cost in weighed:
        if standing is Standing.AGED and not may_go_first(
            groups[job.group], aged_share
        ):
            standing = Standing.DEFERRED
        key = (job.priority, job.beyond_share, PLACES[standing], cost, job.arrived_at)
        ranked.append((key, job, standing))
    ranked.sort(key=lambda item: item[0])
    oldest: dict[GroupKey, WaitingJob] = {}
    ranks = []
    for _, job, standing in reversed(ranked):
        later = oldest.get(job.group)
        ahead_of = ""
        if later is not None and later.arrived_at < job.arrived_at:
            ahead_of = later.job_id
        slack = find_slack(job, now)
        ranks.append(Rank(job.job_id, standing, ahead_of, slack))
        if job.is_ready and (later is None or job.arrived_at <= later.arrived_at):
            oldest[job.group] = job
    ranks.reverse()
    return ranks


def find_slack(job: WaitingJob, now: float) -> float | None:
    """Return by how much the start of a job's remaining work can be delayed."""
    if job.objective is None:
        return None
    return job.objective.due_at - now - job.remaining_seconds


def make_groups(jobs: Iterable[WaitingJob]) -> dict[GroupKey, Group]:
    """Return the groups of some jobs, without their cores."""
    groups: dict[GroupKey, Group] = {}
    for job in jobs:
        group = groups.setdefault(job.group, Group())
        if job.objective is not None:
            group.default_seconds = max(group.default_seconds, job.objective.seconds)
    return groups


def may_go_first(group: Group, aged_share: float) -> bool:
    """Return whether aged jobs of a group go first."""
    return (
        aged_share >= 1.0
        or not group.aged_cores
        or group.aged_cores < aged_share * group.running_cores
    )


def weigh_job(
    job: WaitingJob, default_seconds: float, now: float
) -> tuple[Standing, float]:
    """Return what decides a job's place, and its place among jobs of that standing.

    Parameters
    ----------
    job : WaitingJob
        The job.
    default_seconds : float
        Longest objective of the job's group, in seconds, which counts for a job that
        states none; 0 if no job of it states one.
    now : float
        Steady-clock seconds.

    Returns
    -------
    tuple of (Standing, float)
        Of one standing, the job with the lowest number comes first.
    """
    if job.long_running and default_seconds:
        return Standing.LONG_RUNNING, job.arrived_at
    objective = job.objective or make_objective(
        job.arrived_at, 0.0, default_seconds, 0.0
    )
    if objective is None:
        return Standing.ARRIVAL, job.arrived_at
    if now >= objective.ages_at:
        return Standing.AGED, objective.ages_at
    run_seconds = max(MIN_RUN_SECONDS, job.remaining_seconds)
    soonest = now + run_seconds / SPREAD
    if soonest > objective.late_until:
        return Standing.TOO_LATE, objective.ages_at
    if soonest <= objective.due_at:
        standing, needed_at = Standing.IN_TIME, objective.due_at
    else:
        standing, needed_at = Standing.LATE, objective.late_until
    value = max(MIN_VALUE, estimate_value(objective, run_seconds, now))
    slack = max(0.0, needed_at - now - run_seconds)
    work = max(MIN_CORE_SECONDS, job.remaining_core_seconds)
    cost = log(work) - log(value) + slack / (SLACK_DECAY * run_seconds)
    return standing, cost
