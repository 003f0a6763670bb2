"""Decides which units start where, and which runs make room for others."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from cardamomdyke.jobs.records import GANG
from cardamomdyke.model.orders import StepOrder
from cardamomdyke.planner.attempts import abort_attempt, begin_attempt
from cardamomdyke.planner.occurrences import update_occurrences
from cardamomdyke.planner.placement import (
    Rooms,
    copy_room,
    find_places,
    holds_all,
    open_rooms,
    take_room,
)
from cardamomdyke.planner.preemption import Claimant, find_bid, open_market
from cardamomdyke.planner.state import (
    Job,
    PlannerState,
    Unit,
    list_holders,
    list_indices,
)

# Jobs of this priority may count on their client account's guarantee.
URGENT_PRIORITY = 0
# The platform takes a task that waits for 3 s while its pool has room as lost.
LONGEST_RACK_WAIT_SECONDS = 2.0
# Kind of the log line of a unit that got its servers.
PLACED = "unit.placed"


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
    guaranteed : frozenset of str
        Ids of jobs that their client accounts' guarantees cover.
    """

    state: PlannerState
    now: float
    rooms: dict[str, Rooms] = field(default_factory=dict)
    guaranteed: frozenset[str] = frozenset()


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
    waiting = [job for job in state.jobs.values() if not job.over]
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


def hold_claims(draft: Draft, job: Job) -> None:
    """Take the room that stops under way are to free for a job's units."""
    rooms = find_rooms(draft, job.record.pool)
    for unit in job.units.values():
        known = all(name in rooms.by_name for name in unit.claimed)
        if not known or not is_ready(job, unit, draft.now):
            unit.claimed = ()
        take_claim(rooms, job, unit)


def take_claim(rooms: Rooms, job: Job, unit: Unit, count: int = 1) -> None:
    """Take the room that a unit claims; a count of -1 gives it back."""
    for name in unit.claimed:
        take_room(rooms.by_name[name], job.step_of(unit).shape, count)


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
        len(list_indices(job.step_of(unit), unit))
        * job.step_of(unit).shape.accelerators
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
        take_claim(rooms, job, unit, -1)
        if place_unit(draft, rooms, job, unit):
            unit.claimed = ()
            continue
        presses = urgent or job.step_of(unit).long_running
        if not (presses and reclaim_room(draft, rooms, job, unit)):
            misfits.add(step_number)


def keeps_limit(step: StepOrder, unit: Unit, placed: Counter[str]) -> bool:
    """Tell whether a unit's claim leaves each server within the step's limit."""
    counts = placed + Counter(unit.claimed)
    return not step.server_limit or max(counts.values()) <= step.server_limit


def reclaim_room(draft: Draft, rooms: Rooms, job: Job, unit: Unit) -> bool:
    """Keep room for an urgent unit, and stop other work for it if need be.

    The room that stops under way will free counts as well, and is kept from other
    units of this plan. The unit starts in a later plan, once the room is free.
    """
    state = draft.state
    step = job.step_of(unit)
    count = len(list_indices(step, unit))
    placed = count_placed(job, unit) if step.server_limit else Counter()
    guaranteed = job.job_id in draft.guaranteed
    coming = add_coming(state, rooms)
    if unit.claimed and holds_all(coming, unit.claimed, step.shape):
        # A new bid would stop other work each time that a cost has changed.
        take_claim(rooms, job, unit)
        return True
    unit.claimed = ()
    claimant = Claimant(job.record.priority, guaranteed, step.long_running)
    market = open_market(state, claimant, draft.now)
    bid = find_bid(coming, market, step, count, placed)
    if bid is None:
        return False
    unit.claimed = tuple(bid.names)
    take_claim(rooms, job, unit)
    for key, victim in bid.victims.items():
        other = state.jobs[key[0]]
        state.note(
            "unit.preempted",
            other.job_id,
            unit=key[1],
            for_job=job.job_id,
            cost=round(victim.cost, 1),
        )
        reason = f"makes room for {job.job_id}"
        abort_attempt(state, other, other.units[key[1]], reason, draft.now)
    return True


def add_coming(state: PlannerState, rooms: Rooms) -> Rooms:
    """Return the free room with what the stops under way will free."""
    sums = Rooms({name: copy_room(room) for name, room in rooms.by_name.items()})
    for name, room in sums.by_name.items():
        for job, unit, member in list_holders(state, state.servers[name]):
            if member.stop_wanted:
                take_room(room, job.step_of(unit).shape, -1)
    return sums


def move_lasting(draft: Draft, job: Job) -> None:
    """Stop tasks that last on servers that leave, if there is room elsewhere.

    They start elsewhere in a later plan, sooner than after the server has gone.
    """
    for unit in job.units.values():
        attempt = unit.attempt
        if attempt is None or attempt.reason or not job.step_of(unit).long_running:
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
            take_room(rooms.by_name[name], job.step_of(unit).shape)
        abort_attempt(draft.state, job, unit, "its server leaves", draft.now)


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


def find_unit_places(
    draft: Draft, rooms: Rooms, job: Job, unit: Unit
) -> list[str] | None:
    """Find a server for each task of a unit, or None.

    A unit waits for the rack of its data as long as that can save time.
    """
    step = job.step_of(unit)
    placed = count_placed(job, unit) if step.server_limit else Counter()
    count = len(list_indices(step, unit))
    near = list_near(rooms, step)
    if near.by_name:
        found = find_places(near, step, count, placed, unit.avoided)
        waited = draft.now - unit.ready_since if unit.ready_since else 0.0
        patience = find_patience(step, draft.state.limits.remote_factor)
        if found is not None or waited < patience:
            return found
    return find_places(rooms, step, count, placed, unit.avoided)


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
    return min(LONGEST_RACK_WAIT_SECONDS, max(0.0, longer))


def place_unit(draft: Draft, rooms: Rooms, job: Job, unit: Unit) -> bool:
    """Begin an attempt for a unit if there is room."""
    step = job.step_of(unit)
    indices = list_indices(step, unit)
    placed = count_placed(job, unit) if step.server_limit else Counter()
    names = find_unit_places(draft, rooms, job, unit)
    if unit.claimed and holds_all(rooms, unit.claimed, step.shape):
        names = list(unit.claimed) if keeps_limit(step, unit, placed) else names
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
        gang=unit.key[2] == GANG,
        waited=round(draft.now - job.arrived_at, 3),
    )
    return True
