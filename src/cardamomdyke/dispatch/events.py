"""Events that an attempt handles and actions that it requests."""

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
        Its present boot if a claim needs it; else empty.
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
        Its answer.
    sent_at : float
        Steady-clock time, in seconds, at which the call was sent.
    """

    answer: ClaimAnswer
    sent_at: float


@dataclass(frozen=True, slots=True)
class ClaimTicketRefused:
    """A claim home refused a stale ticket and sent a new one."""


@dataclass(frozen=True, slots=True)
class ClaimFailed:
    """A claim home did not answer, or restarted and lost earlier claims.

    Attributes
    ----------
    problem : Problem
        Which of the two.
    """

    problem: Problem


@dataclass(frozen=True, slots=True)
class ClaimHomesChanged:
    """The claim homes changed after the claim, so the start was not sent.

    Attributes
    ----------
    homes : tuple of ClaimHome
        Present homes.
    """

    homes: tuple[ClaimHome, ...]


@dataclass(frozen=True, slots=True)
class AnswerReceived:
    """The complete answer to this request arrived.

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
        Its present boot; empty when not known.
    """

    boot_id: str = ""


@dataclass(frozen=True, slots=True)
class StartRefused:
    """The start certainly ran nothing.

    Attributes
    ----------
    problem : Problem
        Why.
    """

    problem: Problem


@dataclass(frozen=True, slots=True)
class ServerBlocked:
    """The claimed backend server may not get new work."""

    problem: Problem


@dataclass(frozen=True, slots=True)
class StillRunning:
    """The backend server is running the request."""


@dataclass(frozen=True, slots=True)
class AnswerLost:
    """A start that may have been sent got no complete answer.

    Attributes
    ----------
    detail : str
        Explanation for the caller.
    ticket : str
        Start ticket that it presented; empty when that is not known here.
    may_retry : bool
        True when the retry budget allows one more start.
    """

    detail: str
    ticket: str = ""
    may_retry: bool = False


@dataclass(frozen=True, slots=True)
class RequestFailed:
    """The request ran and failed on the backend server.

    Attributes
    ----------
    detail : str
        Explanation for the caller.
    may_retry : bool
        True when the retry budget allows one more start.
    """

    detail: str
    may_retry: bool = False


@dataclass(frozen=True, slots=True)
class StartExpired:
    """The backend server has not run the request and its ticket has expired."""


@dataclass(frozen=True, slots=True)
class RequestNotSeen:
    """The backend server has not seen the request yet, or did not answer."""


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
    | ClaimTicketRefused
    | ClaimFailed
    | ClaimHomesChanged
    | AnswerReceived
    | TicketRefused
    | StartRefused
    | ServerBlocked
    | StillRunning
    | AnswerLost
    | RequestFailed
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
        Servers not to use in this round.
    with_boot : bool
        True when the result must carry the server's boot id.
    """

    excluded: frozenset[str]
    with_boot: bool


@dataclass(frozen=True, slots=True)
class CallClaimHome:
    """Place a claim at a home.

    Attributes
    ----------
    home : str
        Backend server to call.
    claim : KeyClaim
        Claim to create unless one exists.
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
    """Query the state of the request on a backend server.

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
    """Wait for a free slot or until the time has passed.

    Attributes
    ----------
    seconds : float
        Maximum time to wait.
    """

    seconds: float


@dataclass(frozen=True, slots=True)
class Finish:
    """Return the outcome to the caller.

    Attributes
    ----------
    outcome : Outcome
        Final outcome.
    """

    outcome: Outcome


AttemptAction = ChooseServer | CallClaimHome | SendStart | LookUp | Wait | Finish
