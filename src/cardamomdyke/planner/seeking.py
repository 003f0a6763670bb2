"""Finds servers for the tasks of one unit."""

from collections import Counter

from cardamomdyke.model.orders import StepOrder
from cardamomdyke.planner.drafts import Draft, make_need
from cardamomdyke.planner.placement import Rooms, find_places
from cardamomdyke.planner.state import Job, Unit, list_indices

# The platform takes a task that waits for 3 s while its pool has room as lost.
MAX_RACK_WAIT_SECONDS = 2.0


def find_unit_places(
    draft: Draft, rooms: Rooms, job: Job, unit: Unit
) -> list[str] | None:
    """Find a server for each task of a unit, or None.

    A unit waits for the rack of its data as long as that can save time.
    """
    step = job.find_step(unit)
    placed = count_placed(job, unit) if step.server_limit else Counter()
    count = len(list_indices(step, unit))
    near = list_near(rooms, step)
    if near.by_name:
        found = find_places(near, step, count, placed, unit.avoided_servers)
        waited = draft.now - unit.ready_since if unit.ready_since else 0.0
        patience = find_patience(step, draft.state.limits.remote_factor)
        if found is not None or waited < patience:
            return found
    return find_anywhere(draft, rooms, job, unit, placed)


def find_anywhere(
    draft: Draft, rooms: Rooms, job: Job, unit: Unit, placed: Counter[str]
) -> list[str] | None:
    """Find places in any rack, unless fewer tasks have already found none."""
    step = job.find_step(unit)
    count = len(list_indices(step, unit))
    if step.server_limit:
        # Whether it fits depends on the other tasks of the step.
        return find_places(rooms, step, count, placed, unit.avoided_servers)
    need = make_need(job.record.pool, step)
    if count >= draft.misfits.get(need, count + 1):
        return None
    found = find_places(rooms, step, count, placed, unit.avoided_servers)
    if found is None:
        draft.misfits[need] = count
    return found


def list_near(rooms: Rooms, step: StepOrder) -> Rooms:
    """Return the rooms in the rack of a step's data; none for data anywhere."""
    return Rooms(
        {
            name: room
            for name, room in rooms.by_name.items()
            if step.data_rack and room.rack == step.data_rack
        }
    )


def find_patience(step: StepOrder, remote_factor: float) -> float:
    """Return how long a task waits for the rack of its data, in seconds."""
    longer = (remote_factor - 1.0) * step.estimated_seconds
    return min(MAX_RACK_WAIT_SECONDS, max(0.0, longer))


def count_placed(job: Job, unit: Unit) -> Counter[str]:
    """Return how many tasks of a unit's step each server has."""
    counts: Counter[str] = Counter()
    for other in job.units.values():
        if other.key[:2] == unit.key[:2] and other.attempt is not None:
            counts.update(member.server for member in other.attempt.members.values())
    return counts
