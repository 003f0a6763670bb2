"""Rendezvous hashing of keys over named nodes."""

from collections.abc import Iterable

from xxhash import xxh3_64_intdigest


def rank_nodes(key: str, nodes: Iterable[str]) -> list[str]:
    """Order nodes by their rendezvous weight for a key.

    Parameters
    ----------
    key : str
        What is assigned to a node.
    nodes : iterable of str
        Names; duplicates are ignored.

    Returns
    -------
    list of str
        The most preferred node first; equal on every VM for equal input.
    """
    return sorted(
        set(nodes),
        key=lambda node: (xxh3_64_intdigest(f"{key}\0{node}".encode()), node),
        reverse=True,
    )


def choose_node(key: str, nodes: Iterable[str]) -> str | None:
    """Return the most preferred node for a key, or None without nodes."""
    return max(
        nodes,
        key=lambda node: (xxh3_64_intdigest(f"{key}\0{node}".encode()), node),
        default=None,
    )
