"""What the planner asks of the loop that runs it."""

from dataclasses import dataclass

from cardamomdyke.model.orders import TaskId


@dataclass(frozen=True, slots=True)
class SendStart:
    """Start a run whose attempt is recorded.

    Attributes
    ----------
    server : str
        Name of the backend server.
    task : TaskId
        The task.
    run : int
        Number of the run.
    """

    server: str
    task: TaskId
    run: int


@dataclass(frozen=True, slots=True)
class SendStop:
    """Stop a run.

    Attributes
    ----------
    server : str
        Name of the backend server.
    task : TaskId
        The task.
    run : int
        Number of the run.
    """

    server: str
    task: TaskId
    run: int


@dataclass(frozen=True, slots=True)
class Note:
    """A decision or a change of belief, for the log.

    Attributes
    ----------
    kind : str
        What happened, such as ``task.failed``.
    subject : str
        Id of the job or name of the server.
    facts : dict of str to object
        What decided it.
    """

    kind: str
    subject: str
    facts: dict[str, object]


Action = SendStart | SendStop | Note


@dataclass(frozen=True, slots=True)
class PollOrder:
    """How to look at a backend server next.

    Attributes
    ----------
    sent_at : float
        When the look is sent.
    acknowledged : int
        Number of the last end that is recorded; 0 to acknowledge none.
    lease_until : float or None
        New end of the lease on the server's clock; None to leave it.
    wait_seconds : float
        Longest time that the answer may wait for an end.
    """

    sent_at: float
    acknowledged: int
    lease_until: float | None
    wait_seconds: float
