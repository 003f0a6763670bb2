"""Events that an attempt reacts to and actions that it asks for."""

from dataclasses import dataclass

from cardamomdyke.dispatch.claims import ClaimAnswer, ClaimHome
from cardamomdyke.model.errors import Problem
from cardamomdyke.model.outcomes import Outcome
from cardamomdyke.model.requests import KeyClaim


@dataclass(frozen=True, slots=True)
class AttemptStarted:
    """The request was admitted."""


@dataclass(frozen=True, slots=True)
class ServerChosen:
    """A backend server was chosen.

    Attributes
    ----------
    server : str
        Its name.
    boot_id : str
        Its present boot where a claim needs it; else empty.
    """

    server: str
    boot_id: str = ""


@dataclass(frozen=True, slots=True)
class NoServerFree:
    """No backend server can take the request now.

    Attributes
    ----------
    problem : Problem
        Why.
    may_wait : bool
        True when the request may wait in the queue.
    """

    problem: Problem
    may_wait: bool


@dataclass(frozen=True, slots=True)
class ClaimAnswered:
    """A claim home answered.

    Attributes
    ----------
    answer : ClaimAnswer
        What it said.
    sent_at : float
        Monotonic time, in seconds, at which the call left.
    """

    answer: ClaimAnswer
    sent_at: float


@dataclass(frozen=True, slots=True)
class ClaimRefused:
    """A claim home refused for a stale ticket and sent a new one."""


@dataclass(frozen=True, slots=True)
class ClaimFailed:
    """A claim home did not answer, or it cannot know earlier claims.

    Attributes
    ----------
    problem : Problem
        Which of the two.
    """

    problem: Problem


@dataclass(frozen=True, slots=True)
class ClaimHomesChanged:
    """The claim homes changed after the claim, so the start did not leave.

    Attributes
    ----------
    homes : tuple of ClaimHome
        The homes now.
    """

    homes: tuple[ClaimHome, ...]


@dataclass(frozen=True, slots=True)
class AnswerReceived:
    """The whole answer to this very request arrived.

    Attributes
    ----------
    body : bytes
        The answer.
    content_type : str
        Its media type.
    """

    body: bytes
    content_type: str


@dataclass(frozen=True, slots=True)
class TicketRefused:
    """The backend server refused the ticket, so this start ran nothing.

    Attributes
    ----------
    boot_id : str
        Its present boot; empty when it did not say.
    """

    boot_id: str = ""


@dataclass(frozen=True, slots=True)
class Refused:
    """The start certainly ran nothing.

    Attributes
    ----------
    problem : Problem
        Why.
    """

    problem: Problem


@dataclass(frozen=True, slots=True)
class ServerBlocked:
    """The claimed backend server may be given no new work."""

    problem: Problem


@dataclass(frozen=True, slots=True)
class StillRunning:
    """The backend server runs the request at present."""


@dataclass(frozen=True, slots=True)
class AnswerLost:
    """A start may have left and brought no whole answer.

    Attributes
    ----------
    detail : str
        Words for the caller.
    ticket : str
        Start ticket that it presented; empty when that is not known here.
    may_retry : bool
        True when the retry budget pays for one more start.
    """

    detail: str
    ticket: str = ""
    may_retry: bool = False


@dataclass(frozen=True, slots=True)
class Failed:
    """The request ran and failed on the backend server.

    Attributes
    ----------
    detail : str
        Words for the caller.
    may_retry : bool
        True when the retry budget pays for one more start.
    """

    detail: str
    may_retry: bool = False


@dataclass(frozen=True, slots=True)
class StartExpired:
    """The backend server has not run the request and its ticket has expired."""


@dataclass(frozen=True, slots=True)
class RequestNotSeen:
    """The backend server has not seen the request so far, or did not answer."""


@dataclass(frozen=True, slots=True)
class ServerRestarted:
    """The backend server restarted, so it does not know what it ran."""


@dataclass(frozen=True, slots=True)
class WaitEnded:
    """A wait ended."""


@dataclass(frozen=True, slots=True)
class DeadlinePassed:
    """The caller's deadline passed."""


AttemptEvent = (
    AttemptStarted
    | ServerChosen
    | NoServerFree
    | ClaimAnswered
    | ClaimRefused
    | ClaimFailed
    | ClaimHomesChanged
    | AnswerReceived
    | TicketRefused
    | Refused
    | ServerBlocked
    | StillRunning
    | AnswerLost
    | Failed
    | StartExpired
    | RequestNotSeen
    | ServerRestarted
    | WaitEnded
    | DeadlinePassed
)


@dataclass(frozen=True, slots=True)
class ChooseServer:
    """Choose a backend server.

    Attributes
    ----------
    excluded : frozenset of str
        Servers that refused this request lately.
    with_boot : bool
        True when the answer must carry the server's boot.
    """

    excluded: frozenset[str]
    with_boot: bool


@dataclass(frozen=True, slots=True)
class CallClaimHome:
    """Place a claim at a home.

    Attributes
    ----------
    home : str
        Backend server to ask.
    claim : KeyClaim
        What to claim unless another claim exists.
    first : bool
        True when no earlier claim can exist.
    """

    home: str
    claim: KeyClaim
    first: bool


@dataclass(frozen=True, slots=True)
class SendStart:
    """Send the request to a backend server.

    Attributes
    ----------
    server : str
        Its name.
    boot_id : str
        The only boot that may run it; empty for any.
    """

    server: str
    boot_id: str = ""


@dataclass(frozen=True, slots=True)
class LookUp:
    """Ask a backend server what became of the request.

    Attributes
    ----------
    server : str
        Its name.
    ticket : str
        Start ticket of the start in question; empty when not known.
    """

    server: str
    ticket: str


@dataclass(frozen=True, slots=True)
class Wait:
    """Wait for a free slot or for a time.

    Attributes
    ----------
    seconds : float
        Longest time to wait.
    """

    seconds: float


@dataclass(frozen=True, slots=True)
class Finish:
    """Give the caller this outcome.

    Attributes
    ----------
    outcome : Outcome
        Final.
    """

    outcome: Outcome


AttemptAction = ChooseServer | CallClaimHome | SendStart | LookUp | Wait | Finish
