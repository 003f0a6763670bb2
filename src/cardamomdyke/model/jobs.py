"""Job specifications, placements and states."""

from dataclasses import dataclass
from enum import StrEnum

from cardamomdyke.model.errors import Problem


class Adjacency(StrEnum):
    """What all members of a gang must share."""

    NONE = "none"
    SERVER = "server"
    RACK = "rack"


class JobState(StrEnum):
    """State of a job, as reported to callers."""

    QUEUED = "queued"
    RESERVING = "reserving"
    STARTING = "starting"
    RUNNING = "running"
    FINISHED = "finished"
    NOT_RUN = "not_run"
    NOT_KNOWN = "not_known"
    CANCELLED = "cancelled"


FINAL_STATES = frozenset(
    {JobState.FINISHED, JobState.NOT_RUN, JobState.NOT_KNOWN, JobState.CANCELLED}
)


@dataclass(frozen=True, slots=True)
class JobSpecification:
    """A job as a caller submits it.

    Attributes
    ----------
    client_account : str
        Client account that is billed.
    service : str
        Service whose pools may run it.
    accelerators_per_task : int
        Accelerators per member, all on one backend server.
    gang_size : int
        Members, which run together or not at all.
    adjacency : Adjacency
        Whether all members must share a backend server or a rack.
    run_seconds : float
        Declared run time; often wrong.
    deadline_seconds : float
        Seconds from submission after which the answer is useless; 0 for none.
    repeatable : bool
        True when the job may safely run twice.
    idempotency_key : str
        Caller's key; empty for none.
    urgent : bool
        True when it must start at once within the guarantee.
    payload : str
        Passed unchanged to every member.
    """

    client_account: str
    service: str
    accelerators_per_task: int = 1
    gang_size: int = 1
    adjacency: Adjacency = Adjacency.NONE
    run_seconds: float = 60.0
    deadline_seconds: float = 0.0
    repeatable: bool = False
    idempotency_key: str = ""
    urgent: bool = False
    payload: str = ""


@dataclass(frozen=True, slots=True)
class MemberPlacement:
    """Backend server and accelerators of one member of a gang.

    Attributes
    ----------
    server : str
        Name of the backend server.
    accelerators : tuple of int
        Indices of the accelerators on that server.
    """

    server: str
    accelerators: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class JobStatus:
    """State and results of a job, as reported to callers.

    Attributes
    ----------
    job_id : str
        Id assigned at submission.
    state : JobState
        Current state.
    recorded : bool
        True once the log service holds the job, so it survives its VM.
    pool : str
        Pool in which the job waits or runs.
    placements : tuple of MemberPlacement
        One entry per member, in member order; empty before placement.
    problem : Problem or None
        Why the job did not finish.
    answers : tuple of str
        One per member, in member order; empty until finished.
    """

    job_id: str
    state: JobState
    recorded: bool = False
    pool: str = ""
    placements: tuple[MemberPlacement, ...] = ()
    problem: Problem | None = None
    answers: tuple[str, ...] = ()
