"""Entries, reports and refusals of the platform's backend servers."""

from dataclasses import dataclass
from enum import StrEnum

from cardamomdyke.model.orders import Shape, TaskId


@dataclass(frozen=True, slots=True)
class ServerEntry:
    """The newest entry of a backend server in the store.

    Attributes
    ----------
    name : str
        Id of the server.
    pool : str
        Pool that it belongs to.
    address : str
        ``host:port`` of its API.
    failure_domain : str
        Failure domain of the server.
    capacity : Shape
        Total resources.
    labels : tuple of str
        Kind of server, then rack.
    instance : int
        Start of the process, in Unix milliseconds; a new value means that it restarted
        and knows nothing of earlier runs.
    draining : bool
        True when it accepts no new runs.
    remaining_seconds : float or None
        Minimum time until a draining server shuts down; None when not stated.
    warm_up_seconds : float
        Time for which the server is still slow after its start.
    """

    name: str
    pool: str
    address: str
    failure_domain: str
    capacity: Shape
    labels: tuple[str, ...] = ()
    instance: int = 0
    draining: bool = False
    remaining_seconds: float | None = None
    warm_up_seconds: float = 0.0

    @property
    def rack(self) -> str:
        """Rack of the server; empty when its labels name none."""
        return self.labels[1] if len(self.labels) > 1 else ""


class EndKind(StrEnum):
    """How a run ended.

    Attributes
    ----------
    DONE
        The task succeeded.
    FAILED
        The task or its server failed.
    STOPPED
        The planner ordered the stop.
    LAPSED
        The server's lease expired.
    BROKEN
        Another member of the gang ended.
    ALONE
        The other members of the gang did not start in time.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


@dataclass(frozen=True, slots=True)
class RunReport:
    """A run that a backend server reports as running.

    Attributes
    ----------
    task : TaskId
        Its task.
    run : int
        Number of the run.
    checkpoint : str
        Newest checkpoint; empty for none.
    percent : float
        Progress that the server reports.
    load : float
        For a task with a response time target, its tail response time in
        milliseconds; for any other, its processor use in thousandths of a core.
    """

    task: TaskId
    run: int
    checkpoint: str
    percent: float
    load: float = 0.0


@dataclass(frozen=True, slots=True)
class EndReport:
    """A run that a backend server reports as ended.

    Attributes
    ----------
    number : int
        Sequence number among the ends of this server instance, from 1.
    task : TaskId
        Its task.
    run : int
        Number of the run.
    kind : EndKind
        How it ended.
    checkpoint : str
        Newest checkpoint; empty for none.
    """

    number: int
    task: TaskId
    run: int
    kind: EndKind
    checkpoint: str


@dataclass(frozen=True, slots=True)
class RunLists:
    """Answer of a backend server to a poll.

    Attributes
    ----------
    clock_seconds : float
        The server's clock when it answered.
    instance : int
        Instance that answered; 0 when not named.
    running : tuple of RunReport
        All current runs.
    ended : tuple of EndReport
        Ends not acknowledged yet, oldest first.
    """

    clock_seconds: float
    instance: int
    running: tuple[RunReport, ...]
    ended: tuple[EndReport, ...]


class RefusalKind(StrEnum):
    """Why a backend server refused a call.

    Attributes
    ----------
    FENCE
        The server has seen a higher fencing token.
    OLD
        This run or a later one of the task ended or was stopped there.
    LATE
        The lease in the start had expired on arrival.
    ROOM
        The server has too few free resources.
    TICKET
        The ticket of the advice service is missing or expired.
    UNWELL
        The server accepts no starts at the moment.
    OTHER_LIFE
        Another server instance answers at this address.
    REJECTED
        The call is malformed or invalid.
    """

    FENCE = "fence"
    OLD = "old"
    LATE = "late"
    ROOM = "room"
    TICKET = "ticket"
    UNWELL = "unwell"
    OTHER_LIFE = "other_life"
    REJECTED = "rejected"


@dataclass(frozen=True, slots=True)
class CallFault:
    """A call to a backend server that failed or whose effect is uncertain.

    Attributes
    ----------
    certain : bool
        True when the call has no effect and never will.
    refusal : RefusalKind or None
        Reason that the server gave; None without an answer.
    detail : str
        Description for log lines.
    clock_seconds : float or None
        The server's clock; None when not stated.
    """

    certain: bool
    refusal: RefusalKind | None
    detail: str
    clock_seconds: float | None = None
