"""Interface between the planner and the placement policies."""

from dataclasses import dataclass
from functools import singledispatch

from cardamomdyke.model.jobs import JobSpecification, MemberPlacement
from cardamomdyke.model.tables import Pool


@dataclass(frozen=True, slots=True)
class QueuedJob:
    """A job that waits for accelerators.

    Attributes
    ----------
    job_id : str
        Id of the job.
    specification : JobSpecification
        Shape, client account and urgency.
    queued_at : float
        Steady-clock time of its arrival, in seconds.
    requeued_at : float
        Steady-clock time of its last preemption, in seconds; 0 for none.
    """

    job_id: str
    specification: JobSpecification
    queued_at: float
    requeued_at: float = 0.0


@dataclass(frozen=True, slots=True)
class PlacedGang:
    """A gang that holds accelerators, from its reservation to its end.

    Attributes
    ----------
    job_id : str
        Id of the job.
    specification : JobSpecification
        Shape, client account and urgency.
    placements : tuple of MemberPlacement
        One entry per member.
    borrowed : bool
        True when it was placed outside its client account's guarantee, or no longer
        fits in it.
    started_at : float
        Steady-clock time of its start, in seconds.
    checkpoint_age_seconds : float
        Time since its last checkpoint: the work that each member loses in a stop.
    stopping : bool
        True once it was ordered to stop.
    queued_at : float
        Steady-clock time of the job's arrival, in seconds; 0 when not known, which
        protects the gang from reservations.
    """

    job_id: str
    specification: JobSpecification
    placements: tuple[MemberPlacement, ...]
    borrowed: bool
    started_at: float
    checkpoint_age_seconds: float = 0.0
    stopping: bool = False
    queued_at: float = 0.0


@dataclass(frozen=True, slots=True)
class PoolState:
    """Input of a placement policy.

    Attributes
    ----------
    pool : Pool
        Capacity and guarantees.
    queued : tuple of QueuedJob
        In arrival order.
    placed : tuple of PlacedGang
        Gangs that hold accelerators.
    unusable : frozenset of str
        Backend servers that accept no new tasks: unreachable, leaving or ejected.
    """

    pool: Pool
    queued: tuple[QueuedJob, ...]
    placed: tuple[PlacedGang, ...]
    unusable: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class PlannedStart:
    """A gang to reserve and start now.

    Attributes
    ----------
    job_id : str
        Id of the queued job.
    placements : tuple of MemberPlacement
        One entry per member.
    borrowed : bool
        True when it runs outside its client account's guarantee.
    """

    job_id: str
    placements: tuple[MemberPlacement, ...]
    borrowed: bool


@dataclass(frozen=True, slots=True)
class Preemption:
    """A gang to checkpoint and stop, so that another job can start.

    Attributes
    ----------
    job_id : str
        Job id of the placed gang, which is queued again.
    for_job_id : str
        Id of the queued job that needs its accelerators.
    """

    job_id: str
    for_job_id: str


@dataclass(frozen=True, slots=True)
class PoolPlan:
    """Starts and preemptions to carry out now.

    Attributes
    ----------
    starts : tuple of PlannedStart
        All fit at the same time.
    preemptions : tuple of Preemption
        A later plan starts the jobs that need the accelerators.
    """

    starts: tuple[PlannedStart, ...] = ()
    preemptions: tuple[Preemption, ...] = ()


@singledispatch
def plan_pool(policy: object, state: PoolState, now: float) -> PoolPlan:
    """Plan the starts and preemptions of a pool.

    Parameters
    ----------
    policy : object
        A frozen data class; its type selects the algorithm.
    state : PoolState
        Queue, placed gangs and capacity.
    now : float
        Steady-clock time, in seconds.

    Returns
    -------
    PoolPlan
        Starts and preemptions.
    """
    raise TypeError(f"no placement policy is registered for {type(policy).__name__}")
