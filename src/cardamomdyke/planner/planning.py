"""Decides which units start where, and which runs make room for others."""

from collections import Counter
from dataclasses import dataclass, field

from cardamomdyke.jobs.records import GANG
from cardamomdyke.planner.attempts import begin_attempt
from cardamomdyke.planner.placement import (
    Rooms,
    find_places,
    open_rooms,
    take_room,
)
from cardamomdyke.planner.state import Job, PlannerState, Unit, list_indices


@dataclass
class Draft:
    """Working state of one plan.

    Attributes
    ----------
    state : PlannerState
        Everything known.
    now : float
        Seconds of the loop's clock.
    rooms : dict of str to Rooms
        Free room by pool.
    """

    state: PlannerState
    now: float
    rooms: dict[str, Rooms] = field(default_factory=dict)


def plan_starts(state: PlannerState, now: float) -> None:
    """Begin an attempt for each waiting unit that has room, best first.

    Parameters
    ----------
    state : PlannerState
        Changed in place.
    now : float
        Seconds of the loop's clock.
    """
    draft = Draft(state, now)
    waiting = [job for job in state.jobs.values() if not job.over]
    for job in sorted(waiting, key=rank_job):
        place_job(draft, job)


def rank_job(job: Job) -> tuple[int, float]:
    """Return a key that puts the job to serve first in front."""
    return job.record.priority, job.arrived_at


def place_job(draft: Draft, job: Job) -> None:
    """Begin attempts for the units of a job that may start now."""
    ready = [unit for unit in job.units.values() if is_ready(job, unit, draft.now)]
    if not ready:
        return
    rooms = find_rooms(draft, job.record.pool)
    misfits: set[int] = set()
    for unit in ready:
        step_number = unit.key[1]
        if step_number in misfits:
            continue
        if not place_unit(draft, rooms, job, unit):
            misfits.add(step_number)


def find_rooms(draft: Draft, pool: str) -> Rooms:
    """Return the free room of a pool in this plan."""
    if pool not in draft.rooms:
        draft.rooms[pool] = open_rooms(draft.state, pool, draft.now)
    return draft.rooms[pool]


def is_ready(job: Job, unit: Unit, now: float) -> bool:
    """Tell whether a unit waits for nothing but room."""
    if unit.done or unit.attempt is not None or unit.not_before > now:
        return False
    before = job.step_of(unit).after
    return not before or all(
        other.done
        for other in job.units.values()
        if other.key[1] in before and other.key[0] == unit.key[0]
    )


def count_placed(job: Job, unit: Unit) -> Counter[str]:
    """Return how many tasks of a unit's step each server has."""
    counts: Counter[str] = Counter()
    for other in job.units.values():
        if other.key[:2] == unit.key[:2] and other.attempt is not None:
            counts.update(member.server for member in other.attempt.members.values())
    return counts


def place_unit(draft: Draft, rooms: Rooms, job: Job, unit: Unit) -> bool:
    """Begin an attempt for a unit if there is room."""
    step = job.step_of(unit)
    indices = list_indices(step, unit)
    placed = count_placed(job, unit) if step.server_limit else Counter()
    names = find_places(rooms, step, len(indices), placed, unit.avoided)
    if names is None:
        return False
    for name in names:
        take_room(rooms.by_name[name], step.shape)
    placements = dict(zip(indices, names, strict=True))
    begin_attempt(draft.state, job, unit, placements, draft.now)
    draft.state.note(
        "unit.placed",
        job.job_id,
        unit=unit.key,
        run=unit.last_run,
        servers=len(set(names)),
        gang=unit.key[2] == GANG,
        waited=round(draft.now - job.arrived_at, 3),
    )
    return True
