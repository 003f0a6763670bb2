"""Placement of tasks on backend servers with free capacity."""

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from cardamomdyke.model.orders import Shape, StepOrder

# Work with time to spare has little of it left on a server this much slower.
VERY_SLOW = 2.0


@dataclass(slots=True)
class ServerCapacity:
    """Free capacity of one server during a planning pass.

    Attributes
    ----------
    name : str
        Name of the server.
    rack : str
        Rack of the server.
    labels : tuple of str
        Labels of the server.
    total : Shape
        Total capacity of the server.
    millicores, memory_mb, accelerators : int
        Free capacity; 1000 millicores are a processor core.
    suspect : bool
        True if runs failed there recently.
    slowness : float
        Run times there, as a multiple of those on a usual server.
    """

    name: str
    rack: str
    labels: tuple[str, ...]
    total: Shape
    millicores: int
    memory_mb: int
    accelerators: int
    suspect: bool = False
    slowness: float = 1.0


@dataclass(slots=True)
class PoolCapacity:
    """Free capacity of the servers of a pool that accept new work.

    Attributes
    ----------
    by_name : dict of str to ServerCapacity
        Free capacity by server.
    """

    by_name: dict[str, ServerCapacity] = field(default_factory=dict)


def count_fits(capacity: ServerCapacity | Shape, shape: Shape) -> int:
    """Return how many tasks of a shape fit; 0 for a shape without requirements."""
    # Called for every server and unit of a plan, so it allocates no list.
    fits: int | None = None
    if shape.accelerators > 0:
        fits = capacity.accelerators // shape.accelerators
    if shape.millicores > 0:
        cores = capacity.millicores // shape.millicores
        fits = cores if fits is None or cores < fits else fits
    if shape.memory_mb > 0:
        memory = capacity.memory_mb // shape.memory_mb
        fits = memory if fits is None or memory < fits else fits
    return max(0, fits or 0)


def take_capacity(capacity: ServerCapacity, shape: Shape, count: int = 1) -> None:
    """Subtract the resources of tasks; a negative count adds them back."""
    capacity.millicores -= shape.millicores * count
    capacity.memory_mb -= shape.memory_mb * count
    capacity.accelerators -= shape.accelerators * count


def open_server(capacity: ServerCapacity) -> None:
    """Undo `close_server`."""
    take_capacity(capacity, capacity.total, -1)


def close_server(capacity: ServerCapacity) -> None:
    """Leave nothing of a server free in this pass, also if reservations are released.

    What is free may be negative, while a reservation waits for stops.
    """
    take_capacity(capacity, capacity.total)


def fits_all(pool_capacity: PoolCapacity, names: Iterable[str], shape: Shape) -> bool:
    """Check that a task fits each time that a server is named."""
    for name, count in Counter(names).items():
        capacity = pool_capacity.by_name.get(name)
        if capacity is None or count_fits(capacity, shape) < count:
            return False
    return True


def copy_capacity(capacity: ServerCapacity) -> ServerCapacity:
    """Return an independent copy."""
    return ServerCapacity(
        capacity.name,
        capacity.rack,
        capacity.labels,
        capacity.total,
        capacity.millicores,
        capacity.memory_mb,
        capacity.accelerators,
        capacity.suspect,
        capacity.slowness,
    )


def choose_servers(
    pool_capacity: PoolCapacity,
    step: StepOrder,
    count: int,
    placed: Mapping[str, int],
    avoided_servers: Iterable[str] = (),
    prefers_usual: bool = False,
) -> list[str] | None:
    """Choose a server for each task, without subtracting the capacity.

    Parameters
    ----------
    pool_capacity : PoolCapacity
        Free capacity.
    step : StepOrder
        Step of the tasks.
    count : int
        Number of tasks.
    placed : mapping of str to int
        Tasks of the step already on each server.
    avoided_servers : iterable of str
        Servers to use only if the others do not suffice.
    prefers_usual : bool
        True if the tasks have no time to spare for a slow server.

    Returns
    -------
    list of str or None
        A server name for each task; None if not all fit.
    """
    for groups in list_choices(pool_capacity, step, count, avoided_servers):
        found = choose_in_groups(groups, step, count, placed, prefers_usual)
        if found is not None:
            return found
    return None


def list_allowed(pool_capacity: PoolCapacity, step: StepOrder) -> list[ServerCapacity]:
    """Return the servers that have the label that a step requires."""
    return [
        capacity
        for capacity in pool_capacity.by_name.values()
        if not step.required_label or step.required_label in capacity.labels
    ]


def list_choices(
    pool_capacity: PoolCapacity,
    step: StepOrder,
    count: int,
    avoided_servers: Iterable[str],
) -> list[list[list[ServerCapacity]]]:
    """Return what to try in turn: groups of servers of which one must fit all tasks.

    The first groups have only servers that are neither suspect nor to be avoided, the
    others have all. Groups are formed before that, since a gang that needs one rack
    must not be spread because each rack has a suspect server.
    """
    excluded = set(avoided_servers)
    groups = list_groups(list_allowed(pool_capacity, step), step, count)
    preferred_groups = [
        [
            capacity
            for capacity in group
            if not capacity.suspect and capacity.name not in excluded
        ]
        for group in groups
    ]
    if preferred_groups == groups:
        return [groups]
    return [preferred_groups, groups]


def choose_in_groups(
    groups: Iterable[list[ServerCapacity]],
    step: StepOrder,
    count: int,
    placed: Mapping[str, int],
    prefers_usual: bool,
) -> list[str] | None:
    """Choose servers in one group: the fullest that fits, by speed first.

    A gang is as slow as the slowest of its servers.
    """
    best: list[str] | None = None
    best_rank = (0, 0)
    for group in groups:
        found = choose_best_fit(group, step, count, placed, prefers_usual)
        if found is None:
            continue
        used = set(found)
        ranks = (rank_speed(item, prefers_usual) for item in group if item.name in used)
        slowest = max(ranks, default=0)
        rank = (slowest, sum(capacity.accelerators for capacity in group))
        if best is None or rank < best_rank:
            best, best_rank = found, rank
    return best


def list_groups(
    allowed: list[ServerCapacity], step: StepOrder, count: int
) -> list[list[ServerCapacity]]:
    """Return the groups of servers of which one must fit all tasks.

    These are racks if the step requires one. A gang too large for every rack, even an
    empty one, is spread over racks.
    """
    if not (step.rack_sensitive and count > 1):
        return [allowed]
    racks: dict[str, list[ServerCapacity]] = {}
    for capacity in allowed:
        racks.setdefault(capacity.rack, []).append(capacity)
    large = [group for group in racks.values() if could_fit(group, step, count)]
    return large or [allowed]


def could_fit(group: list[ServerCapacity], step: StepOrder, count: int) -> bool:
    """Check that all tasks would fit on a group of empty servers."""
    fits = 0
    for capacity in group:
        most = count_fits(capacity.total, step.shape)
        fits += min(most, step.server_limit) if step.server_limit else most
    return fits >= count


def is_whole(capacity: ServerCapacity) -> bool:
    """Return whether nothing of a server is used or reserved."""
    total = capacity.total
    return (
        capacity.accelerators == total.accelerators
        and capacity.millicores == total.millicores
        and capacity.memory_mb == total.memory_mb
    )


def measure_whole_shares(group: Iterable[ServerCapacity]) -> dict[str, float]:
    """Return the share of the servers of each rack that are whole."""
    servers: Counter[str] = Counter()
    whole: Counter[str] = Counter()
    for capacity in group:
        servers[capacity.rack] += 1
        whole[capacity.rack] += is_whole(capacity)
    return {rack: whole[rack] / count for rack, count in servers.items()}


def rank_fit(
    capacity: ServerCapacity, whole_shares: Mapping[str, float]
) -> tuple[int, int, int, float, str]:
    """Return the sort key of a server; the lowest is filled first.

    Of servers with equally many free accelerators one that is partly used comes first,
    then one in the rack with the fewest whole servers for its size, so that whole
    servers and racks are left for gangs.
    """
    return (
        capacity.accelerators,
        capacity.millicores,
        capacity.memory_mb,
        whole_shares[capacity.rack],
        capacity.name,
    )


def choose_best_fit(
    group: list[ServerCapacity],
    step: StepOrder,
    count: int,
    placed: Mapping[str, int],
    prefers_usual: bool,
) -> list[str] | None:
    """Choose servers by speed, then by best fit: the fewest free accelerators first.

    For tasks without time to spare the speed comes first, since a slow server takes
    much of their slack. For others best fit does, since a task on an emptier server
    breaks up room for gangs; of servers that fit equally well they take the slow one.
    The order decides only which servers are used, not whether the tasks fit.
    """
    names: list[str] = []
    for capacity in order_servers(group, prefers_usual):
        fits = count_fits(capacity, step.shape)
        if step.server_limit:
            fits = min(fits, step.server_limit - placed.get(capacity.name, 0))
        names += [capacity.name] * min(fits, count - len(names))
        if len(names) == count:
            return names
    return None


def order_servers(
    group: list[ServerCapacity], prefers_usual: bool
) -> list[ServerCapacity]:
    """Return servers in the order in which tasks use them."""
    whole_shares = measure_whole_shares(group)
    ordered = sorted(group, key=lambda item: rank_fit(item, whole_shares))
    if any(capacity.slowness > 1.0 for capacity in group):
        ordered.sort(
            key=lambda item: (
                rank_speed(item, prefers_usual),
                item.accelerators,
                item.slowness <= 1.0,
            )
        )
    return ordered


def rank_speed(capacity: ServerCapacity, prefers_usual: bool) -> int:
    """Return which servers come first whatever fits best; the lowest do.

    These are all that are not very slow, or only the usual ones.
    """
    if capacity.slowness >= VERY_SLOW:
        return 2
    return int(prefers_usual and capacity.slowness > 1.0)
