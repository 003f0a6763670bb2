"""Actions that the planner requests from its control loop."""

from dataclasses import dataclass

from cardamomdyke.model.orders import TaskId


@dataclass(frozen=True, slots=True)
class SendStart:
    """Request to start a run of a recorded attempt.

    Attributes
    ----------
    server : str
        Name of the backend server.
    task : TaskId
        Task to start.
    run : int
        Run number of the unit, from 1.
    """

    server: str
    task: TaskId
    run: int


@dataclass(frozen=True, slots=True)
class SendStop:
    """Request to stop a run.

    Attributes
    ----------
    server : str
        Name of the backend server.
    task : TaskId
        Task to stop.
    run : int
        Run number of the unit.
    """

    server: str
    task: TaskId
    run: int


@dataclass(frozen=True, slots=True)
class Note:
    """Line for the log.

    Attributes
    ----------
    kind : str
        Kind of the line, such as ``task.failed``.
    subject : str
        Job id or server name.
    facts : dict of str to object
        Fields of the line, by name.
    """

    kind: str
    subject: str
    facts: dict[str, object]


@dataclass(frozen=True, slots=True)
class Count:
    """Increment of a counter.

    Attributes
    ----------
    name : str
        Name of the counter, such as ``preemption.saving``.
    amount : int
        What to add.
    """

    name: str
    amount: int = 1


Action = SendStart | SendStop | Note | Count


@dataclass(frozen=True, slots=True)
class PollOrder:
    """Parameters of one poll of a backend server.

    Attributes
    ----------
    sent_at : float
        Steady-clock seconds at sending.
    acknowledged : int
        Number of the last ended run that is recorded; 0 to acknowledge none.
    lease_until : float or None
        New lease expiry on the server's clock; None for no renewal.
    wait_seconds : float
        Longest time that the server may wait for a run's end.
    """

    sent_at: float
    acknowledged: int
    lease_until: float | None
    wait_seconds: float
