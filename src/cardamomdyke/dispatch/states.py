"""State of one attempt to run a short request."""

from dataclasses import dataclass
from enum import StrEnum

from cardamomdyke.dispatch.claims import ClaimHome, ClaimProgress
from cardamomdyke.model.errors import Problem


class Phase(StrEnum):
    """Current step of an attempt."""

    CHOOSING = "choosing"
    CLAIMING = "claiming"
    SENDING = "sending"
    LOOKING = "looking"
    ENDED = "ended"


@dataclass(frozen=True, slots=True)
class UncertainStart:
    """A start that may have run the request or may still run it.

    Attributes
    ----------
    server : str
        Backend server that it was sent to.
    ticket : str
        Start ticket that it presented; empty when that is not known here.
    """

    server: str
    ticket: str


@dataclass(frozen=True, slots=True)
class Attempt:
    """One attempt to run a short request.

    Attributes
    ----------
    request_id : str
        Id of this attempt.
    key : str
        Claim key from `claims.make_claim_key`; empty when none is needed.
    digest : str
        Digest of the request.
    repeatable : bool
        True when the request may run more than once.
    first_attempt : bool
        True when no earlier attempt exists.
    received_at : float
        Steady-clock time of arrival, in seconds.
    deadline : float
        Steady-clock time, in seconds, after which the caller needs no answer.
    claim_progress : ClaimProgress
        Claim homes and their answers.
    fixed_server : str
        The only backend server to try, for a request that another VM forwarded;
        else empty.
    fixed_boot_id : str
        Id of its only boot that may run the request; empty for any.
    phase : Phase
        Current step.
    server : str
        Backend server chosen or being called.
    boot_id : str
        Boot of the chosen server, for a claim.
    excluded : frozenset of str
        Servers that refused or failed in this round.
    uncertain : tuple of UncertainStart
        Starts that may have run the request, at most one per server.
    ticket_refusals, empty_lookups : int
        Counts in a row.
    waits : int
        Waits so far; each doubles the next.
    problem : Problem or None
        Why the request has not run yet.
    """

    request_id: str
    key: str
    digest: str
    repeatable: bool
    first_attempt: bool
    received_at: float
    deadline: float
    claim_progress: ClaimProgress
    fixed_server: str = ""
    fixed_boot_id: str = ""
    phase: Phase = Phase.CHOOSING
    server: str = ""
    boot_id: str = ""
    excluded: frozenset[str] = frozenset()
    uncertain: tuple[UncertainStart, ...] = ()
    ticket_refusals: int = 0
    empty_lookups: int = 0
    waits: int = 0
    problem: Problem | None = None

    @property
    def pinned(self) -> bool:
        """True when only one backend server may run the request."""
        return bool(self.key or self.fixed_server)


def make_attempt(
    request_id: str,
    *,
    deadline: float,
    received_at: float,
    repeatable: bool = False,
    first_attempt: bool = False,
    key: str = "",
    digest: str = "",
    homes: tuple[ClaimHome, ...] = (),
) -> Attempt:
    """Return the state for a request that just arrived."""
    return Attempt(
        request_id=request_id,
        key=key,
        digest=digest,
        repeatable=repeatable,
        first_attempt=first_attempt,
        received_at=received_at,
        deadline=deadline,
        claim_progress=ClaimProgress(homes),
    )
