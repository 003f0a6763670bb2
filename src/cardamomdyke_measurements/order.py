"""Comparison of rules for the order of waiting jobs of one priority."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace
from heapq import heappop, heappush
from math import inf, sin, tau
from random import Random

from fire import Fire

from cardamomdyke.scheduling.objectives import (
    LATE_FACTOR,
    LATE_VALUE,
    MIN_RUN_SECONDS,
    SPREAD,
    estimate_value,
    make_objective,
)
from cardamomdyke.scheduling.ordering import (
    PLACES,
    WaitingJob,
    rank_waiting,
    weigh_job,
)

SLOTS = 400
PLAN_SECONDS = 0.1
ARRIVAL_SECONDS = 300.0
SWING = 0.55
SWING_SECONDS = 100.0
# Slots that waiting gangs may keep free, 4% of them as in the planner.
MAX_HELD_SLOTS = 16
# Job sizes and run times vary by this factor in either direction.
SIZE_FACTOR = 1.6
RUN_FACTOR = 2.0
# Load of the pool, as a multiple of what it can do.
LOADS = (0.8, 1.0, 1.2)
SEEDS = 5


@dataclass(frozen=True, slots=True)
class Kind:
    """Kind of work.

    Attributes
    ----------
    name : str
        Name of the kind.
    tasks : int
        Usual number of tasks, each on one slot.
    run_seconds : float
        Usual run time of a task.
    stretch, target_seconds : float
        Objective of its route.
    gang : bool
        True if the tasks run only together.
    load_share : float
        Share of the load.
    """

    name: str
    tasks: int
    run_seconds: float
    stretch: float
    target_seconds: float
    gang: bool
    load_share: float


KINDS = (
    Kind("single", 1, 2.0, 2.0, 1.0, False, 0.25),
    Kind("gang", 13, 11.0, 3.0, 1.0, True, 0.35),
    Kind("wide", 39, 8.0, 3.0, 3.0, False, 0.40),
)
ACCOUNTS = {"large": 0.55, "middle": 0.3, "small": 0.15}


@dataclass(slots=True)
class ListedJob:
    """A job of the comparison.

    Attributes
    ----------
    waiting : WaitingJob
        What a rule sees of it, by the declared run time.
    kind : Kind
        Kind of the job.
    account : str
        Client account.
    tasks : int
        Number of tasks.
    run_seconds : float
        Run time of each task.
    declared_seconds : float
        Declared run time.
    unstarted : int
        Tasks that have not started.
    started_at : float
        When the last task started.
    """

    waiting: WaitingJob
    kind: Kind
    account: str
    tasks: int
    run_seconds: float
    declared_seconds: float
    unstarted: int
    started_at: float = 0.0

    @property
    def accepted_seconds(self) -> float:
        """Accepted completion time, by the run time that it turned out to have."""
        return self.kind.stretch * self.run_seconds + self.kind.target_seconds

    @property
    def wait_seconds(self) -> float:
        """Time from the arrival to the start of the last task."""
        return self.started_at - self.waiting.arrived_at

    @property
    def value(self) -> float:
        """Value of the completion to the caller, from 0 to 1."""
        taken = self.wait_seconds + self.run_seconds
        if taken <= self.accepted_seconds:
            return 1.0
        return LATE_VALUE if taken <= LATE_FACTOR * self.accepted_seconds else 0.0


# Returns the cost of placing a job later; the highest loss has the lowest number.
Rule = Callable[[WaitingJob, float], float]


def weigh_deadline(job: WaitingJob, now: float) -> float:
    """Rank by due time."""
    return job.arrived_at if job.objective is None else job.objective.due_at


def weigh_slack(job: WaitingJob, now: float) -> float:
    """Rank by the time until the job has to start."""
    return weigh_deadline(job, now) - now - job.remaining_seconds


def weigh_work(job: WaitingJob, now: float) -> float:
    """Rank by remaining work."""
    return job.remaining_core_seconds


def weigh_value(job: WaitingJob, now: float) -> float:
    """Rank by expected value for each core-second."""
    if job.objective is None:
        return 0.0
    run_seconds = max(MIN_RUN_SECONDS, job.remaining_seconds)
    value = estimate_value(job.objective, run_seconds, now)
    return -value / max(MIN_RUN_SECONDS, job.remaining_core_seconds)


RULES: dict[str, Rule] = {
    "arrival": lambda job, now: job.arrived_at,
    "deadline": weigh_deadline,
    "slack": weigh_slack,
    "least work": weigh_work,
    "value": weigh_value,
}
# The rule of the planner, which weighs value, work and slack.
CHOSEN = "chosen"


@dataclass(frozen=True, slots=True)
class Variant:
    """A rule, with or without aging.

    Attributes
    ----------
    rule : str
        Name of the rule.
    aged_share : float
        Share of the slots in use up to which aged jobs go first; 0 for no aging.
    """

    rule: str
    aged_share: float = 0.0

    @property
    def name(self) -> str:
        """Name in the table."""
        if not self.aged_share:
            return self.rule
        share = "" if self.aged_share == 1.0 else f" to {self.aged_share:g}"
        return f"{self.rule}, aged{share}"


VARIANTS = (
    *(Variant(rule, share) for rule in RULES for share in (0.0, 1.0)),
    *(Variant(CHOSEN, share) for share in (0.0, 0.25, 0.5, 1.0)),
)


def draw_jobs(
    seed: int, load: float, seconds: float = ARRIVAL_SECONDS
) -> list[ListedJob]:
    """Draw the jobs of one comparison, in order of arrival.

    Parameters
    ----------
    seed : int
        Seed of the generator.
    load : float
        Mean load, as a multiple of what the pool can do; it swings by `SWING`.
    seconds : float
        Time for which jobs arrive.
    """
    random = Random(seed)
    jobs: list[ListedJob] = []
    for kind in KINDS:
        usual_work = kind.tasks * kind.run_seconds
        rate = load * SLOTS * kind.load_share / usual_work
        at = random.expovariate(rate * (1.0 + SWING))
        while at < seconds:
            level = 1.0 + SWING * sin(tau * at / SWING_SECONDS)
            if random.random() * (1.0 + SWING) < level:
                jobs.append(draw_job(random, kind, at, len(jobs)))
            at += random.expovariate(rate * (1.0 + SWING))
    return sorted(jobs, key=lambda job: job.waiting.arrived_at)


def draw_job(random: Random, kind: Kind, at: float, number: int) -> ListedJob:
    """Draw one job, whose declared run time is off by up to `SPREAD`."""
    tasks = max(1, round(kind.tasks * SIZE_FACTOR ** random.uniform(-1.0, 1.0)))
    tasks = tasks if kind.tasks > 1 else 1
    run_seconds = kind.run_seconds * RUN_FACTOR ** random.uniform(-1.0, 1.0)
    declared = run_seconds * SPREAD ** random.uniform(-1.0, 1.0)
    (account,) = random.choices(list(ACCOUNTS), list(ACCOUNTS.values()))
    waiting = WaitingJob(
        str(number),
        "pool",
        1,
        False,
        at,
        make_objective(at, kind.stretch, kind.target_seconds, declared),
        declared,
        tasks * declared,
    )
    return ListedJob(waiting, kind, account, tasks, run_seconds, declared, tasks)


def order_jobs(jobs: list[ListedJob], variant: Variant, now: float) -> list[ListedJob]:
    """Return the jobs in the order of a variant."""
    if variant.rule == CHOSEN and variant.aged_share:
        by_id = {job.waiting.job_id: job for job in jobs}
        ranks = rank_waiting((job.waiting for job in jobs), now, variant.aged_share)
        return [by_id[rank.job_id] for rank in ranks]
    return sorted(jobs, key=lambda job: weigh_listed(job.waiting, variant, now))


def weigh_listed(
    job: WaitingJob, variant: Variant, now: float
) -> tuple[float, float, float]:
    """Return the sort key of a job: whether it has aged, its cost, its arrival."""
    objective = job.objective
    if objective is None:
        raise ValueError("draw jobs with an objective")
    if variant.rule == CHOSEN:
        unaged = replace(job, objective=replace(objective, ages_at=inf))
        standing, cost = weigh_job(unaged, objective.seconds, now)
        return PLACES[standing], cost, job.arrived_at
    if variant.aged_share and now >= objective.ages_at:
        return 0.0, objective.ages_at, job.arrived_at
    return 1.0, RULES[variant.rule](job, now), job.arrived_at


def run_jobs(jobs: Sequence[ListedJob], variant: Variant) -> None:
    """Run all jobs on a pool of identical slots, planned every 0.1 s.

    A gang that does not fit keeps slots free, up to a limit, from jobs after it.
    """
    arriving = list(reversed(jobs))
    known: dict[str, ListedJob] = {}
    ends: list[tuple[float, int, str]] = []
    free, now = SLOTS, 0.0
    while arriving or known:
        now += PLAN_SECONDS
        while ends and ends[0][0] <= now:
            _, ended, job_id = heappop(ends)
            free += ended
            count_tasks(known[job_id], -ended)
            if not known[job_id].unstarted and not known[job_id].waiting.running_cores:
                del known[job_id]
        while arriving and arriving[-1].waiting.arrived_at <= now:
            job = arriving.pop()
            known[job.waiting.job_id] = job
        held = 0
        for job in order_jobs(list(known.values()), variant, now) if free else ():
            if free <= held:
                break
            started = min(job.unstarted, free - held)
            if job.kind.gang and started < job.unstarted:
                held = min(MAX_HELD_SLOTS, held + job.unstarted)
            elif started:
                free -= started
                heappush(ends, (now + job.run_seconds, started, job.waiting.job_id))
                job.unstarted -= started
                job.started_at = now
                count_tasks(job, started)


def count_tasks(job: ListedJob, started: int) -> None:
    """Update what a rule sees of a job after tasks of it started or ended."""
    job.waiting = replace(
        job.waiting,
        remaining_core_seconds=job.unstarted * job.declared_seconds,
        running_cores=job.waiting.running_cores + started,
    )


def summarize_jobs(jobs: Sequence[ListedJob]) -> dict[str, float]:
    """Return what callers got.

    Returns
    -------
    dict of str to float
        Share of the possible value, by job and by work; shares of the jobs in time,
        late and too late; longest wait, in seconds and in objectives; and for each
        kind and account its share of the possible value and its longest wait in
        objectives.
    """
    work = [job.tasks * job.run_seconds for job in jobs]
    total = sum(load * job.value for load, job in zip(work, jobs, strict=True))
    summary = {
        "value": measure_value(jobs),
        "value by work": total / sum(work),
        "in time": sum(job.value == 1.0 for job in jobs) / len(jobs),
        "late": sum(job.value == LATE_VALUE for job in jobs) / len(jobs),
        "too late": sum(job.value == 0.0 for job in jobs) / len(jobs),
        "longest s": max(job.wait_seconds for job in jobs),
        "longest": find_longest(jobs),
    }
    for kind in KINDS:
        group = [job for job in jobs if job.kind is kind]
        summary[kind.name] = measure_value(group)
        summary[f"{kind.name} longest"] = find_longest(group)
    for account in ACCOUNTS:
        group = [job for job in jobs if job.account == account]
        summary[account] = measure_value(group)
        summary[f"{account} longest"] = find_longest(group)
    return summary


def measure_value(jobs: Sequence[ListedJob]) -> float:
    """Return the share of the possible value that the callers of some jobs got."""
    return sum(job.value for job in jobs) / len(jobs)


def find_longest(jobs: Sequence[ListedJob]) -> float:
    """Return the longest wait of some jobs, as a multiple of the objective."""
    return max(job.wait_seconds / job.accepted_seconds for job in jobs)


def compare_rules(load: float, seeds: Sequence[int]) -> dict[str, dict[str, float]]:
    """Return the mean summary of each rule, with and without aging.

    Parameters
    ----------
    load : float
        Mean load, as a multiple of what the pool can do.
    seeds : sequence of int
        Seeds of the job lists; each rule gets the same ones.
    """
    report = {}
    for variant in VARIANTS:
        summaries = []
        for seed in seeds:
            jobs = draw_jobs(seed, load)
            run_jobs(jobs, variant)
            summaries.append(summarize_jobs(jobs))
        report[variant.name] = {
            name: sum(summary[name] for summary in summaries) / len(summaries)
            for name in summaries[0]
        }
    return report


def print_table(title: str, report: dict[str, dict[str, float]]) -> None:
    """Print a report as a table with a line for each rule."""
    names = list(next(iter(report.values())))
    print(f"\n{title}\n\n| rule | " + " | ".join(names) + " |")
    print("| --- " * (len(names) + 1) + "|")
    for rule, summary in report.items():
        print(f"| {rule} | " + " | ".join(f"{x:.3f}" for x in summary.values()) + " |")


def main(seeds: int = SEEDS) -> None:
    """Print what each rule gives, as a table for each load.

    Parameters
    ----------
    seeds : int
        Job lists for each load and rule.
    """
    for load in LOADS:
        print_table(f"Load {load}", compare_rules(load, range(seeds)))


if __name__ == "__main__":
    Fire(main)
