"""Records of jobs in the platform's store, in MessagePack."""

from dataclasses import dataclass
from enum import StrEnum

from expression import Error, Ok, Result
from msgspec import Struct
from msgspec.msgpack import Decoder, encode

from cardamomdyke.model.errors import DECODE_ERRORS
from cardamomdyke.model.orders import JobOrder

JOB_PREFIX = "j"
CANCELLATION_PREFIX = "c"
PROGRESS_PREFIX = "p"
# A cancellation of an id without a job; its value is the epoch of the withdrawal.
WITHDRAWAL_PREFIX = "w"
# A unit of a job whose progress does not fit into one record.
UNIT_PREFIX = "u"
# A part of a value that does not fit into one record.
FRAGMENT_PREFIX = "f"
# Index of a unit that is a whole gang.
GANG_INDEX = -1


class JobPhase(StrEnum):
    """Phase of a job, as callers see it."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


FINAL_PHASES = frozenset({JobPhase.COMPLETED, JobPhase.FAILED, JobPhase.CANCELLED})


@dataclass(frozen=True, slots=True)
class JobRecord:
    """An accepted job, with the settings of its route at that time.

    Attributes
    ----------
    job_id : str
        16 hexadecimal digits chosen by the caller.
    queue : str
        Name of the route.
    account : str
        Client account; empty when the caller gave no key.
    pool : str
        Pool of the route.
    priority : int
        Priority of the route.
    attempt_limit : int
        Limit of failed attempts.
    stretch : float
        Accepted stretch.
    target_seconds : float
        Completion time accepted beyond the stretch.
    accepted_at : float
        Unix time of the acceptance, in seconds.
    order : JobOrder
        As the caller submitted it.
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
        Instance of the server at that time, as Unix milliseconds of its start.
    """

    index: int
    server: str
    instance: int


class StartRecord(Struct, frozen=True, array_like=True):
    """A start of an earlier run that may still take effect.

    Attributes
    ----------
    index : int
        Number of the task within its step.
    server : str
        Name of the backend server.
    instance : int
        Instance of the server to which it was sent last.
    run : int
        Number of the run.
    """

    index: int
    server: str
    instance: int
    run: int


class UnitRecord(Struct, frozen=True, array_like=True):
    """Progress of a unit, which starts together: one task or a gang.

    Units are written often, so they are encoded without field names.

    Attributes
    ----------
    occurrence : int
        Number of the occurrence.
    step : int
        Number of the step.
    index : int
        Number of the task; `GANG_INDEX` for a whole gang.
    done : bool
        True once it has succeeded.
    run : int
        Number of the last run; 0 before the first.
    failed_runs : tuple of int
        Numbers of failed runs.
    checkpoint : str
        Checkpoint that the next run resumes from; empty for none.
    members : tuple of MemberRecord
        Where the last run was sent; empty once it is known to have ended.
    began_at : float
        Unix time of the last run's start in seconds, by the clock of the VM that
        planned it. Gives a rough age only; 0 when not known.
    crashes : tuple of (int, int)
        Index of a task and run number of each confirmed start at which its server
        crashed.
    silent_starts : tuple of (int, int)
        The same of starts after which the server fell silent.
    later_crashes : tuple of (int, int)
        The same of crashes that do not make the unit suspect.
    possible_crashes : tuple of (int, int)
        The same of starts of which it is not known whether they took effect.
    unsettled_starts : tuple of StartRecord
        Starts of earlier runs that got no answer.
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
    crashes: tuple[tuple[int, int], ...] = ()
    silent_starts: tuple[tuple[int, int], ...] = ()
    later_crashes: tuple[tuple[int, int], ...] = ()
    possible_crashes: tuple[tuple[int, int], ...] = ()
    unsettled_starts: tuple[StartRecord, ...] = ()


class JobProgress(Struct, frozen=True, array_like=True):
    """Progress of a job, as the planner records it.

    Attributes
    ----------
    phase : JobPhase
        Phase of the job.
    begun : bool
        True once a task has started.
    ended_at : float
        Unix time of the job's end, in seconds; 0 before.
    units : tuple of UnitRecord
        Units of open occurrences that have started.
    closed_below : int
        Occurrences with smaller numbers are done.
    closed : tuple of int
        Later occurrences that are done.
    split : bool
        True if the units have records of their own, and `units` is empty.
    """

    phase: JobPhase
    begun: bool = False
    ended_at: float = 0.0
    units: tuple[UnitRecord, ...] = ()
    closed_below: int = 0
    closed: tuple[int, ...] = ()
    split: bool = False


_JOB_DECODER = Decoder(JobRecord)
_PROGRESS_DECODER = Decoder(JobProgress)
_UNIT_DECODER = Decoder(UnitRecord)


def encode_job(record: JobRecord) -> bytes:
    """Encode an accepted job."""
    return encode(record)


def decode_job(data: bytes) -> Result[JobRecord, str]:
    """Decode an accepted job; the error says why it cannot be read."""
    try:
        return Ok(_JOB_DECODER.decode(data))
    except DECODE_ERRORS as error:
        return Error(str(error))


def encode_progress(progress: JobProgress) -> bytes:
    """Encode the progress of a job."""
    return encode(progress)


def decode_progress(data: bytes) -> Result[JobProgress, str]:
    """Decode the progress of a job; the error says why it cannot be read."""
    try:
        return Ok(_PROGRESS_DECODER.decode(data))
    except DECODE_ERRORS as error:
        return Error(str(error))


def encode_unit(unit: UnitRecord) -> bytes:
    """Encode the progress of a unit."""
    return encode(unit)


def decode_unit(data: bytes) -> Result[UnitRecord, str]:
    """Decode the progress of a unit; the error says why it cannot be read."""
    try:
        return Ok(_UNIT_DECODER.decode(data))
    except DECODE_ERRORS as error:
        return Error(str(error))
