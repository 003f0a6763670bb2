"""State of one short request on its way to an outcome."""

from dataclasses import dataclass
from enum import StrEnum

from cardamomdyke.dispatch.claims import ClaimHome, ClaimWalk
from cardamomdyke.model.errors import Problem


class Phase(StrEnum):
    """What an attempt does at present."""

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
    """One request on its way to an outcome.

    Attributes
    ----------
    request_id : str
        Id of this attempt.
    key : str
        Key to claim, from `claims.join_key`; empty when none is needed.
    digest : str
        Digest of the request.
    repeatable : bool
        True when running it twice does no harm.
    first : bool
        True when no attempt came before it.
    received_at : float
        Monotonic time of arrival, in seconds.
    deadline : float
        Monotonic time, in seconds, after which an answer is of no use.
    walk : ClaimWalk
        Claim homes and what they answered.
    fixed_server : str
        The only backend server to try, for a request that another VM forwarded;
        else empty.
    fixed_boot : str
        The only boot of it that may run the request; empty for any.
    phase : Phase
        What it does at present.
    server : str
        Backend server chosen, or being asked.
    boot_id : str
        Boot of the chosen server, for a claim.
    excluded : frozenset of str
        Servers that refused in this round.
    uncertain : tuple of UncertainStart
        Starts that may have run the request, at most one per server.
    ticket_refusals, fruitless_looks, waits : int
        Counts in a row.
    problem : Problem or None
        Why it has not started yet.
    """

    request_id: str
    key: str
    digest: str
    repeatable: bool
    first: bool
    received_at: float
    deadline: float
    walk: ClaimWalk
    fixed_server: str = ""
    fixed_boot: str = ""
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
        """True when only one backend server may run it."""
        return bool(self.key or self.fixed_server)


def make_attempt(
    request_id: str,
    *,
    deadline: float,
    received_at: float,
    repeatable: bool = False,
    first: bool = False,
    key: str = "",
    digest: str = "",
    homes: tuple[ClaimHome, ...] = (),
) -> Attempt:
    """Return the state of a request that just arrived."""
    return Attempt(
        request_id=request_id,
        key=key,
        digest=digest,
        repeatable=repeatable,
        first=first,
        received_at=received_at,
        deadline=deadline,
        walk=ClaimWalk(homes),
    )
