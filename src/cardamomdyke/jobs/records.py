"""Records of jobs in the platform's store, and their encoding."""

from dataclasses import dataclass
from enum import StrEnum

from expression import Error, Ok, Result
from msgspec import DecodeError, Struct, ValidationError
from msgspec.msgpack import Decoder, encode

from cardamomdyke.model.orders import JobOrder

JOB_PREFIX = "j"
CANCELLATION_PREFIX = "c"
PROGRESS_PREFIX = "p"
# Index of a unit that is a whole gang.
GANG = -1


class JobPhase(StrEnum):
    """Phase of a job, as callers read it."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


FINAL_PHASES = frozenset({JobPhase.COMPLETED, JobPhase.FAILED, JobPhase.CANCELLED})


@dataclass(frozen=True, slots=True)
class JobRecord:
    """An accepted job.

    Attributes
    ----------
    job_id : str
        16 hexadecimal digits chosen by the caller.
    queue : str
        Name of the route that it came by.
    account : str
        Client account; empty when the caller gave no key.
    pool : str
        Pool that the route named at the time.
    priority : int
        Priority that the route had at the time.
    attempt_limit : int
        Limit of failed attempts at the time.
    stretch : float
        Accepted stretch at the time.
    target_seconds : float
        Completion time accepted beyond the stretch.
    accepted_at : float
        Unix time of the acceptance, in seconds.
    order : JobOrder
        What the caller asked for.
    """

    job_id: str
    queue: str
    account: str
    pool: str
    priority: int
    attempt_limit: int
    stretch: float
    target_seconds: float
    accepted_at: float
    order: JobOrder


class MemberRecord(Struct, frozen=True, array_like=True):
    """Where one task of an attempt was sent.

    Attributes
    ----------
    index : int
        Number of the task within its step.
    server : str
        Name of the backend server.
    instance : int
        Life of the server that the start was meant for.
    """

    index: int
    server: str
    instance: int


class UnitRecord(Struct, frozen=True, array_like=True):
    """Progress of what starts together: one task, or a whole gang.

    Records are written often, so they are encoded without field names.

    Attributes
    ----------
    occurrence : int
        Number of the occurrence.
    step : int
        Number of the step.
    index : int
        Number of the task; `GANG` for a whole step.
    done : bool
        True once it has ended as done.
    run : int
        Number of the last run; 0 for none.
    failed_runs : tuple of int
        Runs that failed.
    checkpoint : str
        Where the next run resumes; empty for none.
    members : tuple of MemberRecord
        Where the last run was sent; empty once it is known to be over.
    began_at : float
        Unix time of the last run's start in seconds, by the clock of the VM that
        planned it. Good for a rough age only; 0 when it is not known.
    """

    occurrence: int
    step: int
    index: int
    done: bool = False
    run: int = 0
    failed_runs: tuple[int, ...] = ()
    checkpoint: str = ""
    members: tuple[MemberRecord, ...] = ()
    began_at: float = 0.0


class JobProgress(Struct, frozen=True, array_like=True):
    """What the planner has recorded of a job.

    Attributes
    ----------
    phase : JobPhase
        Phase of the job.
    begun : bool
        True once a task has started.
    ended_at : float
        Unix time of the job's end, in seconds; 0 before.
    units : tuple of UnitRecord
        Units of open occurrences that have been started at least once.
    closed_below : int
        Every occurrence below this one is done.
    closed : tuple of int
        Later occurrences that are done.
    """

    phase: JobPhase
    begun: bool = False
    ended_at: float = 0.0
    units: tuple[UnitRecord, ...] = ()
    closed_below: int = 0
    closed: tuple[int, ...] = ()


_JOB_DECODER = Decoder(JobRecord)
_PROGRESS_DECODER = Decoder(JobProgress)


def encode_job(record: JobRecord) -> bytes:
    """Encode an accepted job."""
    return encode(record)


def decode_job(data: bytes) -> Result[JobRecord, str]:
    """Decode an accepted job; the error says why it cannot be read."""
    try:
        return Ok(_JOB_DECODER.decode(data))
    except (DecodeError, ValidationError) as error:
        return Error(str(error))


def encode_progress(progress: JobProgress) -> bytes:
    """Encode the progress of a job."""
    return encode(progress)


def decode_progress(data: bytes) -> Result[JobProgress, str]:
    """Decode the progress of a job; the error says why it cannot be read."""
    try:
        return Ok(_PROGRESS_DECODER.decode(data))
    except (DecodeError, ValidationError) as error:
        return Error(str(error))
