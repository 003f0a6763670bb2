"""Assigns the guaranteed cells of all client accounts to a pool's accelerators.

A cell in use, which holds guaranteed work of its client account, is assigned where
that work runs. Unused cells then go to free accelerators, the largest level first,
so that none takes a place that only a larger one could use. An account has one kind
of cell in a pool: with two, placements would not tell which cell a task runs in.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from itertools import islice

from cardamomdyke.model.tables import BackendServer, CellLevel, Guarantee, Pool
from cardamomdyke.placement.cells import (
    ServerMasks,
    add_members,
    group_racks,
    list_blocks,
    list_free_blocks,
    make_full_mask,
    make_pool_masks,
)
from cardamomdyke.placement.plan import PlacedGang

LEVELS_BY_SIZE = (
    CellLevel.POOL,
    CellLevel.RACK,
    CellLevel.SERVER,
    CellLevel.ACCELERATORS,
)


@dataclass(frozen=True, slots=True)
class CellKind:
    """Level of a cell and, for parts of a backend server, its accelerators."""

    level: CellLevel
    accelerators: int = 0


@dataclass(frozen=True, slots=True)
class MissingCells:
    """Guaranteed cells that could not be assigned.

    Attributes
    ----------
    client_account : str
        Client account whose guarantee is not met.
    kind : CellKind
        Level and size of the cells.
    count : int
        Number of cells.
    """

    client_account: str
    kind: CellKind
    count: int


@dataclass(frozen=True, slots=True)
class Preference:
    """Which client account's unused cells are assigned first, and where.

    Attributes
    ----------
    client_account : str
        Account assigned before others with the same kind of cell.
    rack : str
        Rack to use first for it; empty for none.
    reclaim_costs : dict of str to float
        Accelerator seconds lost by reclaiming a backend server, by name; 0 when
        missing.
    borrowed_masks : ServerMasks
        Accelerators that borrowed gangs hold.
    """

    client_account: str = ""
    rack: str = ""
    reclaim_costs: dict[str, float] = field(default_factory=dict)
    borrowed_masks: ServerMasks = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Assignment:
    """Accelerators assigned to the guaranteed cells.

    Attributes
    ----------
    assigned : dict of str to ServerMasks
        Accelerators of each client account's cells and guaranteed work.
    missing : tuple of MissingCells
        Cells without a complete place; empty while all guarantees are met.
    """

    assigned: dict[str, ServerMasks]
    missing: tuple[MissingCells, ...]


@dataclass
class AssignmentState:
    """Working state of `assign_cells`, with its parameters.

    Attributes
    ----------
    work_by_server : dict
        Masks by server and client account.
    free : ServerMasks
        Usable accelerators that are not assigned.
    partial_cells : list
        Incomplete racks and pools in use: kind, account and server names.
    group_orders : dict
        Results of `sort_groups`, by kind and whether the account is preferred.
    """

    pool: Pool
    guaranteed_work: dict[str, ServerMasks]
    unusable: frozenset[str]
    preference: Preference
    racks: dict[str, list[BackendServer]]
    remaining: dict[CellKind, dict[str, int]]
    assigned: dict[str, ServerMasks]
    work_by_server: dict[str, dict[str, int]]
    free: ServerMasks
    partial_cells: list[tuple[CellKind, str, list[str]]] = field(default_factory=list)
    group_orders: dict[tuple[CellKind, bool], list[list[BackendServer]]] = field(
        default_factory=dict
    )


def count_guaranteed_cells(
    guarantees: Iterable[Guarantee],
) -> dict[CellKind, dict[str, int]]:
    """Count the guaranteed cells by kind, largest first, and client account."""
    remaining: dict[CellKind, dict[str, int]] = {}
    for row in guarantees:
        counts = remaining.setdefault(CellKind(row.level, row.accelerators), {})
        counts[row.client_account] = counts.get(row.client_account, 0) + row.count
    return dict(sorted(remaining.items(), key=lambda item: rank_kind(item[0])))


def rank_kind(kind: CellKind) -> tuple[int, int]:
    """Return the sort key that puts larger cells first."""
    return LEVELS_BY_SIZE.index(kind.level), -kind.accelerators


def find_guaranteed_work(placed: Iterable[PlacedGang]) -> dict[str, ServerMasks]:
    """Return the accelerators that guaranteed work holds, by client account."""
    guaranteed_work: dict[str, ServerMasks] = {}
    for gang in placed:
        if not gang.borrowed:
            account = gang.specification.client_account
            add_members(guaranteed_work.setdefault(account, {}), gang.placements)
    return guaranteed_work


def assign_cells(
    pool: Pool,
    guaranteed_work: dict[str, ServerMasks],
    unusable: frozenset[str] = frozenset(),
    preference: Preference | None = None,
) -> Assignment:
    """Assign every guaranteed cell to a place that no other guarantee needs.

    Parameters
    ----------
    pool : Pool
        Capacity and guarantees.
    guaranteed_work : dict of str to ServerMasks
        Accelerators that guaranteed work holds, by client account.
    unusable : frozenset of str
        Backend servers that get no unused cell.
    preference : Preference or None
        Choice among places that are equal for the other guarantees.

    Returns
    -------
    Assignment
        Places of the cells, and the cells without one.
    """
    state = make_assignment_state(
        pool, guaranteed_work, unusable, preference or Preference()
    )
    for kind, counts in state.remaining.items():
        for account in counts:
            assign_cells_in_use(state, kind, account)
    for account, masks in guaranteed_work.items():
        assign_masks(state, account, masks)
    for kind, counts in state.remaining.items():
        preferred = state.preference.client_account
        for account in sorted(counts, key=lambda name: name != preferred):
            counts[account] = assign_unused_cells(state, kind, account)
    for _, account, group in state.partial_cells:
        assign_free(state, account, group)
    missing = []
    for kind, counts in state.remaining.items():
        for account, count in counts.items():
            assign_partial_cells(state, kind, account)
            partial = sum(entry[:2] == (kind, account) for entry in state.partial_cells)
            if count + partial:
                missing.append(MissingCells(account, kind, count + partial))
    return Assignment(state.assigned, tuple(missing))


def make_assignment_state(
    pool: Pool,
    guaranteed_work: dict[str, ServerMasks],
    unusable: frozenset[str],
    preference: Preference,
) -> AssignmentState:
    """Create the state before any cell is assigned."""
    work_by_server: dict[str, dict[str, int]] = {}
    for account, masks in guaranteed_work.items():
        for server, mask in masks.items():
            if mask:
                work_by_server.setdefault(server, {})[account] = mask
    return AssignmentState(
        pool=pool,
        guaranteed_work=guaranteed_work,
        unusable=unusable,
        preference=preference,
        racks=group_racks(pool.servers),
        remaining=count_guaranteed_cells(pool.guarantees),
        assigned={row.client_account: {} for row in pool.guarantees},
        work_by_server=work_by_server,
        free=make_pool_masks(pool, unusable),
    )


def assign_masks(state: AssignmentState, account: str, masks: ServerMasks) -> None:
    """Assign accelerators to a client account."""
    assigned = state.assigned.setdefault(account, {})
    for server, mask in masks.items():
        assigned[server] = assigned.get(server, 0) | mask
        if server in state.free:
            state.free[server] &= ~mask


def assign_cells_in_use(state: AssignmentState, kind: CellKind, account: str) -> None:
    """Assign cells of one kind where their account's work runs.

    Work on an unusable backend server takes no cell there: the account needs it
    again on usable servers. A rack or pool with unusable servers, or with work that
    others placed while it had some, is a partial cell, at first without its free
    accelerators, which complete cells of others may need.
    """
    counts = state.remaining[kind]
    for place in list_places_in_use(state, kind, account):
        if not counts[account]:
            return
        exclusive = is_exclusive(state, account, place)
        if exclusive and state.unusable.isdisjoint(place):
            counts[account] -= 1
            assign_masks(state, account, place)
        elif can_share(kind):
            counts[account] -= 1
            state.partial_cells.append((kind, account, list(place)))


def assign_partial_cells(state: AssignmentState, kind: CellKind, account: str) -> None:
    """Assign to each missing rack or pool what the group with the most has free."""
    groups = list_group_names(state, kind)
    for _ in range(state.remaining[kind][account]):
        if can_share(kind) and groups:
            group = max(groups, key=lambda names: count_free(state, names))
            assign_free(state, account, group)


def can_share(kind: CellKind) -> bool:
    """Return whether cells may be partial, so that others have work in the rest."""
    return kind.level in (CellLevel.RACK, CellLevel.POOL)


def list_group_names(state: AssignmentState, kind: CellKind) -> list[list[str]]:
    """Return the server names of each rack or of the pool."""
    if kind.level is CellLevel.POOL:
        return [[server.name for server in state.pool.servers]]
    return [[server.name for server in rack] for rack in state.racks.values()]


def count_free(state: AssignmentState, names: list[str]) -> int:
    """Count the free accelerators of the named servers."""
    return sum(state.free.get(name, 0).bit_count() for name in names)


def assign_free(state: AssignmentState, account: str, names: list[str]) -> None:
    """Assign the free accelerators of the named servers."""
    masks = {name: state.free[name] for name in names if name in state.free}
    assign_masks(state, account, masks)


def list_places_in_use(
    state: AssignmentState, kind: CellKind, account: str
) -> list[ServerMasks]:
    """Return the places of a cell kind with work of an account on usable servers."""
    touched = {
        server
        for server, mask in state.guaranteed_work.get(account, {}).items()
        if mask and server in state.free
    }
    places = list_places(state, kind, touched)
    return [place for place in places if has_work(state, account, place)]


def has_work(state: AssignmentState, account: str, place: ServerMasks) -> bool:
    """Return whether an account's guaranteed work overlaps a place."""
    guaranteed_work = state.guaranteed_work[account]
    return any(guaranteed_work.get(server, 0) & mask for server, mask in place.items())


def is_exclusive(state: AssignmentState, account: str, place: ServerMasks) -> bool:
    """Return whether no other account's guaranteed work overlaps a place."""
    for server, mask in place.items():
        for user, held in state.work_by_server.get(server, {}).items():
            if user != account and held & mask:
                return False
    return True


def list_places(
    state: AssignmentState, kind: CellKind, servers: set[str]
) -> list[ServerMasks]:
    """Return the places of a cell kind that overlap the given servers."""
    if kind.level is CellLevel.POOL:
        return [make_pool_masks(state.pool)] if servers else []
    if kind.level is CellLevel.RACK:
        return [
            {server.name: make_full_mask(server.accelerators) for server in rack}
            for rack in state.racks.values()
            if any(server.name in servers for server in rack)
        ]
    touched = [server for server in state.pool.servers if server.name in servers]
    if kind.level is CellLevel.SERVER:
        return [{s.name: make_full_mask(s.accelerators)} for s in touched]
    return [
        {server.name: block}
        for server in touched
        for block in list_blocks(kind.accelerators, server.accelerators)
    ]


def assign_unused_cells(state: AssignmentState, kind: CellKind, account: str) -> int:
    """Assign an account's remaining cells; return how many do not fit."""
    count = state.remaining[kind][account]
    if not count:
        return 0
    if kind.level is CellLevel.ACCELERATORS:
        return assign_unused_blocks(state, kind.accelerators, account, count)
    free = (
        group
        for group in sort_groups(state, kind, account)
        if all(is_wholly_free(state, server) for server in group)
    )
    for group in islice(free, count):
        masks = {server.name: make_full_mask(server.accelerators) for server in group}
        assign_masks(state, account, masks)
        count -= 1
    return count


def sort_groups(
    state: AssignmentState, kind: CellKind, account: str
) -> list[list[BackendServer]]:
    """Return the server groups that a cell may take, smallest first.

    The result is cached: it is the same for all accounts but the preferred one.
    """
    preferred = account == state.preference.client_account
    if (kind, preferred) not in state.group_orders:
        match kind.level:
            case CellLevel.SERVER:
                groups = [[server] for server in state.pool.servers]
            case CellLevel.RACK:
                groups = list(state.racks.values())
            case _:
                groups = [list(state.pool.servers)]
        state.group_orders[kind, preferred] = sorted(
            filter(None, groups),
            key=lambda group: (
                sum(server.accelerators for server in group),
                rank_group(state, account, group),
            ),
        )
    return state.group_orders[kind, preferred]


def is_wholly_free(state: AssignmentState, server: BackendServer) -> bool:
    """Return whether a server is usable and none of it is assigned."""
    return state.free.get(server.name, 0) == make_full_mask(server.accelerators)


def rank_group(
    state: AssignmentState, account: str, group: list[BackendServer]
) -> tuple[bool, float]:
    """Return the sort key of a group: the preferred rack, then the lowest cost.

    For other accounts both are reversed, so that the cheap places stay free for
    smaller cells of the preferred one.
    """
    preference = state.preference
    preferred = account == preference.client_account
    cost = sum(preference.reclaim_costs.get(server.name, 0.0) for server in group)
    in_rack = group[0].rack == preference.rack
    return in_rack != preferred, cost if preferred else -cost


def assign_unused_blocks(
    state: AssignmentState, size: int, account: str, count: int
) -> int:
    """Assign buddy blocks of one size by tightest fit; return how many do not fit.

    The preferred account first uses accelerators that are not borrowed.
    """
    preference = state.preference
    servers = [s for s in state.pool.servers if state.free.get(s.name)]
    servers.sort(
        key=lambda server: (
            rank_group(state, account, [server]),
            state.free[server.name].bit_count(),
        )
    )
    preferred = account == preference.client_account
    for avoid_borrowed in (True, False) if preferred else (False,):
        for server in servers:
            while count:
                free = state.free[server.name]
                if avoid_borrowed:
                    free &= ~preference.borrowed_masks.get(server.name, 0)
                blocks = list_free_blocks(free, size, server.accelerators)
                if not blocks:
                    break
                assign_masks(state, account, {server.name: blocks[0]})
                count -= 1
    return count


def find_missing_guarantees(pool: Pool) -> list[str]:
    """Check that a pool can hold all its guarantees together.

    Parameters
    ----------
    pool : Pool
        Capacity and guarantees.

    Returns
    -------
    list of str
        One message per guarantee that is invalid or does not fit; empty for none.
    """
    faults = []
    for row in pool.guarantees:
        fault = find_guarantee_fault(row)
        if fault:
            faults.append(f"{describe_guarantee(pool, row.client_account)} {fault}")
    kinds = {(g.client_account, g.level, g.accelerators) for g in pool.guarantees}
    for account, count in Counter(account for account, _, _ in kinds).items():
        if count > 1:
            faults.append(
                f"{describe_guarantee(pool, account)} has cells of {count} kinds; "
                "use one kind per client account and pool"
            )
    if faults:
        return faults
    return [
        f"{describe_guarantee(pool, cells.client_account)} cannot be held together "
        f"with the others: {cells.count} {describe_kind(cells.kind)} too many"
        for cells in assign_cells(pool, {}).missing
    ]


def find_guarantee_fault(row: Guarantee) -> str:
    """Return what is wrong with a guarantee by itself; empty when it is valid."""
    if row.count < 1:
        return f"has the count {row.count}; use at least 1"
    size = row.accelerators
    if row.level is not CellLevel.ACCELERATORS:
        return (
            f"must omit accelerators per cell at the level {row.level}" if size else ""
        )
    if size < 1 or size & (size - 1):
        return f"has cells of {size} accelerators; use a power of two"
    return ""


def describe_guarantee(pool: Pool, account: str) -> str:
    """Return how messages name a guarantee."""
    return f"guarantee of {account!r} in pool {pool.name!r}"


def describe_kind(kind: CellKind) -> str:
    """Return how messages name a kind of cell, in the plural."""
    if kind.level is CellLevel.ACCELERATORS:
        return f"cells of {kind.accelerators} accelerators"
    return f"{kind.level} cells"


def find_missing_cells(
    pool: Pool, placed: Iterable[PlacedGang], unusable: frozenset[str] = frozenset()
) -> tuple[MissingCells, ...]:
    """Return the guaranteed cells that do not fit beside the guaranteed work.

    Parameters
    ----------
    pool : Pool
        Capacity and guarantees.
    placed : iterable of PlacedGang
        Borrowed gangs do not count, because they can be preempted.
    unusable : frozenset of str
        Backend servers that accept no new tasks.

    Returns
    -------
    tuple of MissingCells
        Empty while all guarantees are met.
    """
    return assign_cells(pool, find_guaranteed_work(placed), unusable).missing


def check_within_guarantees(
    pool: Pool, placed: Iterable[PlacedGang], unusable: frozenset[str] = frozenset()
) -> bool:
    """Return whether all guaranteed work is in cells of its own account's guarantee.

    Parameters
    ----------
    pool : Pool
        Capacity and guarantees.
    placed : iterable of PlacedGang
        Borrowed gangs and work on unusable servers need no cell.
    unusable : frozenset of str
        Backend servers that accept no new tasks.

    Returns
    -------
    bool
        False when an account has work in more cells than it is guaranteed, outside of
        cells, or in a backend server or block that others have work in.
    """
    work = find_guaranteed_work(placed)
    state = make_assignment_state(pool, work, unusable, Preference())
    for kind, counts in state.remaining.items():
        for account, count in counts.items():
            places = list_places_in_use(state, kind, account)
            if len(places) > count:
                return False
            for place in places:
                if not (can_share(kind) or is_exclusive(state, account, place)):
                    return False
                assign_masks(state, account, place)
    return not any(
        mask & ~state.assigned.get(account, {}).get(server, 0)
        for account, masks in work.items()
        for server, mask in masks.items()
        if server in state.free
    )


def find_short_guarantees(
    pool: Pool, unusable: frozenset[str], placed: Iterable[PlacedGang] = ()
) -> tuple[str, ...]:
    """Return the client accounts whose guarantee unusable servers leave unmet.

    Parameters
    ----------
    pool : Pool
        Capacity and guarantees.
    unusable : frozenset of str
        Backend servers that accept no new tasks.
    placed : iterable of PlacedGang
        Cells in use on usable servers count as met.

    Returns
    -------
    tuple of str
        Names of client accounts, sorted.
    """
    missing = find_missing_cells(pool, placed, unusable)
    return tuple(sorted({cells.client_account for cells in missing}))
