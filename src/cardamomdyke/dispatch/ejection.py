"""Outlier ejection of backend servers that fail several kinds of requests."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, replace

MIN_CONSECUTIVE_FAILURES = 5
# One client account's faulty request must not eject servers.
MIN_FAILED_KINDS = 3
MAX_EJECTED_SHARE = 1 / 3
INITIAL_EJECTION_SECONDS = 5.0
MAX_EJECTION_SECONDS = 80.0


@dataclass(frozen=True, slots=True)
class ServerHealth:
    """Failures of one backend server since its last success for this VM.

    Attributes
    ----------
    failures : int
        Consecutive failures.
    failed_kinds : frozenset of str
        Kinds of the failed requests; a kind is one client account and body.
    ejections : int
        Consecutive ejections; each doubles the backoff.
    ejected_until : float
        Steady-clock time, in seconds, of the next probe; minus infinity while not
        ejected.
    probing : bool
        True while a probe is in flight.
    """

    failures: int = 0
    failed_kinds: frozenset[str] = frozenset()
    ejections: int = 0
    ejected_until: float = float("-inf")
    probing: bool = False

    @property
    def ejected(self) -> bool:
        """True until a probe succeeds."""
        return self.ejected_until > float("-inf")


# State after a success, which returns an ejected server to service.
HEALTHY = ServerHealth()


def record_failure(
    health: ServerHealth, kind: str, others_ejected: int, pool_size: int, now: float
) -> ServerHealth:
    """Record a failure, and eject the server when due and allowed.

    A failed probe ejects the server again at once.
    """
    failed = replace(
        health,
        failures=health.failures + 1,
        failed_kinds=health.failed_kinds | {kind},
        probing=False,
    )
    if health.ejected:
        return eject_server(failed, now)
    if (
        failed.failures < MIN_CONSECUTIVE_FAILURES
        or len(failed.failed_kinds) < MIN_FAILED_KINDS
    ):
        return failed
    if not permit_ejection(others_ejected, pool_size):
        return failed
    return eject_server(failed, now)


def permit_ejection(others_ejected: int, pool_size: int) -> bool:
    """Return whether one more ejection keeps within `MAX_EJECTED_SHARE` of a pool."""
    return others_ejected + 1 <= pool_size * MAX_EJECTED_SHARE


def eject_server(health: ServerHealth, now: float) -> ServerHealth:
    """Eject a server; the backoff doubles with each consecutive ejection."""
    backoff = min(
        INITIAL_EJECTION_SECONDS * 2.0**health.ejections, MAX_EJECTION_SECONDS
    )
    return replace(health, ejections=health.ejections + 1, ejected_until=now + backoff)


def permit_use(health: ServerHealth, now: float) -> bool:
    """Return whether the server may get the next request, as a probe if ejected."""
    if not health.ejected:
        return True
    return now >= health.ejected_until and not health.probing


def start_probe(health: ServerHealth) -> ServerHealth:
    """Record that a request is being sent; to an ejected server it is a probe."""
    return replace(health, probing=health.ejected)


def end_probe(health: ServerHealth) -> ServerHealth:
    """Record that a request, and any probe, has ended."""
    return replace(health, probing=False)


def count_ejected(healths: Mapping[str, ServerHealth], servers: Sequence[str]) -> int:
    """Return how many of the named backend servers are ejected."""
    return sum(healths.get(name, HEALTHY).ejected for name in servers)
