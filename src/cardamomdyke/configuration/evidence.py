"""Evidence that the configuration in force is current, and what it permits.

Times are seconds on the daemon's steady clock.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum

from cardamomdyke.model.tables import FailureDomain, WhenIsolated

# Maximum age of the evidence for a start.
EVIDENCE_VALID_SECONDS = 3.0
NEVER = float("-inf")


@dataclass(frozen=True, slots=True)
class Evidence:
    """Which configuration version is current, as far as known.

    Attributes
    ----------
    version : int
        Highest version known.
    observed_at : float
        Newest time at which no higher version existed.
    """

    version: int = 0
    observed_at: float = NEVER


def merge_evidence(evidence: Evidence, version: int, observed_at: float) -> Evidence:
    """Pair the highest version with the newest time.

    If no version above 5 existed at some time, no version above 6 did either.

    Parameters
    ----------
    evidence : Evidence
        Known so far.
    version : int
        Version seen at the log's end, by this or another VM.
    observed_at : float
        Time of that read; `NEVER` when only the version's existence is known.

    Returns
    -------
    Evidence
        Merged evidence.
    """
    return Evidence(
        max(version, evidence.version), max(observed_at, evidence.observed_at)
    )


@dataclass(frozen=True, slots=True)
class Contact:
    """Whether the VMs of a failure domain reach the log.

    Attributes
    ----------
    failure_domain : str
        Name of the failure domain.
    down_at : float
        Time of the newest report that the log is down.
    up_at : float
        Time of the newest report that the log is up.
    """

    failure_domain: str
    down_at: float = NEVER
    up_at: float = NEVER


def merge_contact(contacts: tuple[Contact, ...], new: Contact) -> tuple[Contact, ...]:
    """Merge newer reports from one failure domain."""
    known = find_contact(contacts, new.failure_domain)
    merged = Contact(
        new.failure_domain,
        max(known.down_at, new.down_at),
        max(known.up_at, new.up_at),
    )
    others = (c for c in contacts if c.failure_domain != new.failure_domain)
    return (*others, merged)


def find_contact(contacts: tuple[Contact, ...], failure_domain: str) -> Contact:
    """Return a failure domain's reports; their times are `NEVER` without any."""
    found = (c for c in contacts if c.failure_domain == failure_domain)
    return next(found, Contact(failure_domain))


def check_mutual_contact(
    contacts: tuple[Contact, ...], failure_domains: Iterable[str], now: float
) -> bool:
    """Check that valid reports of every failure domain say that the log is down.

    Parameters
    ----------
    contacts : tuple of Contact
        Reports, including this VM's own.
    failure_domains : iterable of str
        All configured failure domains.
    now : float
        Steady-clock seconds.

    Returns
    -------
    bool
        False if any valid report says that the log is up: a VM could record an order.
    """
    oldest = now - EVIDENCE_VALID_SECONDS
    if any(contact.up_at >= oldest for contact in contacts):
        return False
    return all(
        find_contact(contacts, name).down_at >= oldest for name in failure_domains
    )


class Standing(StrEnum):
    """Whether a VM knows its version in force to be current.

    ``CURRENT``: by valid evidence. ``MUTUAL_CONTACT``: no VM reaches the log.
    ``ISOLATED``: not known. ``OUTDATED``: a higher version exists.
    """

    CURRENT = "current"
    MUTUAL_CONTACT = "mutual_contact"
    ISOLATED = "isolated"
    OUTDATED = "outdated"


def evaluate_standing(
    evidence: Evidence, version: int, mutual_contact: bool, now: float
) -> Standing:
    """Return whether a VM knows its version in force to be current.

    Parameters
    ----------
    evidence : Evidence
        Known so far.
    version : int
        Version in force.
    mutual_contact : bool
        Result of `check_mutual_contact`.
    now : float
        Steady-clock seconds.

    Returns
    -------
    Standing
        ``OUTDATED`` takes precedence.
    """
    if evidence.version > version:
        return Standing.OUTDATED
    if now - evidence.observed_at <= EVIDENCE_VALID_SECONDS:
        return Standing.CURRENT
    return Standing.MUTUAL_CONTACT if mutual_contact else Standing.ISOLATED


def permit_starts(domain: FailureDomain, ordered_out: bool, standing: Standing) -> bool:
    """Check whether tasks may start in a failure domain.

    An isolated VM starts tasks only in a domain that serves when isolated.

    Parameters
    ----------
    domain : FailureDomain
        Its row in the configuration in force.
    ordered_out : bool
        True while a direct order to take it out is not settled.
    standing : Standing
        Standing of that configuration.

    Returns
    -------
    bool
        True if tasks may start.
    """
    if not domain.in_service or ordered_out or standing is Standing.OUTDATED:
        return False
    if standing is Standing.ISOLATED:
        return domain.when_isolated is WhenIsolated.SERVE
    return True
