"""Finds accelerators for gangs, free or freed by preemption."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from cardamomdyke.model.jobs import Adjacency, JobSpecification, MemberPlacement
from cardamomdyke.placement.allocation import Allocation, list_server_groups
from cardamomdyke.placement.cells import (
    ServerMasks,
    choose_accelerators,
    list_free_blocks,
    list_indices,
    make_mask,
    measure_split_block,
    round_up_to_block,
)
from cardamomdyke.placement.guarantees import Assignment, Preference, assign_cells


@dataclass(frozen=True, slots=True)
class Fit:
    """Accelerators for a whole gang.

    Attributes
    ----------
    placements : tuple of MemberPlacement
        One entry per member.
    victims : frozenset of str
        Job ids of borrowed gangs that hold some of them.
    cost : float
        Accelerator seconds that preempting the victims would lose.
    """

    placements: tuple[MemberPlacement, ...]
    victims: frozenset[str] = frozenset()
    cost: float = 0.0


def find_guaranteed_fit(
    allocation: Allocation, specification: JobSpecification
) -> Fit | None:
    """Find accelerators for a gang within its client account's guarantee.

    Parameters
    ----------
    allocation : Allocation
        Accelerators by holder.
    specification : JobSpecification
        Shape and client account.

    Returns
    -------
    Fit or None
        The cheapest fit; None when the gang exceeds the guarantee.
    """
    account = specification.client_account
    if all(row.client_account != account for row in allocation.pool.guarantees):
        return None
    best: Fit | None = None
    for rack, groups in list_rack_choices(allocation, specification):
        preference = Preference(
            account, rack, allocation.reclaim_costs, allocation.borrowed_masks
        )
        assignment = assign_cells(
            allocation.pool, allocation.guaranteed_work, allocation.unusable, preference
        )
        available = find_available(allocation, assignment, account)
        fit = find_cheapest_fit(
            allocation, specification, available, groups, prefer_tightest=True
        )
        if fit is None:
            continue
        if best is None or fit.cost < best.cost:
            best = fit
        if not best.victims:
            break
    return best


def list_rack_choices(
    allocation: Allocation, specification: JobSpecification
) -> Iterator[tuple[str, list[list[str]]]]:
    """Yield each rack to prefer, with the server groups that may hold the gang.

    Only gangs bound to one rack try racks; others get one empty name.
    """
    adjacent = specification.adjacency is Adjacency.RACK
    if specification.gang_size > 1 and adjacent:
        yield from ((rack, [names]) for rack, names in allocation.racks.items())
        return
    yield "", list_server_groups(allocation, specification)


def find_available(
    allocation: Allocation, assignment: Assignment, account: str
) -> ServerMasks:
    """Return the usable accelerators of an account's cells without guaranteed work."""
    guaranteed_work = allocation.guaranteed_work.get(account, {})
    available = {}
    for server, mask in assignment.assigned.get(account, {}).items():
        left = mask & ~guaranteed_work.get(server, 0)
        if left and server in allocation.servers:
            available[server] = left
    return available


def find_cheapest_fit(
    allocation: Allocation,
    specification: JobSpecification,
    available: ServerMasks,
    groups: Iterable[Iterable[str]],
    prefer_tightest: bool = False,
) -> Fit | None:
    """Find the cheapest fit; among equals, in the group with the least capacity.

    Parameters
    ----------
    allocation : Allocation
        Accelerators by holder.
    specification : JobSpecification
        Shape of the gang.
    available : ServerMasks
        Accelerators that may be used, free or borrowed.
    groups : iterable of iterables of str
        Server names; one group holds the whole gang.
    prefer_tightest : bool
        True splits the smallest free blocks at any cost; False uses the cheapest
        accelerators first.

    Returns
    -------
    Fit or None
        None when the gang fits in no group.
    """
    size = specification.accelerators_per_task
    best: tuple[float, int, int] | None = None
    chosen: Fit | None = None
    for number, group in enumerate(groups):
        names = [name for name in group if available.get(name, 0).bit_count() >= size]
        members = sum(available[name].bit_count() // size for name in names)
        if members < specification.gang_size:
            continue
        fit = fit_members(allocation, specification, available, names, prefer_tightest)
        rank = (fit.cost, members, number)
        if best is None or rank < best:
            best, chosen = rank, fit
    return chosen


def fit_members(
    allocation: Allocation,
    specification: JobSpecification,
    available: ServerMasks,
    names: list[str],
    prefer_tightest: bool,
) -> Fit:
    """Place all members, one backend server after the other.

    The named servers must have room for all.
    """
    left = {name: available[name] for name in names}
    placements: list[MemberPlacement] = []
    victims: set[str] = set()
    size = specification.accelerators_per_task
    while len(placements) < specification.gang_size:
        *_, name, mask = min(
            rank_server(allocation, size, name, mask, victims, prefer_tightest)
            for name, mask in left.items()
        )
        while mask and len(placements) < specification.gang_size:
            left[name] &= ~mask
            victims.update(list_borrowers(allocation, name, mask))
            placements.append(MemberPlacement(name, list_indices(mask)))
            *_, mask = rank_server(
                allocation, size, name, left[name], victims, prefer_tightest
            )
        if not mask:
            del left[name]
    cost = sum(allocation.borrowers[victim].cost for victim in victims)
    return Fit(tuple(placements), frozenset(victims), cost)


def rank_server(
    allocation: Allocation,
    size: int,
    name: str,
    available: int,
    victims: set[str],
    prefer_tightest: bool,
) -> tuple[bool, float, float, int, str, int]:
    """Return a server's sort key for one member.

    It ends with the server's name and the member's mask, 0 when it does not fit.
    Victims so far add no cost.
    """
    accelerators = allocation.servers[name].accelerators
    best: tuple[float, float, int] | None = None
    for mask in list_member_masks(available, size, accelerators):
        job_ids = list_borrowers(allocation, name, mask)
        cost = sum(allocation.borrowers[i].cost for i in job_ids if i not in victims)
        fit = measure_split_block(mask, available, accelerators)
        rank = (fit, cost, mask) if prefer_tightest else (cost, fit, mask)
        if best is None or rank < best:
            best = rank
    if best is None:
        return True, 0.0, 0.0, 0, name, 0
    return False, best[0], best[1], available.bit_count(), name, best[2]


def list_member_masks(available: int, size: int, accelerators: int) -> list[int]:
    """Return the possible masks of one member on a backend server."""
    if available.bit_count() < size:
        return []
    blocks = list_free_blocks(available, round_up_to_block(size), accelerators)
    if blocks:
        return [make_mask(list_indices(block)[:size]) for block in blocks]
    return [choose_accelerators(available, size, accelerators)]


def list_borrowers(allocation: Allocation, name: str, mask: int) -> list[str]:
    """Return the job ids of borrowed gangs that overlap a server's mask."""
    return [
        job_id
        for job_id, held in allocation.borrowed_by_server.get(name, {}).items()
        if held & mask
    ]
