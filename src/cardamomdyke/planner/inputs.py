"""What the planner remembers of arrivals, shares, runs and records, and its limits.

Times are seconds on the daemon's steady clock.
"""

from dataclasses import dataclass

from cardamomdyke.jobs.layout import Entry, StoredProgress
from cardamomdyke.model.orders import StepOrder, TaskId
from cardamomdyke.scheduling.objectives import StepWork

# Occurrence, step, and index of the task or `GANG_INDEX`.
UnitKey = tuple[int, int, int]
# Task and number of the run.
RunKey = tuple[TaskId, int]


@dataclass(frozen=True, slots=True)
class UrgentArrival:
    """Arrival of an urgent job.

    Attributes
    ----------
    at : float
        Steady-clock seconds.
    pool : str
        Pool of the job.
    steps : tuple of StepOrder
        Steps of the job.
    """

    at: float
    pool: str
    steps: tuple[StepOrder, ...]


@dataclass(frozen=True, slots=True)
class LapsedRun:
    """A run that was lost with a server that stays silent.

    Attributes
    ----------
    server : str
        Name of the server.
    instance : int
        Instance to which the start was addressed.
    address : str
        Address of the server.
    job_id : str
        Job of the run.
    unit_key : UnitKey
        Unit of the run.
    index : int
        Index of the task within its step.
    run : int
        Number of the run.
    lapsed_at : float
        When the server's leases had expired, in steady-clock seconds.
    at_start : bool
        True if the run had not outlived its start.
    confirmed : bool
        True if the server had confirmed the start.
    """

    server: str
    instance: int
    address: str
    job_id: str
    unit_key: UnitKey
    index: int
    run: int
    lapsed_at: float
    at_start: bool
    confirmed: bool


@dataclass(slots=True)
class UnsettledStart:
    """A start that got no answer and may still take effect.

    Attributes
    ----------
    instance : int
        Instance of the server to which it was sent last.
    calls : int
        Number of calls that may not have been carried out, with the answered ones.
    answers : int
        Number of calls that were answered.
    sent_at : float
        When it was sent last, in steady-clock seconds.
    stop_sent_at : float
        When its stop was last sent to a later instance; 0 for never.
    stopped_instance : int
        Later instance that confirmed the stop; 0 for none.
    """

    instance: int
    calls: int = 0
    answers: int = 0
    sent_at: float = 0.0
    stop_sent_at: float = 0.0
    stopped_instance: int = 0


@dataclass(frozen=True, slots=True)
class Outline:
    """What the ranking needs of a job and changes only with its progress.

    Attributes
    ----------
    version : tuple of int
        Revision, next occurrence and number of units of the job.
    occurrence : int
        First occurrence that is open and not done; -1 for none.
    waiting_since : float
        From when on the caller waits for it, in steady-clock seconds.
    steps : tuple of StepWork
        What is left of each step, over all open occurrences.
    running_cores : float
        Processor cores of the tasks that run; an accelerator counts as 8.
    is_ready : bool
        True if a task waits only for resources.
    long_running : bool
        True if a step runs until the job is cancelled.
    """

    version: tuple[int, int, int]
    occurrence: int
    waiting_since: float
    steps: tuple[StepWork, ...]
    running_cores: float
    is_ready: bool
    long_running: bool


@dataclass(frozen=True, slots=True)
class SetAside:
    """A job that could not be planned because of an unexpected error.

    Attributes
    ----------
    error : str
        Error of the last try.
    next_try_at : float
        When it is planned again, in steady-clock seconds.
    """

    error: str
    next_try_at: float


@dataclass(frozen=True, slots=True)
class Silence:
    """A server to which no planner grants a lease until its record is removed.

    Attributes
    ----------
    origin : str
        Identifies the silence; later planners keep it.
    fence : int
        Fencing token of the planner that recorded it last.
    since : float
        From when on no lease was granted, at the latest, in steady-clock seconds of
        this daemon.
    recorded_at : float
        When this planner recorded it last, by the same clock; 0 for not yet.
    """

    origin: str
    fence: int
    since: float
    recorded_at: float = 0.0


@dataclass(frozen=True, slots=True)
class UnrecordedEnd:
    """An end of a run whose effect on its job is not recorded yet.

    Attributes
    ----------
    number : int
        Number of the end on its server.
    job_id : str
        Job of the run.
    revision : int
        Revision of the job's progress that has to be recorded first.
    """

    number: int
    job_id: str
    revision: int


@dataclass(slots=True)
class ProgressWrite:
    """Progress of a job that is being appended, in one append or several.

    Attributes
    ----------
    job_id : str
        Id of the job.
    revision : int
        Revision of the progress.
    entries : list of Entry
        Records to append, in order.
    appended : int
        Number of entries that are stored.
    stored : StoredProgress
        What the store holds once all entries are stored.
    starts : tuple of (UnitKey, int)
        Unit and run number of attempts to start afterwards.
    """

    job_id: str
    revision: int
    entries: list[Entry]
    stored: StoredProgress
    starts: tuple[tuple[UnitKey, int], ...]
    appended: int = 0


@dataclass(frozen=True, slots=True)
class RefusedProgress:
    """Progress of a job that the store does not take.

    Attributes
    ----------
    detail : str
        Answer of the store.
    next_try_at : float
        When it is appended again, in steady-clock seconds.
    """

    detail: str
    next_try_at: float


@dataclass(slots=True)
class ShareBalance:
    """Jobs that an account may submit now within its share.

    Attributes
    ----------
    jobs : float
        Number of jobs; a submission takes one.
    updated_at : float
        Steady-clock seconds.
    """

    jobs: float
    updated_at: float


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits of the deployment that the planner depends on.

    Attributes
    ----------
    lease_seconds : float
        Maximum lease of a backend server.
    gang_wait_seconds : float
        Time that a gang member waits for the others.
    stop_seconds : float
        Maximum time from a stop to the end of the run.
    remote_factor : float
        Run time of a task away from its data, as a multiple of that near it.
    overlap_seconds : float
        Longest time after a takeover for which an earlier planner may renew leases.
    restore_seconds : float
        Time that a run takes to resume from a checkpoint.
    """

    lease_seconds: float
    gang_wait_seconds: float
    stop_seconds: float
    remote_factor: float = 1.0
    overlap_seconds: float = 0.0
    restore_seconds: float = 0.0
