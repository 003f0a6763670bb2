"""Outlier ejection of backend servers that fail many kinds of requests."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, replace

CONSECUTIVE_FAILURES = 5
# One client account's faulty request must not take servers out.
DIFFERENT_KINDS = 3
MAX_EJECTED_SHARE = 1 / 3
INITIAL_EJECTION_SECONDS = 5.0
MAX_EJECTION_SECONDS = 80.0


@dataclass(frozen=True, slots=True)
class ServerHealth:
    """What this VM has seen of one backend server lately.

    Attributes
    ----------
    failures : int
        Failures in a row.
    kinds : frozenset of str
        Kinds of the requests that failed.
    ejections : int
        Ejections in a row; each doubles the back-off.
    ejected_until : float
        Monotonic time, in seconds, of the next probe; minus infinity while it
        is not ejected.
    probing : bool
        True while a probe is on its way.
    """

    failures: int = 0
    kinds: frozenset[str] = frozenset()
    ejections: int = 0
    ejected_until: float = float("-inf")
    probing: bool = False

    @property
    def ejected(self) -> bool:
        """True until a probe succeeds."""
        return self.ejected_until > float("-inf")


# State after any answer: it returns an ejected server to service.
HEALTHY = ServerHealth()


def record_failure(
    health: ServerHealth, kind: str, others_ejected: int, pool_size: int, now: float
) -> ServerHealth:
    """Take in a failure; see `permit_ejection` for the limit per pool."""
    failed = replace(
        health,
        failures=health.failures + 1,
        kinds=health.kinds | {kind},
        probing=False,
    )
    if health.ejected:
        return eject_server(failed, now)
    if failed.failures < CONSECUTIVE_FAILURES or len(failed.kinds) < DIFFERENT_KINDS:
        return failed
    if not permit_ejection(others_ejected, pool_size):
        return failed
    return eject_server(failed, now)


def permit_ejection(others_ejected: int, pool_size: int) -> bool:
    """Tell whether one more backend server of a pool may be ejected."""
    return others_ejected + 1 <= pool_size * MAX_EJECTED_SHARE


def eject_server(health: ServerHealth, now: float) -> ServerHealth:
    """Eject for a back-off that doubles each time in a row."""
    back_off = min(
        INITIAL_EJECTION_SECONDS * 2.0**health.ejections, MAX_EJECTION_SECONDS
    )
    return replace(health, ejections=health.ejections + 1, ejected_until=now + back_off)


def permit_use(health: ServerHealth, now: float) -> bool:
    """Tell whether the next request may go there, as a probe if it is ejected."""
    if not health.ejected:
        return True
    return now >= health.ejected_until and not health.probing


def begin_probe(health: ServerHealth) -> ServerHealth:
    """Note that a request goes to the server; only one does while it is ejected."""
    return replace(health, probing=health.ejected)


def end_probe(health: ServerHealth) -> ServerHealth:
    """Note that a request ended without news about the server."""
    return replace(health, probing=False)


def count_ejected(healths: Mapping[str, ServerHealth], servers: Sequence[str]) -> int:
    """Return how many of the backend servers are ejected."""
    return sum(healths.get(name, HEALTHY).ejected for name in servers)
