"""Preemption: choice of attempts to stop so that another unit fits."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from cardamomdyke.model.orders import Shape, StepOrder
from cardamomdyke.planner.placement import (
    Room,
    Rooms,
    copy_room,
    count_fits,
    list_allowed,
    list_groups,
    list_preferred,
    take_room,
)
from cardamomdyke.planner.state import (
    Attempt,
    Job,
    MemberPhase,
    PlannerState,
    Unit,
    UnitKey,
)

# Weight of an accelerator in processor cores, as the platform prices it.
CORES_PER_ACCELERATOR = 8.0
MILLICORES = 1000.0
# Exceeds the cost of any other stop, so that long-running tasks are preempted last.
LASTING_COST_CORE_SECONDS = 1e6

AttemptKey = tuple[str, UnitKey]


@dataclass(frozen=True, slots=True)
class Victim:
    """Attempt that may be preempted.

    Attributes
    ----------
    key : tuple of (str, UnitKey)
        Job id and unit.
    cost : float
        Work lost by a stop, in core seconds.
    rooms : dict of str to (Shape, int)
        Shape and number of the attempt's tasks, by server.
    """

    key: AttemptKey
    cost: float
    rooms: dict[str, tuple[Shape, int]]


@dataclass(frozen=True, slots=True)
class Claimant:
    """Properties of a unit that decide which attempts it may preempt.

    Attributes
    ----------
    priority : int
        Priority of the job; 0 is the highest.
    guaranteed : bool
        True if the client account's guarantee covers the job.
    lasting : bool
        True if the tasks run until the job is cancelled.
    """

    priority: int
    guaranteed: bool
    lasting: bool


@dataclass
class Market:
    """Attempts that may be preempted in one planning pass.

    Attributes
    ----------
    victims : dict of AttemptKey to Victim
        Victims by job and unit.
    by_server : dict of str to list of Victim
        The same victims by server.
    """

    victims: dict[AttemptKey, Victim] = field(default_factory=dict)
    by_server: dict[str, list[Victim]] = field(default_factory=dict)


@dataclass
class Bid:
    """Servers for a unit, and the attempts to preempt for it.

    Attributes
    ----------
    names : list of str
        One server name for each task.
    victims : dict of AttemptKey to Victim
        Attempts to stop.
    """

    names: list[str] = field(default_factory=list)
    victims: dict[AttemptKey, Victim] = field(default_factory=dict)

    @property
    def cost(self) -> float:
        """Work lost by the stops, in core seconds."""
        return sum(victim.cost for victim in self.victims.values())


@dataclass(frozen=True, slots=True)
class Offer:
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


def open_market(state: PlannerState, claimant: Claimant, now: float) -> Market:
    """List the attempts that a unit may preempt.

    Parameters
    ----------
    state : PlannerState
        State of the planner.
    claimant : Claimant
        Unit that does not fit.
    now : float
        Steady-clock time, in seconds.

    Returns
    -------
    Market
        Preemptible attempts, without those that are being stopped.
    """
    market = Market()
    for job in state.jobs.values():
        if job.is_final:
            continue
        for unit in job.units.values():
            attempt = unit.attempt
            if attempt is None or attempt.reason or unit.done:
                continue
            if may_displace(claimant, job, job.find_step(unit), attempt):
                add_victim(market, job, unit, attempt, now)
    return market


def may_displace(
    claimant: Claimant, job: Job, step: StepOrder, attempt: Attempt
) -> bool:
    """Check the rules by which a unit may preempt an attempt.

    Long-running tasks must run however full the pool is, so they preempt everything
    else that is not guaranteed. They are preempted only by guaranteed units, and never
    if their step limits absences.
    """
    if attempt.guaranteed:
        return False
    if step.long_running:
        return claimant.guaranteed and not step.absence_limit
    if claimant.lasting or job.record.priority > claimant.priority:
        return True
    return claimant.guaranteed and job.record.priority == claimant.priority


def add_victim(
    market: Market, job: Job, unit: Unit, attempt: Attempt, now: float
) -> None:
    """Add an attempt to the preemption candidates.

    Its cost is the work since its start or last checkpoint, in core seconds.
    """
    shape = job.find_step(unit).shape
    counts: dict[str, int] = {}
    for member in attempt.members.values():
        if member.phase is not MemberPhase.ENDED:
            counts[member.server] = counts.get(member.server, 0) + 1
    penalty = LASTING_COST_CORE_SECONDS if job.find_step(unit).long_running else 0.0
    size = shape.millicores / MILLICORES + shape.accelerators * CORES_PER_ACCELERATOR
    lost = max(0.0, now - max(attempt.started_at, attempt.checkpoint_seen_at))
    victim = Victim(
        (job.job_id, unit.key),
        size * lost * sum(counts.values()) + penalty,
        {name: (shape, count) for name, count in counts.items()},
    )
    market.victims[victim.key] = victim
    for name in counts:
        market.by_server.setdefault(name, []).append(victim)


def find_bid(
    rooms: Rooms,
    market: Market,
    step: StepOrder,
    count: int,
    placed: Mapping[str, int],
    avoided_servers: Iterable[str] = (),
) -> Bid | None:
    """Choose servers for some tasks, with the least work lost by preemption.

    Parameters
    ----------
    rooms : Rooms
        Free capacity, including what stops will free.
    market : Market
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
    Bid or None
        None if the tasks do not fit even with all candidates preempted.
    """
    allowed = list_allowed(rooms, step)
    preferred = list_preferred(allowed, avoided_servers)
    found = find_cheapest(preferred, market, step, count, placed)
    if found is None and len(preferred) < len(allowed):
        found = find_cheapest(allowed, market, step, count, placed)
    return found


def find_cheapest(
    allowed: list[Room],
    market: Market,
    step: StepOrder,
    count: int,
    placed: Mapping[str, int],
) -> Bid | None:
    """Return the choice with the lowest cost over all groups of servers, or None."""
    bids = [
        fill_bid(group, market, step, count, placed)
        for group in list_groups(allowed, step, count)
    ]
    found = [bid for bid in bids if bid is not None]
    return min(found, key=lambda bid: bid.cost, default=None)


def fill_bid(
    group: Iterable[Room],
    market: Market,
    step: StepOrder,
    count: int,
    placed: Mapping[str, int],
) -> Bid | None:
    """Choose the cheapest server for one task after the other."""
    bid = Bid()
    copies = {room.name: copy_room(room) for room in group}
    used = dict(placed)
    offers: dict[str, Offer] = {}
    touched: Iterable[str] = copies
    while len(bid.names) < count:
        for name in touched:
            offers.pop(name, None)
            offer = make_offer(copies[name], market, bid, step, used.get(name, 0))
            if offer is not None:
                offers[name] = offer
        best = min(offers.values(), key=lambda offer: offer.rank, default=None)
        if best is None:
            return None
        for victim in best.victims:
            bid.victims[victim.key] = victim
            free_victim(copies, victim)
        take_room(copies[best.name], step.shape)
        used[best.name] = used.get(best.name, 0) + 1
        bid.names.append(best.name)
        # Options on other servers stay valid: a victim counts only where it runs.
        changed = {best.name}.union(*(victim.rooms for victim in best.victims))
        touched = [name for name in changed if name in copies]
    return bid


def make_offer(
    room: Room, market: Market, bid: Bid, step: StepOrder, placed: int
) -> Offer | None:
    """Return the cheapest way to place one more task on a server, or None."""
    if step.server_limit and placed >= step.server_limit:
        return None
    victims = choose_victims(room, market, bid, step.shape)
    if victims is None:
        return None
    cost = sum(victim.cost for victim in victims)
    return Offer(room.name, (cost, room.accelerators, room.name), victims)


def free_victim(copies: dict[str, Room], victim: Victim) -> None:
    """Add back the resources of a preempted attempt."""
    for name, (shape, count) in victim.rooms.items():
        if name in copies:
            take_room(copies[name], shape, -count)


def choose_victims(
    room: Room, market: Market, bid: Bid, shape: Shape
) -> list[Victim] | None:
    """Choose the cheapest attempts to preempt on one server so that one task fits."""
    if count_fits(room, shape):
        return []
    trial = copy_room(room)
    chosen: list[Victim] = []
    offers = [
        victim
        for victim in market.by_server.get(room.name, [])
        if victim.key not in bid.victims
    ]
    for victim in sorted(offers, key=lambda item: item.cost):
        victim_shape, count = victim.rooms[room.name]
        take_room(trial, victim_shape, -count)
        chosen.append(victim)
        if count_fits(trial, shape):
            return drop_needless(room, chosen, shape)
    return None


def drop_needless(room: Room, chosen: list[Victim], shape: Shape) -> list[Victim]:
    """Drop victims, the most expensive first, that the others make unnecessary."""
    kept = list(chosen)
    for victim in sorted(chosen, key=lambda item: -item.cost):
        others = [item for item in kept if item is not victim]
        trial = copy_room(room)
        for item in others:
            victim_shape, count = item.rooms[room.name]
            take_room(trial, victim_shape, -count)
        if count_fits(trial, shape):
            kept = others
    return kept
