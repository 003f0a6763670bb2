"""Finds room for units on backend servers."""

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from cardamomdyke.model.orders import Shape, StepOrder
from cardamomdyke.planner.contacts import measure_free
from cardamomdyke.planner.state import PlannerState, Server

# A server that has not answered for this long takes nothing new.
FRESH_CONTACT_SECONDS = 3.0


@dataclass(slots=True)
class Room:
    """Room of one server while a plan is made.

    Attributes
    ----------
    name : str
        Name of the server.
    rack : str
        Its rack.
    labels : tuple of str
        Its labels.
    whole : Shape
        Room of the server when nothing runs there.
    millicores, memory_mb, accelerators : int
        What is free.
    suspect : bool
        True when runs have just failed there.
    """

    name: str
    rack: str
    labels: tuple[str, ...]
    whole: Shape
    millicores: int
    memory_mb: int
    accelerators: int
    suspect: bool = False


@dataclass(slots=True)
class Rooms:
    """Room of the servers of a pool that take new work.

    Attributes
    ----------
    by_name : dict of str to Room
        Rooms by server.
    """

    by_name: dict[str, Room] = field(default_factory=dict)


def open_rooms(state: PlannerState, pool: str, now: float) -> Rooms:
    """Return the free room of a pool's servers that take new work."""
    rooms = Rooms()
    for name, server in state.servers.items():
        if check_usable(state, server, pool, now):
            free = measure_free(server)
            rooms.by_name[name] = Room(
                name,
                server.entry.rack,
                server.entry.labels,
                server.entry.capacity,
                free.millicores,
                free.memory_mb,
                free.accelerators,
                server.suspect_until > now,
            )
    return rooms


def check_usable(state: PlannerState, server: Server, pool: str, now: float) -> bool:
    """Tell whether a server of a pool takes new work."""
    entry = server.entry
    if entry.pool != pool or not server.listed or entry.draining:
        return False
    if entry.failure_domain in state.evacuated:
        return False
    in_touch = not server.failing_since and server.reading is not None
    fresh = now - server.last_contact_at <= FRESH_CONTACT_SECONDS
    well = max(server.starts_paused_until, server.suspended_until) <= now
    return in_touch and fresh and well


def count_fits(room: Room | Shape, shape: Shape) -> int:
    """Return how many tasks of a shape a room holds."""
    # Called for every server and unit of a plan, so it builds no list.
    fits: int | None = None
    if shape.accelerators > 0:
        fits = room.accelerators // shape.accelerators
    if shape.millicores > 0:
        cores = room.millicores // shape.millicores
        fits = cores if fits is None or cores < fits else fits
    if shape.memory_mb > 0:
        memory = room.memory_mb // shape.memory_mb
        fits = memory if fits is None or memory < fits else fits
    return max(0, fits or 0)


def take_room(room: Room, shape: Shape, count: int = 1) -> None:
    """Take the room of some tasks; a negative count gives it back."""
    room.millicores -= shape.millicores * count
    room.memory_mb -= shape.memory_mb * count
    room.accelerators -= shape.accelerators * count


def holds_all(rooms: Rooms, names: Iterable[str], shape: Shape) -> bool:
    """Tell whether servers, named once for each task, hold tasks of a shape."""
    for name, count in Counter(names).items():
        room = rooms.by_name.get(name)
        if room is None or count_fits(room, shape) < count:
            return False
    return True


def copy_room(room: Room) -> Room:
    """Return a copy that can be changed."""
    return Room(
        room.name,
        room.rack,
        room.labels,
        room.whole,
        room.millicores,
        room.memory_mb,
        room.accelerators,
        room.suspect,
    )


def find_places(
    rooms: Rooms,
    step: StepOrder,
    count: int,
    placed: Mapping[str, int],
    avoided_servers: Iterable[str] = (),
) -> list[str] | None:
    """Find a server for each of some tasks of a step, without taking the room.

    Parameters
    ----------
    rooms : Rooms
        Free room.
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
    list of str or None
        One name for each task; None when they do not fit together.
    """
    allowed = list_allowed(rooms, step)
    preferred = list_preferred(allowed, avoided_servers)
    found = find_in_groups(preferred, step, count, placed)
    if found is None and len(preferred) < len(allowed):
        found = find_in_groups(allowed, step, count, placed)
    return found


def list_allowed(rooms: Rooms, step: StepOrder) -> list[Room]:
    """Return the rooms whose servers have the label that a step requires."""
    return [
        room
        for room in rooms.by_name.values()
        if not step.required_label or step.required_label in room.labels
    ]


def list_preferred(
    allowed: Iterable[Room], avoided_servers: Iterable[str]
) -> list[Room]:
    """Return the rooms in which a unit is likely to be done."""
    left_out = set(avoided_servers)
    return [room for room in allowed if not room.suspect and room.name not in left_out]


def find_in_groups(
    allowed: list[Room], step: StepOrder, count: int, placed: Mapping[str, int]
) -> list[str] | None:
    """Find places within one rack when the step asks for it, else anywhere.

    A gang that no rack could hold, even empty, is spread over racks.
    """
    groups = list_groups(allowed, step, count)
    best: list[str] | None = None
    best_free = 0
    for group in groups:
        found = fill_tightest(group, step, count, placed)
        free = sum(room.accelerators for room in group)
        if found is not None and (best is None or free < best_free):
            best, best_free = found, free
    return best


def list_groups(allowed: list[Room], step: StepOrder, count: int) -> list[list[Room]]:
    """Return the groups of rooms of which one has to hold all tasks."""
    if not (step.rack_sensitive and count > 1):
        return [allowed]
    racks: dict[str, list[Room]] = {}
    for room in allowed:
        racks.setdefault(room.rack, []).append(room)
    large = [group for group in racks.values() if could_hold(group, step, count)]
    return large or [allowed]


def could_hold(group: list[Room], step: StepOrder, count: int) -> bool:
    """Tell whether some rooms could hold all tasks if nothing else ran there."""
    fits = 0
    for room in group:
        most = count_fits(room.whole, step.shape)
        fits += min(most, step.server_limit) if step.server_limit else most
    return fits >= count


def fill_tightest(
    group: list[Room], step: StepOrder, count: int, placed: Mapping[str, int]
) -> list[str] | None:
    """Fill the rooms with the fewest free accelerators first."""
    names: list[str] = []
    for room in sorted(group, key=lambda item: (item.accelerators, item.name)):
        fits = count_fits(room, step.shape)
        if step.server_limit:
            fits = min(fits, step.server_limit - placed.get(room.name, 0))
        names += [room.name] * min(fits, count - len(names))
        if len(names) == count:
            return names
    return None
