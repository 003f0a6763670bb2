"""Job orders on the platform: steps, tasks and their resources."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Shape:
    """Resources of a task or a whole backend server.

    Attributes
    ----------
    millicores : int
        Thousandths of a processor core.
    memory_mb : int
        Memory, in megabytes.
    accelerators : int
        Number of accelerators.
    """

    millicores: int = 0
    memory_mb: int = 0
    accelerators: int = 0


@dataclass(frozen=True, slots=True)
class StepOrder:
    """One step of a job: a number of identical tasks.

    Attributes
    ----------
    count : int
        Number of tasks.
    shape : Shape
        Resources of each task.
    estimated_seconds : float
        Declared run time of a task; often far off.
    after : tuple of int
        Indices of earlier steps whose tasks must all be done first.
    checkpointing : bool
        True when the tasks save checkpoints.
    gang : bool
        True when the tasks run only together.
    rack_sensitive : bool
        True when the tasks are slower if spread over several racks.
    required_label : str
        Label that the backend server must have; empty for any server.
    data_rack : str
        Rack that holds the data; empty for no preference.
    server_limit : int
        Largest number of the step's tasks on one backend server; 0 for no limit.
    copies_allowed : bool
        True when copies of a task may run in parallel.
    long_running : bool
        True when the tasks run until the job is cancelled.
    image : str
        Name of the program that the tasks run.
    target_seconds : float
        Response time promised to the users of the tasks; 0 for none.
    fills : bool
        True when the tasks may use only otherwise idle capacity.
    absence_limit : int
        Tasks of a long-running step that the system may stop at the same time.
    """

    count: int
    shape: Shape
    estimated_seconds: float = 0.0
    after: tuple[int, ...] = ()
    checkpointing: bool = False
    gang: bool = False
    rack_sensitive: bool = False
    required_label: str = ""
    data_rack: str = ""
    server_limit: int = 0
    copies_allowed: bool = False
    long_running: bool = False
    image: str = ""
    target_seconds: float = 0.0
    fills: bool = False
    absence_limit: int = 0


@dataclass(frozen=True, slots=True)
class JobOrder:
    """A job as a caller submits it.

    Attributes
    ----------
    specification : str
        Passed unchanged to every task.
    steps : tuple of StepOrder
        At least one.
    repetitions : int
        Number of scheduled occurrences; 0 for a job that runs once, immediately.
    first_run_unix_seconds : float
        Unix due time of the first occurrence.
    interval_seconds : float
        Time from one occurrence's due time to the next.
    """

    specification: str
    steps: tuple[StepOrder, ...]
    repetitions: int = 0
    first_run_unix_seconds: float = 0.0
    interval_seconds: float = 0.0


@dataclass(frozen=True, slots=True)
class TaskId:
    """Identity of one task.

    Attributes
    ----------
    job_id : str
        Id of the job, 16 hexadecimal digits.
    occurrence : int
        Index of the occurrence, from 0; 0 for a job without a schedule.
    step : int
        Index of the step, from 0.
    index : int
        Index of the task within the step, from 0.
    """

    job_id: str
    occurrence: int
    step: int
    index: int
