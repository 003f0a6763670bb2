"""Claims of idempotency keys at their homes.

Any two attempts of a key within its retention ask at least one home in common,
and an attempt that finds two different claims starts nothing. So two attempts
never run on different backend servers, as long as the common home still
remembers; a home that restarted refuses instead of answering from empty memory.
"""

from dataclasses import dataclass, replace

from expression import Error, Ok, Result
from msgspec.json import encode

from cardamomdyke.configuration.fold import KEY_RETENTION_SECONDS, list_server_names
from cardamomdyke.membership.hashing import choose_node
from cardamomdyke.model.errors import Problem, ProblemKind, make_problem
from cardamomdyke.model.requests import KeyClaim
from cardamomdyke.model.tables import Configuration

# The caller's mark of a first attempt counts this long after its arrival. A
# home refuses first claims too while it is younger than FIRST_CLAIM_AGE_SECONDS,
# which is this plus the life of a start ticket, with a margin: so no later
# attempt can have claimed there before a restart that the first one missed.
FIRST_ATTEMPT_SECONDS = 5.0
FIRST_CLAIM_AGE_SECONDS = 10.0
# No start leaves so close to the end of a claim; covers the ticket's life.
CLAIM_MARGIN_SECONDS = 4.0
# A keyed start needs a configuration that was current this short a time ago,
# even where ``when_isolated: serve`` lets other starts go on.
CLAIM_EVIDENCE_SECONDS = 30.0
# By now nobody makes claims by the configuration of a replaced set any more.
SET_DROPPED_SECONDS = KEY_RETENTION_SECONDS + CLAIM_EVIDENCE_SECONDS


@dataclass(frozen=True, slots=True)
class ClaimHome:
    """Backend server that keeps claims of a key for one set of servers.

    Attributes
    ----------
    server : str
        Its name.
    expiring : bool
        True when some VMs may no longer ask it, so that its empty memory does
        not prove that no claim was made.
    """

    server: str
    expiring: bool = False


@dataclass(frozen=True, slots=True)
class ClaimAnswer:
    """What a claim home answered.

    Attributes
    ----------
    claim : KeyClaim
        The claim in force there.
    created : bool
        True when this call made it.
    remaining_seconds : float
        Time until the home forgets it.
    """

    claim: KeyClaim
    created: bool
    remaining_seconds: float


@dataclass(frozen=True, slots=True)
class ClaimWalk:
    """Progress of one attempt through the homes of its key, oldest set first.

    Attributes
    ----------
    homes : tuple of ClaimHome
        All homes to ask, in order.
    asked : int
        Number of homes that have answered.
    claim : KeyClaim or None
        The claim found or made so far.
    found : bool
        True when another attempt made it.
    vouched : bool
        True once a home proved that no earlier claim exists.
    usable_until : float
        Monotonic time, in seconds, after which no start may leave.
    """

    homes: tuple[ClaimHome, ...]
    asked: int = 0
    claim: KeyClaim | None = None
    found: bool = False
    vouched: bool = False
    usable_until: float = float("inf")

    @property
    def complete(self) -> bool:
        """True when every home has answered."""
        return self.asked == len(self.homes)


def join_key(client_account: str, idempotency_key: str) -> str:
    """Return the key of a claim; differs for any two client accounts."""
    return encode((client_account, idempotency_key)).decode()


def list_homes(
    configuration: Configuration, key: str, unix_now: float
) -> tuple[ClaimHome, ...]:
    """Return the claim homes of a key, the oldest set's first.

    Parameters
    ----------
    configuration : Configuration
        In force.
    key : str
        From `join_key`.
    unix_now : float
        Unix time, in seconds.

    Returns
    -------
    tuple of ClaimHome
        One per remembered set of backend servers, without neighbours that are
        the same server.
    """
    homes: list[ClaimHome] = []
    for former in configuration.former_servers:
        age = unix_now - former.replaced_at
        if age >= SET_DROPPED_SECONDS:
            continue
        name = choose_node(key, former.servers)
        if name is not None:
            homes.append(ClaimHome(name, age >= KEY_RETENTION_SECONDS))
    current = choose_node(key, list_server_names(configuration.tables))
    if current is not None:
        homes.append(ClaimHome(current))
    return merge_neighbours(homes)


def merge_neighbours(homes: list[ClaimHome]) -> tuple[ClaimHome, ...]:
    """Return the homes with neighbours that are the same server made one."""
    merged: list[ClaimHome] = []
    for home in homes:
        if merged and merged[-1].server == home.server:
            merged[-1] = ClaimHome(home.server, merged[-1].expiring and home.expiring)
        else:
            merged.append(home)
    return tuple(merged)


def apply_answer(
    walk: ClaimWalk, answer: ClaimAnswer, own: KeyClaim, sent_at: float
) -> Result[ClaimWalk, Problem]:
    """Take in the answer of the next home.

    Parameters
    ----------
    walk : ClaimWalk
        Progress so far; not complete.
    answer : ClaimAnswer
        From the home ``walk.homes[walk.asked]``.
    own : KeyClaim
        What this attempt asked for.
    sent_at : float
        Monotonic time, in seconds, at which the call left.

    Returns
    -------
    Result of ClaimWalk or Problem
        Progress; ``key_reused`` for another request's key, ``claim_lost`` when
        homes hold different claims.
    """
    claim = answer.claim
    if claim.digest != own.digest:
        return Error(
            make_problem(
                ProblemKind.KEY_REUSED,
                "the idempotency key belongs to another request of the client account",
            )
        )
    if walk.claim is not None and (claim.server, claim.boot_id) != (
        walk.claim.server,
        walk.claim.boot_id,
    ):
        return Error(
            make_problem(
                ProblemKind.CLAIM_LOST,
                f"claim homes name different backend servers, {walk.claim.server} "
                f"and {claim.server}",
            )
        )
    home = walk.homes[walk.asked]
    usable_until = sent_at + answer.remaining_seconds - CLAIM_MARGIN_SECONDS
    return Ok(
        replace(
            walk,
            asked=walk.asked + 1,
            claim=claim,
            found=walk.found or claim.attempt != own.attempt,
            vouched=walk.vouched or not home.expiring,
            usable_until=min(walk.usable_until, usable_until),
        )
    )


def permit_claimed_start(evidence_age_seconds: float, has_evidence: bool) -> bool:
    """Tell whether a request with a claim may start by this configuration."""
    return has_evidence or evidence_age_seconds <= CLAIM_EVIDENCE_SECONDS


def read_boot_id(ticket: str) -> str:
    """Return the boot that issued a start ticket; empty for an empty one."""
    return ticket.rpartition(":")[0]


def pick_ticket(held: str, boot_id: str) -> str:
    """Return the ticket to present to the only boot that may run a request.

    The backend server refuses an empty ticket and names its present boot. A
    ticket of another boot would let a restarted server, which has forgotten what
    ran, run the request again.
    """
    if boot_id and read_boot_id(held) != boot_id:
        return ""
    return held
