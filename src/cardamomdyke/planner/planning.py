"""Decides which units start where, and which runs make room for others."""

from collections import Counter
from collections.abc import Iterable

from cardamomdyke.jobs.records import GANG_INDEX
from cardamomdyke.planner.attempts import abort_attempt, begin_attempt
from cardamomdyke.planner.claims import (
    hold_claims,
    keeps_limit,
    reclaim_room,
    release_claim,
)
from cardamomdyke.planner.drafts import Draft, find_rooms
from cardamomdyke.planner.occurrences import update_occurrences
from cardamomdyke.planner.placement import Rooms, holds_all, take_room
from cardamomdyke.planner.seeking import count_placed, find_unit_places
from cardamomdyke.planner.state import (
    Job,
    PlannerState,
    Unit,
    is_ready,
    list_indices,
)

# Jobs of this priority may count on their client account's guarantee.
URGENT_PRIORITY = 0
# Kind of the log line of a unit that got its servers.
PLACED = "unit.placed"


def plan_starts(state: PlannerState, now: float) -> None:
    """Begin an attempt for each waiting unit that has room, best first.

    Parameters
    ----------
    state : PlannerState
        Changed in place.
    now : float
        Seconds of the loop's clock.
    """
    update_occurrences(state, now)
    draft = Draft(state, now)
    waiting = [job for job in state.jobs.values() if not job.is_final]
    draft.guaranteed = find_guaranteed(state, waiting)
    mark_guaranteed(waiting, draft.guaranteed)
    ranked = sorted(waiting, key=rank_job)
    covered = [job for job in ranked if job.job_id in draft.guaranteed]
    others = [job for job in ranked if job.job_id not in draft.guaranteed]
    # Guaranteed jobs come first. In the order of arrival, an older job would take
    # the room that a guaranteed one has just reclaimed. Room that is being freed
    # for a guaranteed job is taken by no one else, room for another urgent job by
    # no job without a guarantee.
    for group in (covered, others):
        for job in group:
            hold_claims(draft, job)
        for job in group:
            place_job(draft, job)
    for job in ranked:
        move_lasting(draft, job)


def rank_job(job: Job) -> tuple[int, float]:
    """Return a key that puts the job to serve first in front."""
    return job.record.priority, job.arrived_at


def find_guaranteed(state: PlannerState, jobs: Iterable[Job]) -> frozenset[str]:
    """Return the ids of jobs that their client accounts' guarantees cover.

    A guarantee is a number of accelerators for the account's jobs of the highest
    priority; the oldest jobs count first.
    """
    if state.tables is None:
        return frozenset()
    left = {
        account.name: account.guaranteed_accelerators
        for account in state.tables.accounts
    }
    covered: set[str] = set()
    urgent = [job for job in jobs if job.record.priority == URGENT_PRIORITY]
    for job in sorted(urgent, key=lambda item: item.arrived_at):
        account = job.record.account
        need = count_accelerators(job)
        if account in left and need <= left[account]:
            left[account] -= need
            covered.add(job.job_id)
    return frozenset(covered)


def mark_guaranteed(jobs: Iterable[Job], covered: frozenset[str]) -> None:
    """Protect what runs for covered jobs, and nothing else."""
    for job in jobs:
        for unit in job.units.values():
            if unit.attempt is not None:
                unit.attempt.guaranteed = job.job_id in covered


def count_accelerators(job: Job) -> int:
    """Return the accelerators that a job's units need until they are done."""
    return sum(
        len(list_indices(job.find_step(unit), unit))
        * job.find_step(unit).shape.accelerators
        for unit in job.units.values()
        if not unit.done
    )


def place_job(draft: Draft, job: Job) -> None:
    """Begin attempts for the units of a job that may start now."""
    ready = [unit for unit in job.units.values() if is_ready(job, unit, draft.now)]
    if not ready:
        return
    for unit in ready:
        unit.ready_since = unit.ready_since or draft.now
    rooms = find_rooms(draft, job.record.pool)
    urgent = job.record.priority == URGENT_PRIORITY
    misfits: set[int] = set()
    for unit in ready:
        step_number = unit.key[1]
        if step_number in misfits:
            continue
        release_claim(draft, rooms, job, unit)
        if place_unit(draft, rooms, job, unit):
            unit.reserved_servers = ()
            continue
        presses = urgent or job.find_step(unit).long_running
        if not (presses and reclaim_room(draft, rooms, job, unit)):
            misfits.add(step_number)


def move_lasting(draft: Draft, job: Job) -> None:
    """Stop tasks that last on servers that leave, if there is room elsewhere.

    They start elsewhere in a later plan, sooner than after the server has gone.
    """
    for unit in job.units.values():
        attempt = unit.attempt
        if attempt is None or attempt.reason or not job.find_step(unit).long_running:
            continue
        servers = draft.state.servers
        leaves = any(
            servers[member.server].entry.draining
            for member in attempt.members.values()
            if member.server in servers
        )
        rooms = find_rooms(draft, job.record.pool)
        names = find_unit_places(draft, rooms, job, unit) if leaves else None
        if names is None:
            continue
        for name in names:
            take_room(rooms.by_name[name], job.find_step(unit).shape)
        abort_attempt(draft.state, job, unit, "its server leaves", draft.now)


def place_unit(draft: Draft, rooms: Rooms, job: Job, unit: Unit) -> bool:
    """Begin an attempt for a unit if there is room."""
    step = job.find_step(unit)
    indices = list_indices(step, unit)
    placed = count_placed(job, unit) if step.server_limit else Counter()
    names = find_unit_places(draft, rooms, job, unit)
    if unit.reserved_servers and holds_all(rooms, unit.reserved_servers, step.shape):
        names = (
            list(unit.reserved_servers) if keeps_limit(step, unit, placed) else names
        )
    if names is None:
        return False
    for name in names:
        take_room(rooms.by_name[name], step.shape)
    placements = dict(zip(indices, names, strict=True))
    guaranteed = job.job_id in draft.guaranteed
    begin_attempt(draft.state, job, unit, placements, draft.now, guaranteed)
    draft.state.note(
        PLACED,
        job.job_id,
        unit=unit.key,
        run=unit.last_run,
        servers=len(set(names)),
        gang=unit.key[2] == GANG_INDEX,
        waited=round(draft.now - job.arrived_at, 3),
    )
    return True
