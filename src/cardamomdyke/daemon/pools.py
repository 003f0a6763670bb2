"""Input of the placement policy, from a pool and its jobs."""

from dataclasses import dataclass

from cardamomdyke.adapters.backend import TaskReport
from cardamomdyke.gangs.phases import list_servers, outlived_start
from cardamomdyke.gangs.state import AnswerKind, Gang, Phase
from cardamomdyke.model.jobs import JobSpecification, JobStatus, MemberPlacement
from cardamomdyke.model.tables import Pool
from cardamomdyke.placement.plan import PlacedGang, PoolState, QueuedJob
from cardamomdyke.placement.policy import CellPolicy, make_default_policy

# At most one server in this many is avoided for failed jobs.
AVOIDED_SERVERS_DIVISOR = 3


@dataclass
class PlannedJob:
    """A job that this VM is responsible for.

    Attributes
    ----------
    specification : JobSpecification
        The job as submitted.
    status : JobStatus
        State as callers see it.
    gang : Gang
        State of its gang.
    queued_at : float
        Steady-clock seconds of its arrival here.
    accepted_at : float
        Unix time of its submission, in seconds.
    stepped_at : float
        Steady-clock seconds of the last step; minus infinity for none.
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
        Backend servers that accept no new tasks.
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
        Its input.
    planned_at : float
        Steady-clock seconds.
    """

    key: PlanKey
    planned_at: float


def make_policy() -> CellPolicy:
    """Create the placement policy in use."""
    return make_default_policy()


def make_pool_state(
    pool: Pool,
    jobs: list[PlannedJob],
    queued: list[PlannedJob],
    foreign: list[PlacedGang],
    unusable: frozenset[str],
) -> PoolState:
    """Create the input of the placement policy.

    Parameters
    ----------
    pool : Pool
        Capacity and guarantees.
    jobs : list of PlannedJob
        All jobs of the pool here.
    queued : list of PlannedJob
        Those that may start.
    foreign : list of PlacedGang
        Gangs in inventories that this planner did not place.
    unusable : frozenset of str
        Backend servers that accept no new tasks.

    Returns
    -------
    PoolState
        Input of `plan_pool`.
    """
    waiting = sorted(queued, key=lambda job: job.accepted_at)
    placed = [make_placed_gang(job) for job in jobs if check_holding(job.gang)]
    return PoolState(
        pool,
        tuple(
            QueuedJob(
                j.status.job_id, j.specification, j.queued_at, find_requeued_at(j)
            )
            for j in waiting
        ),
        (*placed, *foreign),
        unusable | list_avoided_servers(pool, queued),
    )


def list_avoided_servers(pool: Pool, queued: list[PlannedJob]) -> frozenset[str]:
    """Return backend servers on which queued jobs failed by themselves.

    They are avoided until those jobs are placed elsewhere, but at most a third of
    the pool is, so that a faulty job does not close the pool to others.
    """
    failed = [name for job in queued for name in job.gang.failed_servers]
    limit = len(pool.servers) // AVOIDED_SERVERS_DIVISOR
    return frozenset(list(dict.fromkeys(failed))[:limit])


def split_suspects(queued: list[PlannedJob]) -> list[list[PlannedJob]]:
    """Split queued jobs into groups that are planned one after the other.

    First the jobs at whose starts no server crashed, then each other one by itself.
    """
    sound = [job for job in queued if not job.gang.crashed_servers]
    suspects = [[job] for job in queued if job.gang.crashed_servers]
    return [sound, *suspects] if sound else suspects


def list_closed_servers(
    jobs: list[PlannedJob], queued: list[PlannedJob]
) -> frozenset[str]:
    """Return the servers on which a group of jobs must not start now.

    A suspect job starts beside no other start, so that a crash of the server counts
    against the job that caused it.

    Parameters
    ----------
    jobs : list of PlannedJob
        All jobs of the pool here.
    queued : list of PlannedJob
        One group of `split_suspects`.

    Returns
    -------
    frozenset of str
        Names of backend servers.
    """
    is_suspect = any(job.gang.crashed_servers for job in queued)
    starting = [
        job.gang
        for job in jobs
        if check_holding(job.gang)
        and (is_suspect or job.gang.crashed_servers)
        and not outlived_start(job.gang)
    ]
    return frozenset(name for gang in starting for name in list_servers(gang))


def check_uncertain(gang: Gang) -> bool:
    """Return whether members started by a previous planner may still run."""
    may_run = bool(gang.suspect_servers) or gang.unknown_history
    return gang.phase is Phase.QUEUED and may_run


def check_holding(gang: Gang) -> bool:
    """Return whether a gang may hold accelerators.

    A stopping one may until all of its members are gone or finished.
    """
    if gang.phase is not Phase.STOPPING:
        return bool(gang.placements) and gang.phase is not Phase.ENDED
    freed = (AnswerKind.GONE, AnswerKind.FINISHED)
    return any(member.state not in freed for member in gang.members)


def make_foreign_gang(server: str, report: TaskReport, service: str) -> PlacedGang:
    """Create a placed gang from a task that this planner did not place."""
    return PlacedGang(
        report.job_id,
        JobSpecification(report.client_account, service, len(report.accelerators)),
        (MemberPlacement(server, report.accelerators),),
        report.borrowed,
        started_at=0.0,
        checkpoint_age_seconds=report.checkpoint_age_seconds,
    )


def make_placed_gang(job: PlannedJob) -> PlacedGang:
    """Create a placed gang from a job of this planner."""
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


def find_requeued_at(job: PlannedJob) -> float:
    """Return when a stopped gang was queued again; 0 for never."""
    return job.gang.phase_entered_at if job.gang.attempts else 0.0


def make_plan_key(state: PoolState) -> PlanKey:
    """Create the key of a plan, without the ages of checkpoints."""
    return PlanKey(
        state.pool,
        tuple(job.job_id for job in state.queued),
        tuple((gang.job_id, gang.stopping) for gang in state.placed),
        state.unusable,
    )
