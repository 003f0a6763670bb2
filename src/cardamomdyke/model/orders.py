"""Orders for jobs on the platform: steps of tasks and what each task needs."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Shape:
    """Room of one task, or of a whole backend server.

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
    """One step of a job: a number of equal tasks.

    Attributes
    ----------
    count : int
        Number of tasks.
    shape : Shape
        Room of each task.
    estimated_seconds : float
        Declared run time of a task; often far off.
    after : tuple of int
        Numbers of earlier steps whose tasks must all be done first.
    checkpointing : bool
        True when the tasks save their progress.
    gang : bool
        True when the tasks run only together.
    rack_sensitive : bool
        True when the tasks slow down on more than one rack.
    required_label : str
        Label that the backend server must have; empty for any.
    data_rack : str
        Rack that holds the data; empty for any.
    server_limit : int
        Tasks of the step on one backend server at most; 0 for no limit.
    copies_allowed : bool
        True when copies of a task may run in parallel.
    long_running : bool
        True when the tasks run until the job is cancelled.
    image : str
        Name of what the tasks run.
    target_seconds : float
        Response time that the tasks' own users are promised; 0 for none.
    fills : bool
        True when the tasks take only capacity that others leave unused.
    absence_limit : int
        Tasks that the system may take away from a long-running step at once.
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
    """What a caller asks for.

    Attributes
    ----------
    specification : str
        Text that every task gets unchanged.
    steps : tuple of StepOrder
        At least one.
    repetitions : int
        Number of scheduled occurrences; 0 for a job that runs once, at once.
    first_run_unix_seconds : float
        Due time of the first occurrence.
    interval_seconds : float
        Time between the due times of two occurrences.
    """

    specification: str
    steps: tuple[StepOrder, ...]
    repetitions: int = 0
    first_run_unix_seconds: float = 0.0
    interval_seconds: float = 0.0


@dataclass(frozen=True, slots=True)
class TaskId:
    """Name of one task.

    Attributes
    ----------
    job_id : str
        Id of the job, 16 hexadecimal digits.
    occurrence : int
        Number of the occurrence; 0 for a job without a schedule.
    step : int
        Number of the step.
    index : int
        Number of the task within the step.
    """

    job_id: str
    occurrence: int
    step: int
    index: int
