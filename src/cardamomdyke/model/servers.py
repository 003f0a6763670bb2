"""Backend servers of the platform and what they report."""

from dataclasses import dataclass
from enum import StrEnum

from cardamomdyke.model.orders import Shape, TaskId


@dataclass(frozen=True, slots=True)
class ServerEntry:
    """What a backend server last said of itself in the store.

    Attributes
    ----------
    name : str
        Id of the server.
    pool : str
        Pool that it belongs to.
    address : str
        ``host:port`` of its calls.
    failure_domain : str
        Failure domain that it is in.
    capacity : Shape
        Its whole room.
    labels : tuple of str
        Kind and rack.
    instance : int
        Unix milliseconds of its start; another value is another life, which
        knows nothing of the former one.
    draining : bool
        True when it takes nothing new.
    remaining_seconds : float or None
        Least time until it leaves, while it drains.
    warm_up_seconds : float
        Time for which it is still slow after its start.
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
        """Rack that the server is in, or an empty text."""
        return self.labels[1] if len(self.labels) > 1 else ""


class EndKind(StrEnum):
    """How a run ended, in the words of the planner.

    Attributes
    ----------
    DONE
        The task is done.
    FAILED
        Through its own fault or its server's.
    STOPPED
        On the planner's order.
    LAPSED
        Its server's lease ran out.
    BROKEN
        Another member of its gang ended.
    ALONE
        It waited too long for the other members of its gang.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


@dataclass(frozen=True, slots=True)
class RunReport:
    """A run that a backend server lists as running.

    Attributes
    ----------
    task : TaskId
        Its task.
    run : int
        Number of the run.
    checkpoint : str
        Newest checkpoint; empty for none.
    percent : float
        Progress as the server states it.
    load : float
        For a task with a target, the tail of its response times in
        milliseconds; for any other, the thousandths of a core in use.
    """

    task: TaskId
    run: int
    checkpoint: str
    percent: float
    load: float = 0.0


@dataclass(frozen=True, slots=True)
class EndReport:
    """A run that a backend server lists as ended.

    Attributes
    ----------
    number : int
        Place of this end among the ends of the server's life, from 1.
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
    """Answer to a look at a backend server.

    Attributes
    ----------
    clock_seconds : float
        The server's clock when it answered.
    instance : int
        The life that answered; 0 when it did not say.
    running : tuple of RunReport
        Everything that runs there.
    ended : tuple of EndReport
        Ends that were not acknowledged, the oldest first.
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
        It has seen a higher fencing token.
    OLD
        That run, or a later one of the task, ended or was stopped there.
    LATE
        The lease that the start carried was over when it arrived.
    ROOM
        It does not fit.
    TICKET
        The advice service's ticket is missing or no longer valid.
    UNWELL
        The server takes nothing at the moment.
    OTHER_LIFE
        Another server answers at this address.
    REJECTED
        The call itself is wrong.
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
    """A call to a backend server that was not carried out, or may not have been.

    Attributes
    ----------
    certain : bool
        True when the server certainly did nothing and never will.
    refusal : RefusalKind or None
        The server's reason; None when it gave no answer.
    detail : str
        What happened.
    clock_seconds : float or None
        The server's clock, when the answer told it.
    """

    certain: bool
    refusal: RefusalKind | None
    detail: str
    clock_seconds: float | None = None
