"""Chooses the permanent planner candidates among the daemons."""

from collections.abc import Iterable

from cardamomdyke.membership.peers import Peer

# With one candidate in each failure domain and at least three, the loss of a domain and
# one more VM leaves one. Each further one would be another cause for the store to
# reassign the planner's partition.
MIN_CANDIDATES = 3


def rank_peers(peers: Iterable[Peer]) -> list[str]:
    """Order VMs by preference as planner candidates.

    The most powerful VM of each failure domain comes first, then the second of
    each, and so on.

    Parameters
    ----------
    peers : iterable of Peer
        All daemons that have announced themselves.

    Returns
    -------
    list of str
        Names, the most preferred first; equal on every VM for equal peers.
    """
    ranked = sorted(peers, key=lambda peer: (-peer.power, peer.vm))
    domain_sizes: dict[str, int] = {}
    sort_keys: dict[str, tuple[int, float, str]] = {}
    for peer in ranked:
        rank = domain_sizes.get(peer.failure_domain, 0)
        domain_sizes[peer.failure_domain] = rank + 1
        sort_keys[peer.vm] = (rank, -peer.power, peer.vm)
    return sorted(sort_keys, key=lambda vm: sort_keys[vm])


def count_candidates(peers: Iterable[Peer]) -> int:
    """Return the number of permanent candidates."""
    domains = {peer.failure_domain for peer in peers}
    return max(MIN_CANDIDATES, len(domains))
