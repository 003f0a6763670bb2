"""Working state of one plan, and what the plan has found out on its way."""

from dataclasses import dataclass, field

from cardamomdyke.model.orders import Shape, StepOrder
from cardamomdyke.planner.placement import Room, Rooms, copy_room, open_rooms, take_room
from cardamomdyke.planner.preemption import Claimant, Market, Victim, open_market
from cardamomdyke.planner.state import PlannerState, list_holders


@dataclass(frozen=True, slots=True)
class Need:
    """What decides whether a unit fits, besides the number of its tasks.

    Attributes
    ----------
    pool : str
        Pool that has to hold it.
    shape : Shape
        Room of a task.
    rack_sensitive : bool
        True when one rack has to hold all tasks.
    required_label : str
        Label that the servers must have.
    """

    pool: str
    shape: Shape
    rack_sensitive: bool
    required_label: str


@dataclass
class Draft:
    """Working state of one plan.

    Room only shrinks while a plan is made, so what did not fit is not tried again.

    Attributes
    ----------
    state : PlannerState
        Everything known.
    now : float
        Seconds of the loop's clock.
    rooms : dict of str to Rooms
        Free room by pool.
    guaranteed : frozenset of str
        Ids of jobs that their client accounts' guarantees cover.
    misfits : dict of Need to int
        Smallest number of tasks that found no room.
    hopeless : dict of (Claimant, Need) to int
        Smallest number of tasks for which no stops make room.
    markets : dict of Claimant to Market
        Attempts that each kind of unit may displace.
    freed : dict of str to list of (Shape, int), or None
        What stops under way will free, by server; None until it is needed.
    """

    state: PlannerState
    now: float
    rooms: dict[str, Rooms] = field(default_factory=dict)
    guaranteed: frozenset[str] = frozenset()
    misfits: dict[Need, int] = field(default_factory=dict)
    hopeless: dict[tuple[Claimant, Need], int] = field(default_factory=dict)
    markets: dict[Claimant, Market] = field(default_factory=dict)
    freed: dict[str, list[tuple[Shape, int]]] | None = None


def make_need(pool: str, step: StepOrder) -> Need:
    """Return what decides whether tasks of a step fit into a pool."""
    return Need(pool, step.shape, step.rack_sensitive, step.required_label)


def find_rooms(draft: Draft, pool: str) -> Rooms:
    """Return the free room of a pool in this plan."""
    if pool not in draft.rooms:
        draft.rooms[pool] = open_rooms(draft.state, pool, draft.now)
    return draft.rooms[pool]


def forget_misfits(draft: Draft) -> None:
    """Try everything again after room was given back."""
    draft.misfits.clear()
    draft.hopeless.clear()


def find_market(draft: Draft, claimant: Claimant) -> Market:
    """Return the attempts that a unit may displace in this plan."""
    if claimant not in draft.markets:
        draft.markets[claimant] = open_market(draft.state, claimant, draft.now)
    return draft.markets[claimant]


def add_coming(draft: Draft, rooms: Rooms) -> Rooms:
    """Return the free room with what the stops under way will free."""
    if draft.freed is None:
        draft.freed = list_freed(draft.state)
    sums: dict[str, Room] = {}
    for name, room in rooms.by_name.items():
        sums[name] = copy_room(room)
        for shape, count in draft.freed.get(name, ()):
            take_room(sums[name], shape, -count)
    return Rooms(sums)


def list_freed(state: PlannerState) -> dict[str, list[tuple[Shape, int]]]:
    """Return what the stops under way will free, by server."""
    freed: dict[str, list[tuple[Shape, int]]] = {}
    for name, server in state.servers.items():
        for job, unit, member in list_holders(state, server):
            if member.stop_requested:
                freed.setdefault(name, []).append((job.find_step(unit).shape, 1))
    return freed


def note_stopped(draft: Draft, victim: Victim) -> None:
    """Take note that an attempt of the market is being stopped."""
    for market in draft.markets.values():
        if market.victims.pop(victim.key, None) is None:
            continue
        for name in victim.rooms:
            offers = market.by_server[name]
            market.by_server[name] = [x for x in offers if x.key != victim.key]
    if draft.freed is not None:
        for name, room in victim.rooms.items():
            draft.freed.setdefault(name, []).append(room)
