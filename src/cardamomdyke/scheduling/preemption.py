"""Preemption: choice of attempts to stop so that another unit fits."""

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

AttemptKey = tuple[str, tuple[int, int, int]]


# Job id, occurrence and step.
StepKey = tuple[str, int, int]


@dataclass(frozen=True, slots=True)
class Victim:
    """Attempt that may be preempted.

    Attributes
    ----------
    key : tuple of (str, UnitKey)
        Job id and unit.
    cost : float
        Cost of a stop in core seconds, by which victims are chosen.
    tasks : dict of str to (Shape, int)
        Shape and number of the attempt's tasks, by server.
    limited_step : StepKey or None
        Step of the attempt if it limits absences.
    lost : float
        Work that a stop makes the attempt do again, in core seconds.
    saves : bool
        True if the tasks save a checkpoint at the stop.
    repeats : int
        Number of earlier stops of the unit that count in the cost.
    """

    key: AttemptKey
    cost: float
    tasks: dict[str, tuple[Shape, int]]
    limited_step: StepKey | None = None
    lost: float = 0.0
    saves: bool = False
    repeats: int = 0

    @property
    def task_count(self) -> int:
        """Number of the attempt's tasks."""
        return sum(count for _, count in self.tasks.values())


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
class VictimIndex:
    """Attempts that may be preempted in one planning pass.

    Attributes
    ----------
    victims : dict of AttemptKey to Victim
        Victims by job and unit.
    by_server : dict of str to list of Victim
        The same victims by server.
    allowed_stops : dict of StepKey to int
        Number of tasks that may be stopped now, by step that limits absences.
    """

    victims: dict[AttemptKey, Victim] = field(default_factory=dict)
    by_server: dict[str, list[Victim]] = field(default_factory=dict)
    allowed_stops: dict[StepKey, int] = field(default_factory=dict)


@dataclass
class Preemption:
    """Servers for a unit, and the attempts to preempt for it.

    Attributes
    ----------
    names : list of str
        A server for each task.
    victims : dict of AttemptKey to Victim
        Attempts to stop.
    """

    names: list[str] = field(default_factory=list)
    victims: dict[AttemptKey, Victim] = field(default_factory=dict)

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
    rank : tuple of (float, int, str)
        Cost in core seconds, free accelerators and name; the lowest is chosen.
    victims : list of Victim
        Attempts to stop.
    """

    name: str
    rank: tuple[float, int, str]
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
    """Return the preemption with the lowest cost over all groups, or None."""
    preemptions = [
        make_preemption(group, victim_index, step, count, placed) for group in groups
    ]
    found = [preemption for preemption in preemptions if preemption is not None]
    return min(found, key=lambda preemption: preemption.cost, default=None)


def make_preemption(
    group: Iterable[ServerCapacity],
    victim_index: VictimIndex,
    step: StepOrder,
    count: int,
    placed: Mapping[str, int],
) -> Preemption | None:
    """Choose the cheapest server in a group for one task after the other."""
    preemption = Preemption()
    copies = {capacity.name: copy_capacity(capacity) for capacity in group}
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
        # Options on other servers stay valid: a victim counts only where it runs.
        changed = {best.name}.union(*(victim.tasks for victim in best.victims))
        if any(victim.limited_step for victim in best.victims):
            # Fewer tasks of that step may be stopped on all servers.
            changed = set(copies)
        touched = [name for name in changed if name in copies]
    return preemption


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
    return ServerOption(
        capacity.name, (cost, capacity.accelerators, capacity.name), victims
    )


def release_victim(copies: dict[str, ServerCapacity], victim: Victim) -> None:
    """Add back the resources of a preempted attempt."""
    for name, (shape, count) in victim.tasks.items():
        if name in copies:
            take_capacity(copies[name], shape, -count)


def choose_victims(
    capacity: ServerCapacity,
    victim_index: VictimIndex,
    preemption: Preemption,
    shape: Shape,
) -> list[Victim] | None:
    """Choose attempts to preempt on one server, the cheapest first, for one task."""
    if count_fits(capacity, shape):
        return []
    trial = copy_capacity(capacity)
    chosen: list[Victim] = []
    candidates = [
        victim
        for victim in victim_index.by_server.get(capacity.name, [])
        if victim.key not in preemption.victims
    ]
    for victim in sorted(candidates, key=lambda item: item.cost):
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
    kept = list(chosen)
    for victim in sorted(chosen, key=lambda item: -item.cost):
        others = [item for item in kept if item is not victim]
        trial = copy_capacity(capacity)
        for item in others:
            victim_shape, count = item.tasks[capacity.name]
            take_capacity(trial, victim_shape, -count)
        if count_fits(trial, shape):
            kept = others
    return kept
