"""Describes a pool and its jobs to the placement policy."""

from dataclasses import dataclass

from cardamomdyke.adapters.backend import TaskReport
from cardamomdyke.gangs.state import AnswerKind, Gang, Phase
from cardamomdyke.model.jobs import JobSpecification, JobStatus, MemberPlacement
from cardamomdyke.model.tables import Pool
from cardamomdyke.placement.plan import PlacedGang, PoolState, QueuedJob
from cardamomdyke.placement.policy import CellPolicy, make_default_policy

# At most one server in this many is avoided for failed jobs.
AVOIDED_SERVERS_DIVISOR = 3


@dataclass
class PlannedJob:
    """One job that this VM is responsible for.

    Attributes
    ----------
    specification : JobSpecification
        What the caller asked for.
    status : JobStatus
        State as callers see it.
    gang : Gang
        State of its gang.
    queued_at : float
        Monotonic time of its arrival here, in seconds.
    accepted_at : float
        Unix time of its submission, in seconds.
    stepped_at : float
        Monotonic time of the last step, in seconds.
    """

    specification: JobSpecification
    status: JobStatus
    gang: Gang
    queued_at: float
    accepted_at: float
    stepped_at: float = float("-inf")


@dataclass(frozen=True, slots=True)
class PlanKey:
    """What the plan of a pool depends on.

    Attributes
    ----------
    pool : Pool
        Capacity and guarantees.
    queued : tuple of str
        Ids of the jobs that may start.
    placed : tuple of (str, bool)
        Id of each placed gang and whether it is being stopped.
    unusable : frozenset of str
        Backend servers that take nothing new.
    """

    pool: Pool
    queued: tuple[str, ...]
    placed: tuple[tuple[str, bool], ...]
    unusable: frozenset[str]


@dataclass(frozen=True, slots=True)
class LastPlan:
    """The last plan of a pool.

    Attributes
    ----------
    key : PlanKey
        What it depended on.
    planned_at : float
        Monotonic time, in seconds.
    """

    key: PlanKey
    planned_at: float


def make_policy() -> CellPolicy:
    """Return the placement policy in use."""
    return make_default_policy()


def describe_pool(
    pool: Pool,
    jobs: list[PlannedJob],
    queued: list[PlannedJob],
    foreign: list[PlacedGang],
    unusable: frozenset[str],
) -> PoolState:
    """Return what the policy decides on.

    Parameters
    ----------
    pool : Pool
        Capacity and guarantees.
    jobs : list of PlannedJob
        All jobs of the pool here.
    queued : list of PlannedJob
        Those that may start.
    foreign : list of PlacedGang
        Gangs that inventories show and that are not placed from here.
    unusable : frozenset of str
        Backend servers that take nothing new.

    Returns
    -------
    PoolState
        Input of `plan_pool`.
    """
    waiting = sorted(queued, key=lambda job: job.accepted_at)
    placed = [make_placed(job) for job in jobs if check_holding(job.gang)]
    return PoolState(
        pool,
        tuple(
            QueuedJob(j.status.job_id, j.specification, j.queued_at, find_return(j))
            for j in waiting
        ),
        (*placed, *foreign),
        unusable | list_avoided(pool, queued),
    )


def list_avoided(pool: Pool, queued: list[PlannedJob]) -> frozenset[str]:
    """Return backend servers on which queued jobs failed by themselves.

    They rest until those jobs are placed elsewhere, but never more than a third
    of the pool, so that a faulty job does not close the pool to others.
    """
    failed = [name for job in queued for name in job.gang.failed_servers]
    limit = len(pool.servers) // AVOIDED_SERVERS_DIVISOR
    return frozenset(list(dict.fromkeys(failed))[:limit])


def check_uncertain(gang: Gang) -> bool:
    """Tell whether a former planner's members of the gang may still run."""
    waits = bool(gang.suspect_servers) or gang.unknown_history
    return gang.phase is Phase.QUEUED and waits


def check_holding(gang: Gang) -> bool:
    """Tell whether a gang may hold accelerators."""
    if gang.phase is not Phase.STOPPING:
        return bool(gang.placements) and gang.phase is not Phase.ENDED
    freed = (AnswerKind.GONE, AnswerKind.FINISHED)
    return any(member.state not in freed for member in gang.members)


def make_foreign(server: str, report: TaskReport, service: str) -> PlacedGang:
    """Return a member that is not placed from here as the policy sees it."""
    return PlacedGang(
        report.job_id,
        JobSpecification(report.client_account, service, len(report.accelerators)),
        (MemberPlacement(server, report.accelerators),),
        report.borrowed,
        started_at=0.0,
        checkpoint_age_seconds=report.checkpoint_age_seconds,
    )


def make_placed(job: PlannedJob) -> PlacedGang:
    """Return a gang of this planner as the policy sees it."""
    ages = (member.checkpoint_age_seconds for member in job.gang.members)
    stopping = job.gang.phase in (Phase.CHECKPOINTING, Phase.STOPPING)
    started = job.gang.started_at
    return PlacedGang(
        job.status.job_id,
        job.specification,
        job.gang.placements,
        job.gang.borrowed,
        started_at=started if started != float("inf") else job.gang.phase_entered_at,
        checkpoint_age_seconds=max(ages, default=0.0),
        stopping=stopping,
        queued_at=job.queued_at,
    )


def find_return(job: PlannedJob) -> float:
    """Return when a stopped gang went back to the queue; 0 if it never did."""
    return job.gang.phase_entered_at if job.gang.attempts else 0.0


def make_plan_key(state: PoolState) -> PlanKey:
    """Return what a new plan could depend on, without the ages of checkpoints."""
    return PlanKey(
        state.pool,
        tuple(job.job_id for job in state.queued),
        tuple((gang.job_id, gang.stopping) for gang in state.placed),
        state.unusable,
    )
