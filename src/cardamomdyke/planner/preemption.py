"""Makes room for urgent units by stopping work that counts less."""

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

# The platform prices an accelerator like this many cores.
CORES_PER_ACCELERATOR = 8.0
MILLICORES = 1000.0
# Above what any other stop costs, so that tasks that last are displaced last.
LASTING_COST_CORE_SECONDS = 1e6

AttemptKey = tuple[str, UnitKey]


@dataclass(frozen=True, slots=True)
class Victim:
    """An attempt that may be stopped for another one.

    Attributes
    ----------
    key : tuple of (str, UnitKey)
        Its job and unit.
    cost : float
        Core seconds of work that a stop would lose.
    rooms : dict of str to (Shape, int)
        For each server, the shape and number of its tasks there.
    """

    key: AttemptKey
    cost: float
    rooms: dict[str, tuple[Shape, int]]


@dataclass(frozen=True, slots=True)
class Claimant:
    """A unit that needs room, as far as it matters to those that have it.

    Attributes
    ----------
    priority : int
        Priority of its job; 0 comes first.
    guaranteed : bool
        True when its client account is guaranteed the room.
    lasting : bool
        True when its tasks run until their job is cancelled.
    """

    priority: int
    guaranteed: bool
    lasting: bool


@dataclass
class Market:
    """Room that can be had by stopping attempts, in one plan.

    Attributes
    ----------
    victims : dict of AttemptKey to Victim
        Attempts that may be stopped.
    by_server : dict of str to list of Victim
        The same, by server.
    """

    victims: dict[AttemptKey, Victim] = field(default_factory=dict)
    by_server: dict[str, list[Victim]] = field(default_factory=dict)


@dataclass
class Bid:
    """Places for a unit, and the attempts that must end first.

    Attributes
    ----------
    names : list of str
        One server for each task.
    victims : dict of AttemptKey to Victim
        Attempts to stop.
    """

    names: list[str] = field(default_factory=list)
    victims: dict[AttemptKey, Victim] = field(default_factory=dict)

    @property
    def cost(self) -> float:
        """Core seconds of work that the stops would lose."""
        return sum(victim.cost for victim in self.victims.values())


@dataclass(frozen=True, slots=True)
class Offer:
    """Room for one task on one server.

    Attributes
    ----------
    name : str
        Name of the server.
    rank : tuple of (float, int, str)
        Cost, free accelerators and name; the least comes first.
    victims : list of Victim
        Attempts that must end first.
    """

    name: str
    rank: tuple[float, int, str]
    victims: list[Victim]


def open_market(state: PlannerState, claimant: Claimant, now: float) -> Market:
    """List the attempts that a unit may displace.

    Parameters
    ----------
    state : PlannerState
        Everything known.
    claimant : Claimant
        The unit that needs room.
    now : float
        Seconds of the loop's clock.

    Returns
    -------
    Market
        Attempts that count less than the claimant.
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
    """Tell whether an attempt counts less than a unit that needs its room.

    Tasks that last have to run however full the pool is, so they displace all
    that no guarantee protects. They give way to a guarantee only, and not at all
    when their job limits how many of them may be away.
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
    """Add one attempt to the market."""
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
    """Find the cheapest room for some tasks, within one rack if the step asks so.

    Parameters
    ----------
    rooms : Rooms
        Free room, and room that stops under way will free.
    market : Market
        Attempts that may be stopped.
    step : StepOrder
        What the tasks need.
    count : int
        Number of tasks.
    placed : mapping of str to int
        Tasks of the step that each server has already.
    avoided_servers : iterable of str
        Servers that are used only when the others do not suffice.

    Returns
    -------
    Bid or None
        None when even the whole market has no room for all tasks.
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
    """Return the cheapest bid of all groups of rooms, or None."""
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
    """Take the cheapest place for one task after the other."""
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
        # Other offers stay as they are: a victim is offered only where it runs.
        changed = {best.name}.union(*(victim.rooms for victim in best.victims))
        touched = [name for name in changed if name in copies]
    return bid


def make_offer(
    room: Room, market: Market, bid: Bid, step: StepOrder, placed: int
) -> Offer | None:
    """Return what one more task costs on a server, or None."""
    if step.server_limit and placed >= step.server_limit:
        return None
    victims = choose_victims(room, market, bid, step.shape)
    if victims is None:
        return None
    cost = sum(victim.cost for victim in victims)
    return Offer(room.name, (cost, room.accelerators, room.name), victims)


def free_victim(copies: dict[str, Room], victim: Victim) -> None:
    """Give the room of a stopped attempt back."""
    for name, (shape, count) in victim.rooms.items():
        if name in copies:
            take_room(copies[name], shape, -count)


def choose_victims(
    room: Room, market: Market, bid: Bid, shape: Shape
) -> list[Victim] | None:
    """Choose attempts on one server whose end makes room for one task."""
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
    """Leave out victims that are not needed once the others have ended."""
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
