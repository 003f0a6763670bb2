"""Chooses the daemons that stand by to plan."""

from collections.abc import Iterable

from cardamomdyke.membership.peers import Peer

# With one in each failure domain, and three at the least, the loss of a domain and
# of one more VM leaves one. Each further one would be another cause for the store
# to deal the planner's partition anew.
MIN_CANDIDATES = 3


def rank_peers(peers: Iterable[Peer]) -> list[str]:
    """Return the VMs in the order in which they stand by to plan.

    The most powerful VM of each failure domain comes first, then the second of
    each, and so on.

    Parameters
    ----------
    peers : iterable of Peer
        All daemons that have announced themselves.

    Returns
    -------
    list of str
        Names of VMs; the same on every VM that knows the same peers.
    """
    ranked = sorted(peers, key=lambda peer: (-peer.power, peer.vm))
    places: dict[str, int] = {}
    keys: dict[str, tuple[int, float, str]] = {}
    for peer in ranked:
        place = places.get(peer.failure_domain, 0)
        places[peer.failure_domain] = place + 1
        keys[peer.vm] = (place, -peer.power, peer.vm)
    return sorted(keys, key=lambda vm: keys[vm])


def count_candidates(peers: Iterable[Peer]) -> int:
    """Return how many daemons stand by at all times."""
    domains = {peer.failure_domain for peer in peers}
    return max(MIN_CANDIDATES, len(domains))
