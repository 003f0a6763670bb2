"""Finds room for gangs on free cells and on cells that borrowed gangs hold."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from cardamomdyke.model.jobs import Adjacency, JobSpecification, MemberPlacement
from cardamomdyke.placement.allocation import Allocation, list_groups
from cardamomdyke.placement.cells import (
    CellMap,
    choose_accelerators,
    list_free_blocks,
    list_indices,
    make_mask,
    measure_fit,
    round_up_size,
)
from cardamomdyke.placement.guarantees import Assignment, Preference, assign_cells


@dataclass(frozen=True, slots=True)
class Fit:
    """Room for a whole gang.

    Attributes
    ----------
    placements : tuple of MemberPlacement
        One entry per member.
    victims : frozenset of str
        Borrowed gangs that hold some of the accelerators.
    cost : float
        Accelerator seconds that the preemption of the victims would lose.
    """

    placements: tuple[MemberPlacement, ...]
    victims: frozenset[str] = frozenset()
    cost: float = 0.0


def find_guaranteed_fit(
    allocation: Allocation, specification: JobSpecification
) -> Fit | None:
    """Find room for a gang inside its client account's guarantee.

    Parameters
    ----------
    allocation : Allocation
        Who holds the pool's accelerators.
    specification : JobSpecification
        Shape and client account.

    Returns
    -------
    Fit or None
        The cheapest room; None when the gang is outside the guarantee.
    """
    account = specification.client_account
    if all(row.client_account != account for row in allocation.pool.guarantees):
        return None
    best: Fit | None = None
    for rack, groups in list_choices(allocation, specification):
        preference = Preference(account, rack, allocation.costs, allocation.occupied)
        assignment = assign_cells(
            allocation.pool, allocation.used, allocation.unusable, preference
        )
        room = find_room(allocation, assignment, account)
        fit = find_cheapest_fit(allocation, specification, room, groups, tightest=True)
        if fit is None:
            continue
        if best is None or fit.cost < best.cost:
            best = fit
        if not best.victims:
            break
    return best


def list_choices(
    allocation: Allocation, specification: JobSpecification
) -> Iterator[tuple[str, list[list[str]]]]:
    """Yield the racks to prefer, with the groups that may hold the gang then."""
    adjacent = specification.adjacency is Adjacency.RACK
    if specification.gang_size > 1 and adjacent:
        yield from ((rack, [names]) for rack, names in allocation.racks.items())
        return
    yield "", list_groups(allocation, specification)


def find_room(allocation: Allocation, assignment: Assignment, account: str) -> CellMap:
    """Return the usable accelerators of an account's cells that its work leaves."""
    used = allocation.used.get(account, {})
    room = {}
    for server, mask in assignment.owned.get(account, {}).items():
        left = mask & ~used.get(server, 0)
        if left and server in allocation.servers:
            room[server] = left
    return room


def find_cheapest_fit(
    allocation: Allocation,
    specification: JobSpecification,
    room: CellMap,
    groups: Iterable[Iterable[str]],
    tightest: bool = False,
) -> Fit | None:
    """Find the room that costs the least, then the group with the least room.

    Parameters
    ----------
    allocation : Allocation
        Who holds the pool's accelerators.
    specification : JobSpecification
        Shape of the gang.
    room : CellMap
        Accelerators that may be used, free or held by borrowed gangs.
    groups : iterable of iterables of str
        Names of backend servers; one group holds the whole gang.
    tightest : bool
        True to split the smallest cells whatever it costs; else the cheapest
        accelerators are used first.

    Returns
    -------
    Fit or None
        None when no group has room.
    """
    size = specification.accelerators_per_task
    best: tuple[float, int, int] | None = None
    chosen: Fit | None = None
    for number, group in enumerate(groups):
        names = [name for name in group if room.get(name, 0).bit_count() >= size]
        members = sum(room[name].bit_count() // size for name in names)
        if members < specification.gang_size:
            continue
        fit = fit_members(allocation, specification, room, names, tightest)
        rank = (fit.cost, members, number)
        if best is None or rank < best:
            best, chosen = rank, fit
    return chosen


def fit_members(
    allocation: Allocation,
    specification: JobSpecification,
    room: CellMap,
    names: list[str],
    tightest: bool,
) -> Fit:
    """Place all members, one backend server after the other.

    ``names`` must have room for all members.
    """
    left = {name: room[name] for name in names}
    placements: list[MemberPlacement] = []
    victims: set[str] = set()
    size = specification.accelerators_per_task
    while len(placements) < specification.gang_size:
        *_, name, mask = min(
            rank_member(allocation, size, name, mask, victims, tightest)
            for name, mask in left.items()
        )
        while mask and len(placements) < specification.gang_size:
            left[name] &= ~mask
            victims.update(list_holders(allocation, name, mask))
            placements.append(MemberPlacement(name, list_indices(mask)))
            *_, mask = rank_member(
                allocation, size, name, left[name], victims, tightest
            )
        if not mask:
            del left[name]
    cost = sum(allocation.borrowers[victim].cost for victim in victims)
    return Fit(tuple(placements), frozenset(victims), cost)


def rank_member(
    allocation: Allocation,
    size: int,
    name: str,
    room: int,
    victims: set[str],
    tightest: bool,
) -> tuple[bool, float, float, int, str, int]:
    """Return the sort key of a backend server for one member, and the mask.

    The mask is 0 when the member does not fit.
    """
    accelerators = allocation.servers[name].accelerators
    best: tuple[float, float, int] | None = None
    for mask in list_member_masks(room, size, accelerators):
        holders = list_holders(allocation, name, mask)
        cost = sum(allocation.borrowers[h].cost for h in holders if h not in victims)
        fit = measure_fit(mask, room, accelerators)
        rank = (fit, cost, mask) if tightest else (cost, fit, mask)
        if best is None or rank < best:
            best = rank
    if best is None:
        return True, 0.0, 0.0, 0, name, 0
    return False, best[0], best[1], room.bit_count(), name, best[2]


def list_member_masks(room: int, size: int, accelerators: int) -> list[int]:
    """Return the places for one member on a backend server."""
    if room.bit_count() < size:
        return []
    blocks = list_free_blocks(room, round_up_size(size), accelerators)
    if blocks:
        return [make_mask(list_indices(block)[:size]) for block in blocks]
    return [choose_accelerators(room, size, accelerators)]


def list_holders(allocation: Allocation, name: str, mask: int) -> list[str]:
    """Return the borrowed gangs that hold some accelerators of a mask."""
    return [
        job_id
        for job_id, held in allocation.holders.get(name, {}).items()
        if held & mask
    ]
