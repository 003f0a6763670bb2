"""Choice of the backend server for a short request."""

from collections.abc import Sequence
from dataclasses import dataclass
from random import Random


@dataclass(frozen=True, slots=True)
class Candidate:
    """Backend server that the route allows and that accepts new work.

    Attributes
    ----------
    server : str
        Its name.
    slots : int
        Short requests that it runs at the same time.
    connections : int
        Connections that it accepts.
    running : int
        Short requests of this VM that it runs.
    connected : int
        Connections that this VM has to it.
    local : bool
        True when it is in this VM's failure domain.
    """

    server: str
    slots: int
    connections: int
    running: int = 0
    connected: int = 0
    local: bool = True


def check_free(candidate: Candidate) -> bool:
    """Return whether a backend server has a free slot and connection."""
    return (
        candidate.running < candidate.slots
        and candidate.connected < candidate.connections
    )


def choose_candidate(
    candidates: Sequence[Candidate], random: Random
) -> Candidate | None:
    """Choose the less loaded of two random free backend servers.

    Parameters
    ----------
    candidates : sequence of Candidate
        Allowed, in service, not leaving and not ejected.
    random : Random
        Random number generator.

    Returns
    -------
    Candidate or None
        From this VM's failure domain if a candidate there is free; None when no
        candidate is free.
    """
    free = [candidate for candidate in candidates if check_free(candidate)]
    group = [candidate for candidate in free if candidate.local] or free
    if not group:
        return None
    pair = random.sample(group, min(2, len(group)))
    return min(pair, key=lambda candidate: candidate.running / candidate.slots)
