"""Preemption: choice of attempts to stop so that another unit fits."""

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from cardamomdyke.model.orders import Shape, StepOrder
from cardamomdyke.scheduling.placement import (
    PoolCapacity,
    ServerCapacity,
    copy_capacity,
    count_fits,
    list_choices,
    take_capacity,
)
from cardamomdyke.scheduling.victims import AttemptKey, Victim, VictimIndex

# Keeps the cost for each relief finite for a victim that frees nothing that is needed.
LEAST_RELIEF = 1e-6
# Number of attempts that are each tried as the first victim of a unit. Each try costs
# about as much time as the choice without one.
MAX_FIRST_VICTIMS = 3


@dataclass(frozen=True, slots=True)
class Requester:
    """Properties of a unit that decide which attempts it may preempt.

    Attributes
    ----------
    priority : int
        Priority of the job; 0 is the highest.
    guaranteed : bool
        True if the client account's guarantee covers the job.
    is_long_running : bool
        True if the tasks run until the job is cancelled.
    """

    priority: int
    guaranteed: bool
    is_long_running: bool


@dataclass
class Preemption:
    """Servers for a unit, and the attempts to preempt for it.

    Attributes
    ----------
    names : list of str
        A server for each task.
    victims : dict of AttemptKey to Victim
        Attempts to stop.
    slowness : float
        Largest slowness of these servers.
    """

    names: list[str] = field(default_factory=list)
    victims: dict[AttemptKey, Victim] = field(default_factory=dict)
    slowness: float = 1.0

    @property
    def cost(self) -> float:
        """Cost of the stops, in core seconds."""
        return sum(victim.cost for victim in self.victims.values())


@dataclass(frozen=True, slots=True)
class ServerOption:
    """Placement of one task on one server, with the attempts to preempt for it.

    Attributes
    ----------
    name : str
        Name of the server.
    rank : tuple of (float, float, int, str)
        Cost in core seconds times slowness, slowness, free accelerators and name; the
        lowest is chosen, so that of about the same cost the usual server is.
    victims : list of Victim
        Attempts to stop.
    """

    name: str
    rank: tuple[float, float, int, str]
    victims: list[Victim]


def is_within_limit(
    victim_index: VictimIndex, chosen: Iterable[Victim], victim: Victim
) -> bool:
    """Return whether a victim's step allows its stop beside those already chosen."""
    if victim.limited_step is None:
        return True
    stops = victim.task_count + sum(
        item.task_count for item in chosen if item.limited_step == victim.limited_step
    )
    return stops <= victim_index.allowed_stops[victim.limited_step]


def find_preemption(
    pool_capacity: PoolCapacity,
    victim_index: VictimIndex,
    step: StepOrder,
    count: int,
    placed: Mapping[str, int],
    avoided_servers: Iterable[str] = (),
) -> Preemption | None:
    """Choose servers for some tasks, with the least work lost by preemption.

    Parameters
    ----------
    pool_capacity : PoolCapacity
        Free capacity, including what stops will free.
    victim_index : VictimIndex
        Attempts that may be preempted.
    step : StepOrder
        Step of the tasks.
    count : int
        Number of tasks.
    placed : mapping of str to int
        Number of tasks of the step already on each server.
    avoided_servers : iterable of str
        Servers to use only if the others do not suffice.

    Returns
    -------
    Preemption or None
        None if even preempting all candidates does not suffice.
    """
    for groups in list_choices(pool_capacity, step, count, avoided_servers):
        found = find_cheapest_preemption(groups, victim_index, step, count, placed)
        if found is not None:
            return found
    return None


def find_cheapest_preemption(
    groups: Iterable[list[ServerCapacity]],
    victim_index: VictimIndex,
    step: StepOrder,
    count: int,
    placed: Mapping[str, int],
) -> Preemption | None:
    """Return the preemption with the lowest cost over all groups, or None.

    A stop frees capacity on all servers of an attempt. The cheapest victim for one task
    after the other can cost more than an attempt that makes room for several tasks, so
    some of these are tried as the first victim.
    """
    found = [
        (preemption, group)
        for group in groups
        if (preemption := make_preemption(group, victim_index, step, count, placed))
    ]
    if not found:
        return None
    best = min((item for item, _ in found), key=rank_preemption)
    if not best.victims:
        return best
    first_victims = [
        (estimate, victim, group, preemption.names)
        for preemption, group in found
        for estimate, victim in list_first_victims(
            group, victim_index, step, count, placed, best.cost
        )
    ]
    first_victims.sort(key=lambda item: item[0])
    for _, victim, group, names in first_victims[:MAX_FIRST_VICTIMS]:
        # The other tasks stay on the servers already found, to bound the time.
        allowed = {*victim.tasks, *names}
        servers = [capacity for capacity in group if capacity.name in allowed]
        preemption = make_preemption(servers, victim_index, step, count, placed, victim)
        if preemption is not None and rank_preemption(preemption) < rank_preemption(
            best
        ):
            best = preemption
    return best


def rank_preemption(preemption: Preemption) -> tuple[float, float]:
    """Return the sort key of a preemption: its cost, then the speed of its servers."""
    return preemption.cost * preemption.slowness, preemption.slowness


def list_first_victims(
    group: list[ServerCapacity],
    victim_index: VictimIndex,
    step: StepOrder,
    count: int,
    placed: Mapping[str, int],
    max_cost: float,
) -> list[tuple[float, Victim]]:
    """Return victims that make room for more than one task in a group.

    Each has the estimated cost of all victims if room for the other tasks costs as
    much, which is below `max_cost`.
    """
    capacities = {capacity.name: capacity for capacity in group}
    needed = count - sum(count_room(capacity, step, placed) for capacity in group)
    candidates = {
        victim.key: victim
        for name in capacities
        for victim in victim_index.by_server.get(name, [])
        if victim.cost < max_cost
        and (victim.task_count > 1 or count_fits(victim.tasks[name][0], step.shape) > 1)
        and is_within_limit(victim_index, (), victim)
    }
    first_victims = []
    for victim in candidates.values():
        gain = sum(
            measure_gain(capacities[name], victim, step, placed)
            for name in victim.tasks
            if name in capacities
        )
        estimate = victim.cost * max(1.0, needed / gain) if gain > 1 else max_cost
        if estimate < max_cost:
            first_victims.append((estimate, victim))
    return first_victims


def measure_gain(
    capacity: ServerCapacity, victim: Victim, step: StepOrder, placed: Mapping[str, int]
) -> float:
    """Return for how many more tasks a victim makes room on one server.

    This is a fraction of a task if others have to be stopped there too.
    """
    shape, tasks = victim.tasks[capacity.name]
    trial = copy_capacity(capacity)
    take_capacity(trial, shape, -tasks)
    gain = count_room(trial, step, placed) - count_room(capacity, step, placed)
    if gain or count_room(capacity, step, placed):
        return gain
    if step.server_limit and placed.get(capacity.name, 0) >= step.server_limit:
        return 0.0
    return measure_relief(capacity, step.shape, victim)


def count_room(
    capacity: ServerCapacity, step: StepOrder, placed: Mapping[str, int]
) -> int:
    """Return how many more tasks of a step a server can take."""
    fits = count_fits(capacity, step.shape)
    if step.server_limit:
        fits = min(fits, step.server_limit - placed.get(capacity.name, 0))
    return max(0, fits)


def make_preemption(
    group: Iterable[ServerCapacity],
    victim_index: VictimIndex,
    step: StepOrder,
    count: int,
    placed: Mapping[str, int],
    first_victim: Victim | None = None,
) -> Preemption | None:
    """Choose the cheapest server in a group for one task after the other."""
    preemption = Preemption()
    copies = {capacity.name: copy_capacity(capacity) for capacity in group}
    if first_victim is not None:
        preemption.victims[first_victim.key] = first_victim
        release_victim(copies, first_victim)
    used = dict(placed)
    options: dict[str, ServerOption] = {}
    touched: Iterable[str] = copies
    while len(preemption.names) < count:
        for name in touched:
            options.pop(name, None)
            option = make_option(
                copies[name], victim_index, preemption, step, used.get(name, 0)
            )
            if option is not None:
                options[name] = option
        best = min(options.values(), key=lambda option: option.rank, default=None)
        if best is None:
            return None
        for victim in best.victims:
            preemption.victims[victim.key] = victim
            release_victim(copies, victim)
        take_capacity(copies[best.name], step.shape)
        used[best.name] = used.get(best.name, 0) + 1
        preemption.names.append(best.name)
        preemption.slowness = max(preemption.slowness, copies[best.name].slowness)
        # Options on other servers stay valid: a victim counts only where it runs.
        changed = {best.name}.union(*(victim.tasks for victim in best.victims))
        if any(victim.limited_step for victim in best.victims):
            # Fewer tasks of that step may be stopped on all servers.
            changed = set(copies)
        touched = [name for name in changed if name in copies]
    used_names = set(preemption.names)
    before = {
        item.name: copy_capacity(item) for item in group if item.name in used_names
    }
    drop_unused(preemption, before, step.shape)
    return preemption


def drop_unused(
    preemption: Preemption, capacities: dict[str, ServerCapacity], shape: Shape
) -> None:
    """Drop victims, the most expensive first, of which no task needs the capacity.

    A victim that is chosen later may free what an earlier one was chosen for.

    Parameters
    ----------
    preemption : Preemption
        Servers and victims; modified in place.
    capacities : dict of str to ServerCapacity
        Free capacity of the chosen servers before the stops; modified in place.
    shape : Shape
        Resources of each task.
    """
    counts = Counter(preemption.names)
    for victim in preemption.victims.values():
        release_victim(capacities, victim)
    for victim in sorted(preemption.victims.values(), key=lambda item: -item.cost):
        take_back_victim(capacities, victim)
        if all(
            count_fits(capacities[name], shape) >= counts[name]
            for name in victim.tasks
            if name in counts
        ):
            del preemption.victims[victim.key]
        else:
            release_victim(capacities, victim)


def make_option(
    capacity: ServerCapacity,
    victim_index: VictimIndex,
    preemption: Preemption,
    step: StepOrder,
    placed: int,
) -> ServerOption | None:
    """Return the cheapest way to place one more task on a server, or None."""
    if step.server_limit and placed >= step.server_limit:
        return None
    victims = choose_victims(capacity, victim_index, preemption, step.shape)
    if victims is None:
        return None
    cost = sum(victim.cost for victim in victims)
    slowness = capacity.slowness
    rank = (cost * slowness, slowness, capacity.accelerators, capacity.name)
    return ServerOption(capacity.name, rank, victims)


def release_victim(copies: dict[str, ServerCapacity], victim: Victim) -> None:
    """Add back the resources of a preempted attempt."""
    for name, (shape, count) in victim.tasks.items():
        if name in copies:
            take_capacity(copies[name], shape, -count)


def take_back_victim(copies: dict[str, ServerCapacity], victim: Victim) -> None:
    """Undo `release_victim`."""
    for name, (shape, count) in victim.tasks.items():
        if name in copies:
            take_capacity(copies[name], shape, count)


def choose_victims(
    capacity: ServerCapacity,
    victim_index: VictimIndex,
    preemption: Preemption,
    shape: Shape,
) -> list[Victim] | None:
    """Choose attempts to preempt on one server for one task, at the lowest cost found.

    Two orders are tried: the cheapest first, and the cheapest for what they free first,
    since many small attempts can cost more than a large one.
    """
    if count_fits(capacity, shape):
        return []
    candidates = [
        victim
        for victim in victim_index.by_server.get(capacity.name, [])
        if victim.key not in preemption.victims
    ]
    by_cost = sorted(candidates, key=lambda item: item.cost)
    found = take_victims(capacity, victim_index, preemption, shape, by_cost)
    if found is None or len(found) < 2:
        return found
    by_relief = sorted(
        candidates, key=lambda item: item.cost / measure_relief(capacity, shape, item)
    )
    other = take_victims(capacity, victim_index, preemption, shape, by_relief)
    if other is None:
        return found
    return min(found, other, key=lambda items: sum(item.cost for item in items))


def measure_relief(capacity: ServerCapacity, shape: Shape, victim: Victim) -> float:
    """Return how much of what a task lacks on a server a victim frees, above 0."""
    victim_shape, count = victim.tasks[capacity.name]
    pairs = (
        (shape.accelerators - capacity.accelerators, victim_shape.accelerators),
        (shape.millicores - capacity.millicores, victim_shape.millicores),
        (shape.memory_mb - capacity.memory_mb, victim_shape.memory_mb),
    )
    shares = [min(1.0, freed * count / lack) for lack, freed in pairs if lack > 0]
    return max(LEAST_RELIEF, sum(shares) / max(1, len(shares)))


def take_victims(
    capacity: ServerCapacity,
    victim_index: VictimIndex,
    preemption: Preemption,
    shape: Shape,
    candidates: Iterable[Victim],
) -> list[Victim] | None:
    """Take candidates in their order until a task fits, without needless ones."""
    trial = copy_capacity(capacity)
    chosen: list[Victim] = []
    for victim in candidates:
        others = [*preemption.victims.values(), *chosen]
        if not is_within_limit(victim_index, others, victim):
            continue
        victim_shape, count = victim.tasks[capacity.name]
        take_capacity(trial, victim_shape, -count)
        chosen.append(victim)
        if count_fits(trial, shape):
            return drop_unneeded(capacity, chosen, shape)
    return None


def drop_unneeded(
    capacity: ServerCapacity, chosen: list[Victim], shape: Shape
) -> list[Victim]:
    """Drop victims, the most expensive first, that the others make unnecessary."""
    trial = copy_capacity(capacity)
    for victim in chosen:
        victim_shape, count = victim.tasks[capacity.name]
        take_capacity(trial, victim_shape, -count)
    kept = list(chosen)
    for victim in sorted(chosen, key=lambda item: -item.cost):
        victim_shape, count = victim.tasks[capacity.name]
        take_capacity(trial, victim_shape, count)
        if count_fits(trial, shape):
            kept.remove(victim)
        else:
            take_capacity(trial, victim_shape, -count)
    return kept
