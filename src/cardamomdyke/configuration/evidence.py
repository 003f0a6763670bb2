"""Evidence that the configuration in force is current, and what it permits."""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum

from cardamomdyke.model.tables import FailureDomain, WhenIsolated

# A start needs evidence no older than this.
EVIDENCE_VALID_SECONDS = 3.0
NEVER = float("-inf")


@dataclass(frozen=True, slots=True)
class Evidence:
    """Newest knowledge of which configuration version is current.

    Attributes
    ----------
    version : int
        Highest version known to exist.
    observed_at : float
        Monotonic time, in seconds, at which no higher version existed for certain.
    """

    version: int = 0
    observed_at: float = NEVER


def merge_evidence(evidence: Evidence, version: int, observed_at: float) -> Evidence:
    """Join the known evidence and an observation.

    An observation that no version above 5 existed at some time also says that no
    version above 6 existed then, so the highest version goes with the newest time.

    Parameters
    ----------
    evidence : Evidence
        What is known.
    version : int
        Version seen at the log's end, here or by another VM.
    observed_at : float
        Monotonic time of that read, in seconds; `NEVER` when only the version's
        existence is known.

    Returns
    -------
    Evidence
        Evidence for the highest version, with the newest time.
    """
    return Evidence(
        max(version, evidence.version), max(observed_at, evidence.observed_at)
    )


@dataclass(frozen=True, slots=True)
class Contact:
    """What the VMs of a failure domain said about the log.

    Attributes
    ----------
    failure_domain : str
        Failure domain of the VMs.
    down_at : float
        Monotonic time, in seconds, of the newest report that the log is down.
    up_at : float
        Monotonic time, in seconds, of the newest report that it is not.
    """

    failure_domain: str
    down_at: float = NEVER
    up_at: float = NEVER


def merge_contact(contacts: tuple[Contact, ...], new: Contact) -> tuple[Contact, ...]:
    """Take over newer reports about one failure domain."""
    known = find_contact(contacts, new.failure_domain)
    merged = Contact(
        new.failure_domain,
        max(known.down_at, new.down_at),
        max(known.up_at, new.up_at),
    )
    others = (c for c in contacts if c.failure_domain != new.failure_domain)
    return (*others, merged)


def find_contact(contacts: tuple[Contact, ...], failure_domain: str) -> Contact:
    """Return the reports from one failure domain."""
    found = (c for c in contacts if c.failure_domain == failure_domain)
    return next(found, Contact(failure_domain))


def check_mutual_contact(
    contacts: tuple[Contact, ...], failure_domains: Iterable[str], now: float
) -> bool:
    """Tell whether every failure domain was heard of and none reaches the log.

    Parameters
    ----------
    contacts : tuple of Contact
        Reports, this VM's own included.
    failure_domains : iterable of str
        All configured failure domains.
    now : float
        Monotonic time, in seconds.

    Returns
    -------
    bool
        True when nobody can record an order.
    """
    oldest = now - EVIDENCE_VALID_SECONDS
    if any(contact.up_at >= oldest for contact in contacts):
        return False
    return all(
        find_contact(contacts, name).down_at >= oldest for name in failure_domains
    )


class Standing(StrEnum):
    """What a VM knows about the version in force."""

    CURRENT = "current"
    MUTUAL_CONTACT = "mutual_contact"
    ISOLATED = "isolated"
    OUTDATED = "outdated"


def evaluate_standing(
    evidence: Evidence, version: int, mutual_contact: bool, now: float
) -> Standing:
    """Tell what a VM knows about the version in force.

    Parameters
    ----------
    evidence : Evidence
        What is known.
    version : int
        Configuration version in force on this VM.
    mutual_contact : bool
        Result of `check_mutual_contact`.
    now : float
        Monotonic time, in seconds.

    Returns
    -------
    Standing
        ``OUTDATED`` when a higher version exists, whatever else is known.
    """
    if evidence.version > version:
        return Standing.OUTDATED
    if now - evidence.observed_at <= EVIDENCE_VALID_SECONDS:
        return Standing.CURRENT
    return Standing.MUTUAL_CONTACT if mutual_contact else Standing.ISOLATED


def permit_starts(domain: FailureDomain, ordered_out: bool, standing: Standing) -> bool:
    """Tell whether tasks may start in a failure domain.

    Parameters
    ----------
    domain : FailureDomain
        State according to the configuration in force.
    ordered_out : bool
        True while a direct order to take it out is not settled.
    standing : Standing
        What is known about that configuration.

    Returns
    -------
    bool
        True when starts are allowed.
    """
    if not domain.in_service or ordered_out or standing is Standing.OUTDATED:
        return False
    if standing is Standing.ISOLATED:
        return domain.when_isolated is WhenIsolated.SERVE
    return True
