"""View of all VMs, merged from gossip.

Times are seconds on the daemon's steady clock.
"""

from collections.abc import Iterable
from dataclasses import dataclass, replace
from itertools import islice

from xxhash import xxh3_64_intdigest

# A VM whose heartbeat has not risen for this long counts as failed.
HEARTBEAT_TIMEOUT_SECONDS = 5.0
# A VM whose heartbeat has not risen for this long leaves the view.
MEMBER_RETENTION_SECONDS = 600.0
# Keys of members are positive 32-bit integers.
KEY_MASK = 0x7FFFFFFF


@dataclass(frozen=True, slots=True)
class Member:
    """Newest state of a VM that is known here.

    Attributes
    ----------
    name : str
        Name of the VM.
    failure_domain : str
        Failure domain of the VM.
    peer_address : str
        ``host:port`` for other VMs.
    caller_address : str
        ``host:port`` for callers and operators.
    incarnation : int
        Increases at each start of the daemon.
    heartbeat : int
        Increases at each gossip round of an incarnation.
    draining : bool
        True if the VM accepts no new work.
    heard_at : float
        Time at which the heartbeat last rose.
    """

    name: str
    failure_domain: str
    peer_address: str
    caller_address: str
    incarnation: int = 0
    heartbeat: int = 0
    draining: bool = False
    heard_at: float = float("-inf")


@dataclass(frozen=True, slots=True)
class View:
    """All known VMs.

    Attributes
    ----------
    members : dict of str to Member
        By name; never changed in place.
    """

    members: dict[str, Member]


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Newest heartbeat of a VM whose other fields the receiver has.

    Attributes
    ----------
    key : int
        See `make_member_key`.
    heartbeat : int
        The VM's counter.
    heard_at : float
        Time at which the counter last rose.
    draining : bool
        True if the VM accepts no new work.
    """

    key: int
    heartbeat: int
    heard_at: float
    draining: bool = False


def make_member_key(member: Member) -> int:
    """Return a short hash of a VM's name and incarnation."""
    text = f"{member.name}\0{member.incarnation}"
    return xxh3_64_intdigest(text.encode()) & KEY_MASK


def merge_members(view: View, members: Iterable[Member]) -> View:
    """Merge members with a newer incarnation or heartbeat."""
    merged = dict(view.members)
    for member in members:
        known = merged.get(member.name)
        if known is not None:
            if (member.incarnation, member.heartbeat) <= (
                known.incarnation,
                known.heartbeat,
            ):
                continue
            member = replace(member, heard_at=max(member.heard_at, known.heard_at))
        merged[member.name] = member
    return View(merged)


def merge_heartbeats(
    view: View, heartbeats: Iterable[Heartbeat]
) -> tuple[View, frozenset[int]]:
    """Merge newer heartbeats.

    Parameters
    ----------
    view : View
        Known so far.
    heartbeats : iterable of Heartbeat
        Received from a peer.

    Returns
    -------
    view : View
        The view with the newer heartbeats.
    unknown : frozenset of int
        Keys of VMs that the view lacks.
    """
    by_key = {make_member_key(member): member for member in view.members.values()}
    received = []
    unknown = set()
    for item in heartbeats:
        member = by_key.get(item.key)
        if member is None:
            unknown.add(item.key)
            continue
        received.append(
            replace(
                member,
                heartbeat=item.heartbeat,
                heard_at=item.heard_at,
                draining=item.draining,
            )
        )
    return merge_members(view, received), frozenset(unknown)


def choose_heartbeats(
    view: View, now: float, limit: int, known: Iterable[Heartbeat] = ()
) -> list[Heartbeat]:
    """Return the newest heartbeats of live VMs.

    Parameters
    ----------
    view : View
        Known so far.
    now : float
        Steady-clock seconds.
    limit : int
        Maximum number.
    known : iterable of Heartbeat
        What the receiver has.

    Returns
    -------
    list of Heartbeat
        Newest first, only those newer than the receiver's.
    """
    counters = {item.key: item.heartbeat for item in known}
    live = sorted(list_live(view, now), key=lambda m: m.heard_at, reverse=True)
    chosen = [
        Heartbeat(make_member_key(m), m.heartbeat, m.heard_at, m.draining) for m in live
    ]
    unseen = (item for item in chosen if item.heartbeat > counters.get(item.key, -1))
    return list(islice(unseen, limit))


def drop_expired_members(view: View, now: float) -> View:
    """Return the view without the VMs past their retention."""
    return View(
        {
            name: member
            for name, member in view.members.items()
            if now - member.heard_at <= MEMBER_RETENTION_SECONDS
        }
    )


def list_live(view: View, now: float, failure_domain: str = "") -> list[Member]:
    """Return the VMs that have not failed, of one failure domain or of all ("")."""
    return [
        member
        for member in view.members.values()
        if now - member.heard_at <= HEARTBEAT_TIMEOUT_SECONDS
        and failure_domain in ("", member.failure_domain)
    ]
