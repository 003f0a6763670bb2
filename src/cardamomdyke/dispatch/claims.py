"""Claims of idempotency keys at their claim homes.

Any two attempts with a key within its retention have at least one home in
common, and an attempt that finds two different claims starts nothing. So two
attempts never run on different backend servers while the common home keeps the
claim. A home that restarted refuses instead of answering from empty memory.
"""

from dataclasses import dataclass, replace

from expression import Error, Ok, Result
from msgspec.json import encode

from cardamomdyke.configuration.fold import KEY_RETENTION_SECONDS, list_server_names
from cardamomdyke.membership.hashing import choose_node
from cardamomdyke.model.errors import Problem, ProblemKind, make_problem
from cardamomdyke.model.requests import KeyClaim
from cardamomdyke.model.tables import Configuration

# A request counts as a first attempt for this long after its arrival. A home
# refuses even first claims until it has run for FIRST_CLAIM_AGE_SECONDS, which is this
# plus a start ticket's validity and a margin: so no later attempt can have claimed
# there before a restart that the first one missed.
FIRST_ATTEMPT_SECONDS = 5.0
FIRST_CLAIM_AGE_SECONDS = 10.0
# No start is sent this close to the end of a claim; exceeds the ticket's validity.
CLAIM_MARGIN_SECONDS = 4.0
# A start with a claim needs a configuration that was current within this time,
# even where ``when_isolated: serve`` permits other starts.
CLAIM_EVIDENCE_SECONDS = 30.0
# After this no VM places claims by the configuration of a replaced server set.
SERVER_SET_RETENTION_SECONDS = KEY_RETENTION_SECONDS + CLAIM_EVIDENCE_SECONDS


@dataclass(frozen=True, slots=True)
class ClaimHome:
    """Backend server that keeps the claims of a key for one server set.

    Attributes
    ----------
    server : str
        Its name.
    expiring : bool
        True when some VMs may no longer call it, so that a missing claim there
        does not prove that none was made.
    """

    server: str
    expiring: bool = False


@dataclass(frozen=True, slots=True)
class ClaimAnswer:
    """Answer of a claim home.

    Attributes
    ----------
    claim : KeyClaim
        Claim in force at the home.
    created : bool
        True when this call created it.
    remaining_seconds : float
        Time until the home drops it.
    """

    claim: KeyClaim
    created: bool
    remaining_seconds: float


@dataclass(frozen=True, slots=True)
class ClaimProgress:
    """Progress of one attempt through the homes of its key, oldest set first.

    Attributes
    ----------
    homes : tuple of ClaimHome
        All homes to call, in order.
    asked : int
        Number of homes that have answered.
    claim : KeyClaim or None
        Claim found or created so far.
    found : bool
        True when another attempt created it.
    vouched : bool
        True once a home that is not expiring ruled out unknown earlier claims.
    usable_until : float
        Steady-clock time, in seconds, after which no start may be sent.
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


def make_claim_key(client_account: str, idempotency_key: str) -> str:
    """Return the claim key of an idempotency key, unique across client accounts."""
    return encode((client_account, idempotency_key)).decode()


def list_homes(
    configuration: Configuration, key: str, unix_now: float
) -> tuple[ClaimHome, ...]:
    """Return the claim homes of a key, oldest server set first.

    Parameters
    ----------
    configuration : Configuration
        Configuration in force.
    key : str
        From `make_claim_key`.
    unix_now : float
        Unix time, in seconds.

    Returns
    -------
    tuple of ClaimHome
        One per remembered server set; adjacent entries of one server are merged.
    """
    homes: list[ClaimHome] = []
    for former in configuration.former_servers:
        age = unix_now - former.replaced_at
        if age >= SERVER_SET_RETENTION_SECONDS:
            continue
        name = choose_node(key, former.servers)
        if name is not None:
            homes.append(ClaimHome(name, age >= KEY_RETENTION_SECONDS))
    current = choose_node(key, list_server_names(configuration.tables))
    if current is not None:
        homes.append(ClaimHome(current))
    return merge_adjacent_homes(homes)


def merge_adjacent_homes(homes: list[ClaimHome]) -> tuple[ClaimHome, ...]:
    """Merge adjacent homes on one server; expiring only if all of them are."""
    merged: list[ClaimHome] = []
    for home in homes:
        if merged and merged[-1].server == home.server:
            merged[-1] = ClaimHome(home.server, merged[-1].expiring and home.expiring)
        else:
            merged.append(home)
    return tuple(merged)


def apply_answer(
    progress: ClaimProgress, answer: ClaimAnswer, own: KeyClaim, sent_at: float
) -> Result[ClaimProgress, Problem]:
    """Apply the answer of the next home.

    Parameters
    ----------
    progress : ClaimProgress
        Progress so far; not complete.
    answer : ClaimAnswer
        From the home ``progress.homes[progress.asked]``.
    own : KeyClaim
        Claim that this attempt requested.
    sent_at : float
        Steady-clock time, in seconds, at which the call was sent.

    Returns
    -------
    Result of ClaimProgress or Problem
        Progress; ``key_reused`` for another request's key, ``claim_lost`` when homes
        hold different claims.
    """
    claim = answer.claim
    if claim.digest != own.digest:
        return Error(
            make_problem(
                ProblemKind.KEY_REUSED,
                "the idempotency key belongs to another request of the client account",
            )
        )
    if progress.claim is not None and (claim.server, claim.boot_id) != (
        progress.claim.server,
        progress.claim.boot_id,
    ):
        return Error(
            make_problem(
                ProblemKind.CLAIM_LOST,
                f"claim homes name different backend servers, {progress.claim.server} "
                f"and {claim.server}",
            )
        )
    home = progress.homes[progress.asked]
    usable_until = sent_at + answer.remaining_seconds - CLAIM_MARGIN_SECONDS
    return Ok(
        replace(
            progress,
            asked=progress.asked + 1,
            claim=claim,
            found=progress.found or claim.attempt != own.attempt,
            vouched=progress.vouched or not home.expiring,
            usable_until=min(progress.usable_until, usable_until),
        )
    )


def permit_claimed_start(evidence_age_seconds: float, has_evidence: bool) -> bool:
    """Return whether the configuration is recent enough for a claimed start."""
    return has_evidence or evidence_age_seconds <= CLAIM_EVIDENCE_SECONDS


def parse_boot_id(ticket: str) -> str:
    """Return the boot that issued a ticket; empty for an empty ticket."""
    return ticket.rpartition(":")[0]


def choose_ticket(held: str, boot_id: str) -> str:
    """Return the held ticket, or an empty one if another boot issued it.

    The backend server refuses an empty ticket and names its present boot. A
    ticket of another boot would let a restarted server, which has forgotten what
    ran, run the request again. An empty ``boot_id`` permits any boot.
    """
    if boot_id and parse_boot_id(held) != boot_id:
        return ""
    return held
