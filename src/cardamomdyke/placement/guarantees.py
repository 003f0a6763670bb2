"""Judges whether the guaranteed cells of all client accounts still fit in a pool.

Every guaranteed cell is assigned to a place. A cell that holds guaranteed work of
its client account is bound to where that work runs; the others go on what is left.
Levels are assigned from the largest to the smallest, so a cell never takes
a place that only a larger cell could use. A client account has cells of one kind in
a pool: with two kinds, the placements would not tell which cell a task runs in.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from cardamomdyke.model.tables import BackendServer, CellLevel, Guarantee, Pool
from cardamomdyke.placement.cells import (
    CellMap,
    add_cells,
    fill_mask,
    group_racks,
    list_blocks,
    list_free_blocks,
    map_pool,
)
from cardamomdyke.placement.plan import PlacedGang

LEVEL_ORDER = (CellLevel.POOL, CellLevel.RACK, CellLevel.SERVER, CellLevel.ACCELERATORS)


@dataclass(frozen=True, slots=True)
class CellKind:
    """Level of a cell, with its size for cells inside a backend server."""

    level: CellLevel
    accelerators: int = 0


@dataclass(frozen=True, slots=True)
class MissingCells:
    """Guaranteed cells that have no place.

    Attributes
    ----------
    client_account : str
        Client account whose guarantee is short.
    kind : CellKind
        Level and size of the cells.
    count : int
        Number of cells without a place.
    """

    client_account: str
    kind: CellKind
    count: int


@dataclass(frozen=True, slots=True)
class Preference:
    """Whose unallocated cells are assigned first, and where to.

    Attributes
    ----------
    client_account : str
        Client account that chooses before the others of the same level.
    rack : str
        Rack that it chooses first; empty for no rack.
    costs : dict of str to float
        Cost of reclaiming a backend server, by name; 0 when it is not named.
    occupied : dict of str to int
        Accelerators that borrowed work holds, by backend server.
    """

    client_account: str = ""
    rack: str = ""
    costs: dict[str, float] = field(default_factory=dict)
    occupied: CellMap = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Assignment:
    """Places of the guaranteed cells.

    Attributes
    ----------
    owned : dict of str to CellMap
        Accelerators of the cells of each client account, with its running work.
    unheld : tuple of MissingCells
        Cells without a whole place; empty while the invariant holds.
    """

    owned: dict[str, CellMap]
    unheld: tuple[MissingCells, ...]


@dataclass
class Assigner:
    """Working state of one assignment."""

    pool: Pool
    used: dict[str, CellMap]
    unusable: frozenset[str]
    preference: Preference
    racks: dict[str, list[BackendServer]]
    wanted: dict[CellKind, dict[str, int]]
    owned: dict[str, CellMap]
    users: dict[str, dict[str, int]]
    free: CellMap
    broken: list[tuple[CellKind, str, list[str]]] = field(default_factory=list)
    orders: dict[tuple[CellKind, bool], list[list[BackendServer]]] = field(
        default_factory=dict
    )


def list_wanted(guarantees: Iterable[Guarantee]) -> dict[CellKind, dict[str, int]]:
    """Return the guaranteed cells by kind, largest first, and client account."""
    wanted: dict[CellKind, dict[str, int]] = {}
    for row in guarantees:
        counts = wanted.setdefault(CellKind(row.level, row.accelerators), {})
        counts[row.client_account] = counts.get(row.client_account, 0) + row.count
    return dict(sorted(wanted.items(), key=lambda item: rank_kind(item[0])))


def rank_kind(kind: CellKind) -> tuple[int, int]:
    """Return a sort key that puts larger cells first."""
    return LEVEL_ORDER.index(kind.level), -kind.accelerators


def find_guaranteed_work(placed: Iterable[PlacedGang]) -> dict[str, CellMap]:
    """Return the accelerators that guaranteed work holds, by client account."""
    used: dict[str, CellMap] = {}
    for gang in placed:
        if not gang.borrowed:
            account = gang.specification.client_account
            add_cells(used.setdefault(account, {}), gang.placements)
    return used


def assign_cells(
    pool: Pool,
    used: dict[str, CellMap],
    unusable: frozenset[str] = frozenset(),
    preference: Preference | None = None,
) -> Assignment:
    """Assign every guaranteed cell to a place that no other guarantee needs.

    Parameters
    ----------
    pool : Pool
        Capacity and guarantees.
    used : dict of str to CellMap
        Accelerators that guaranteed work holds, by client account.
    unusable : frozenset of str
        Backend servers on which no unallocated cell may be assigned.
    preference : Preference or None
        Choice among places that are equal for the other guarantees.

    Returns
    -------
    Assignment
        Places, and the cells without a place.
    """
    assigner = make_assigner(pool, used, unusable, preference or Preference())
    for kind, counts in assigner.wanted.items():
        for account in counts:
            bind_cells(assigner, kind, account)
    for account, cells in used.items():
        take_cells(assigner, account, cells)
    for kind, counts in assigner.wanted.items():
        favoured = assigner.preference.client_account
        for account in sorted(counts, key=lambda name: name != favoured):
            counts[account] = place_cells(assigner, kind, account)
    for _, account, group in assigner.broken:
        grant_rest(assigner, account, group)
    unheld = []
    for kind, counts in assigner.wanted.items():
        for account, count in counts.items():
            grant_broken_cells(assigner, kind, account)
            broken = sum(entry[:2] == (kind, account) for entry in assigner.broken)
            if count + broken:
                unheld.append(MissingCells(account, kind, count + broken))
    return Assignment(assigner.owned, tuple(unheld))


def make_assigner(
    pool: Pool,
    used: dict[str, CellMap],
    unusable: frozenset[str],
    preference: Preference,
) -> Assigner:
    """Return the state before any cell has a place."""
    users: dict[str, dict[str, int]] = {}
    for account, cells in used.items():
        for server, mask in cells.items():
            if mask:
                users.setdefault(server, {})[account] = mask
    return Assigner(
        pool=pool,
        used=used,
        unusable=unusable,
        preference=preference,
        racks=group_racks(pool.servers),
        wanted=list_wanted(pool.guarantees),
        owned={row.client_account: {} for row in pool.guarantees},
        users=users,
        free=map_pool(pool, unusable),
    )


def take_cells(assigner: Assigner, account: str, cells: CellMap) -> None:
    """Give accelerators to a client account."""
    owned = assigner.owned.setdefault(account, {})
    for server, mask in cells.items():
        owned[server] = owned.get(server, 0) | mask
        if server in assigner.free:
            assigner.free[server] &= ~mask


def bind_cells(assigner: Assigner, kind: CellKind, account: str) -> None:
    """Bind cells of one kind to the places where their account's work runs.

    Work on an unusable backend server binds no cell there: the account needs the
    cell again on live capacity. A rack or pool that lost servers, or that others
    used while it had lost some, binds its cell without the free rest, which complete
    cells of others may need.
    """
    counts = assigner.wanted[kind]
    touched = {
        server
        for server, mask in assigner.used.get(account, {}).items()
        if mask and server in assigner.free
    }
    for place in list_places(assigner, kind, touched):
        if not counts[account]:
            return
        if not is_used(assigner, account, place):
            continue
        exclusive = is_exclusive(assigner, account, place)
        if exclusive and assigner.unusable.isdisjoint(place):
            counts[account] -= 1
            take_cells(assigner, account, place)
        elif kind.level in (CellLevel.RACK, CellLevel.POOL):
            counts[account] -= 1
            assigner.broken.append((kind, account, list(place)))


def grant_broken_cells(assigner: Assigner, kind: CellKind, account: str) -> None:
    """Grant what is left of racks and pools that lost servers."""
    groups = list_groups(assigner, kind)
    for _ in range(assigner.wanted[kind][account]):
        if kind.level in (CellLevel.RACK, CellLevel.POOL) and groups:
            group = max(groups, key=lambda names: measure_rest(assigner, names))
            grant_rest(assigner, account, group)


def list_groups(assigner: Assigner, kind: CellKind) -> list[list[str]]:
    """Return the names of the backend servers in each rack or in the pool."""
    if kind.level is CellLevel.POOL:
        return [[server.name for server in assigner.pool.servers]]
    return [[server.name for server in rack] for rack in assigner.racks.values()]


def measure_rest(assigner: Assigner, names: list[str]) -> int:
    """Count the free accelerators of some backend servers."""
    return sum(assigner.free.get(name, 0).bit_count() for name in names)


def grant_rest(assigner: Assigner, account: str, names: list[str]) -> None:
    """Grant the free accelerators of some backend servers."""
    cells = {name: assigner.free[name] for name in names if name in assigner.free}
    take_cells(assigner, account, cells)


def is_used(assigner: Assigner, account: str, place: CellMap) -> bool:
    """Tell whether a client account has guaranteed work in a place."""
    used = assigner.used[account]
    return any(used.get(server, 0) & mask for server, mask in place.items())


def is_exclusive(assigner: Assigner, account: str, place: CellMap) -> bool:
    """Tell whether no other client account has guaranteed work in a place."""
    for server, mask in place.items():
        for user, held in assigner.users.get(server, {}).items():
            if user != account and held & mask:
                return False
    return True


def list_places(assigner: Assigner, kind: CellKind, servers: set[str]) -> list[CellMap]:
    """Return the places of one kind that touch some backend servers."""
    if kind.level is CellLevel.POOL:
        return [map_pool(assigner.pool)] if servers else []
    if kind.level is CellLevel.RACK:
        return [
            {server.name: fill_mask(server.accelerators) for server in rack}
            for rack in assigner.racks.values()
            if any(server.name in servers for server in rack)
        ]
    touched = [server for server in assigner.pool.servers if server.name in servers]
    if kind.level is CellLevel.SERVER:
        return [{s.name: fill_mask(s.accelerators)} for s in touched]
    return [
        {server.name: block}
        for server in touched
        for block in list_blocks(kind.accelerators, server.accelerators)
    ]


def place_cells(assigner: Assigner, kind: CellKind, account: str) -> int:
    """Place the unallocated cells of a client account; return how many did not fit."""
    count = assigner.wanted[kind][account]
    if not count:
        return 0
    if kind.level is CellLevel.ACCELERATORS:
        return place_blocks(assigner, kind.accelerators, account, count)
    free = [
        group
        for group in sort_groups(assigner, kind, account)
        if all(is_free(assigner, server) for server in group)
    ]
    for group in free[:count]:
        cells = {server.name: fill_mask(server.accelerators) for server in group}
        take_cells(assigner, account, cells)
    return max(count - len(free), 0)


def sort_groups(
    assigner: Assigner, kind: CellKind, account: str
) -> list[list[BackendServer]]:
    """Return the groups that a cell may take, the smallest groups first.

    The order is kept for the next account: it is the same for all but the favoured.
    """
    favoured = account == assigner.preference.client_account
    if (kind, favoured) not in assigner.orders:
        match kind.level:
            case CellLevel.SERVER:
                groups = [[server] for server in assigner.pool.servers]
            case CellLevel.RACK:
                groups = list(assigner.racks.values())
            case _:
                groups = [list(assigner.pool.servers)]
        assigner.orders[kind, favoured] = sorted(
            filter(None, groups),
            key=lambda group: (
                sum(server.accelerators for server in group),
                rank_servers(assigner, account, group),
            ),
        )
    return assigner.orders[kind, favoured]


def is_free(assigner: Assigner, server: BackendServer) -> bool:
    """Tell whether no part of a backend server is taken."""
    return assigner.free.get(server.name, 0) == fill_mask(server.accelerators)


def rank_servers(
    assigner: Assigner, account: str, group: list[BackendServer]
) -> tuple[bool, float]:
    """Return the preference for a group: the favoured rack, then the lowest cost.

    Other client accounts take the most expensive places, so that the favoured one
    keeps the cheap ones of smaller kinds.
    """
    preference = assigner.preference
    favoured = account == preference.client_account
    cost = sum(preference.costs.get(server.name, 0.0) for server in group)
    in_rack = group[0].rack == preference.rack
    return in_rack != favoured, cost if favoured else -cost


def place_blocks(assigner: Assigner, size: int, account: str, count: int) -> int:
    """Place buddy cells of one size, the tightest free cells first."""
    preference = assigner.preference
    servers = [s for s in assigner.pool.servers if assigner.free.get(s.name)]
    servers.sort(
        key=lambda server: (
            rank_servers(assigner, account, [server]),
            assigner.free[server.name].bit_count(),
        )
    )
    favoured = account == preference.client_account
    for avoid_borrowed in (True, False) if favoured else (False,):
        for server in servers:
            while count:
                free = assigner.free[server.name]
                if avoid_borrowed:
                    free &= ~preference.occupied.get(server.name, 0)
                blocks = list_free_blocks(free, size, server.accelerators)
                if not blocks:
                    break
                take_cells(assigner, account, {server.name: blocks[0]})
                count -= 1
    return count


def find_missing_guarantees(pool: Pool) -> list[str]:
    """Name the guarantees that a pool's cells cannot hold together with the others.

    Parameters
    ----------
    pool : Pool
        Capacity and guarantees.

    Returns
    -------
    list of str
        One sentence per guarantee; empty when the pool holds all of them.
    """
    faults = []
    for row in pool.guarantees:
        fault = find_row_fault(row)
        if fault:
            faults.append(f"{name_row(pool, row.client_account)} {fault}")
    kinds = {(g.client_account, g.level, g.accelerators) for g in pool.guarantees}
    for account, count in Counter(account for account, _, _ in kinds).items():
        if count > 1:
            faults.append(
                f"{name_row(pool, account)} has cells of {count} kinds; use one kind "
                "per client account and pool"
            )
    if faults:
        return faults
    return [
        f"{name_row(pool, unheld.client_account)} cannot be held together with the "
        f"others: {unheld.count} {name_kind(unheld.kind)} too many"
        for unheld in assign_cells(pool, {}).unheld
    ]


def find_row_fault(row: Guarantee) -> str:
    """Return what is wrong with a guarantee by itself; empty when it is valid."""
    if row.count < 1:
        return f"has the count {row.count}; the smallest is 1"
    size = row.accelerators
    if row.level is not CellLevel.ACCELERATORS:
        return f"has accelerators per cell at the level {row.level}" if size else ""
    if size < 1 or size & (size - 1):
        return f"has cells of {size} accelerators; the size must be a power of two"
    return ""


def name_row(pool: Pool, account: str) -> str:
    """Return the words that name a guarantee in a message."""
    return f"guarantee of {account!r} in pool {pool.name!r}"


def name_kind(kind: CellKind) -> str:
    """Return the words that name a kind of cell in a message."""
    if kind.level is CellLevel.ACCELERATORS:
        return f"cells of {kind.accelerators} accelerators"
    return f"{kind.level} cells"


def find_missing_cells(
    pool: Pool, placed: Iterable[PlacedGang], unusable: frozenset[str] = frozenset()
) -> tuple[MissingCells, ...]:
    """Judge the invariant: return the guaranteed cells that no longer fit.

    Parameters
    ----------
    pool : Pool
        Capacity and guarantees.
    placed : iterable of PlacedGang
        Gangs that hold accelerators; borrowed ones can be preempted and do not
        count.
    unusable : frozenset of str
        Backend servers that take nothing new.

    Returns
    -------
    tuple of UnheldCells
        Empty while all unallocated guaranteed cells fit in the cells that
        guaranteed work does not use.
    """
    return assign_cells(pool, find_guaranteed_work(placed), unusable).unheld


def find_short_guarantees(
    pool: Pool, unusable: frozenset[str], placed: Iterable[PlacedGang] = ()
) -> tuple[str, ...]:
    """Name the client accounts whose guarantee is short because capacity died.

    Parameters
    ----------
    pool : Pool
        Capacity and guarantees.
    unusable : frozenset of str
        Backend servers that take nothing new.
    placed : iterable of PlacedGang
        Gangs that hold accelerators; their cells are not short.

    Returns
    -------
    tuple of str
        Names of client accounts, sorted.
    """
    unheld = find_missing_cells(pool, placed, unusable)
    return tuple(sorted({cells.client_account for cells in unheld}))
