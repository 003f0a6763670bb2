"""Room that is being freed for units, and kept for them until they start."""

from collections import Counter

from cardamomdyke.model.orders import StepOrder
from cardamomdyke.planner.attempts import abort_attempt
from cardamomdyke.planner.drafts import (
    Draft,
    add_coming,
    find_market,
    find_rooms,
    forget_misfits,
    make_need,
    note_stopped,
)
from cardamomdyke.planner.placement import Rooms, holds_all, take_room
from cardamomdyke.planner.preemption import Claimant, find_bid
from cardamomdyke.planner.seeking import count_placed
from cardamomdyke.planner.state import Job, Unit, is_ready, list_indices


def hold_claims(draft: Draft, job: Job) -> None:
    """Take the room that stops under way are to free for a job's units."""
    rooms = find_rooms(draft, job.record.pool)
    for unit in job.units.values():
        known = all(name in rooms.by_name for name in unit.reserved_servers)
        if not known or not is_ready(job, unit, draft.now):
            unit.reserved_servers = ()
        take_claim(rooms, job, unit)


def take_claim(rooms: Rooms, job: Job, unit: Unit, count: int = 1) -> None:
    """Take the room that a unit claims; a count of -1 gives it back."""
    for name in unit.reserved_servers:
        take_room(rooms.by_name[name], job.find_step(unit).shape, count)


def release_claim(draft: Draft, rooms: Rooms, job: Job, unit: Unit) -> None:
    """Give back the room that a unit claims."""
    if unit.reserved_servers:
        take_claim(rooms, job, unit, -1)
        forget_misfits(draft)


def keeps_limit(step: StepOrder, unit: Unit, placed: Counter[str]) -> bool:
    """Tell whether a unit's claim leaves each server within the step's limit."""
    counts = placed + Counter(unit.reserved_servers)
    return not step.server_limit or max(counts.values()) <= step.server_limit


def reclaim_room(draft: Draft, rooms: Rooms, job: Job, unit: Unit) -> bool:
    """Keep room for an urgent unit, and stop other work for it if need be.

    The room that stops under way will free counts as well, and is kept from other
    units of this plan. The unit starts in a later plan, once the room is free.
    """
    state = draft.state
    step = job.find_step(unit)
    count = len(list_indices(step, unit))
    placed = count_placed(job, unit) if step.server_limit else Counter()
    guaranteed = job.job_id in draft.guaranteed
    coming = add_coming(draft, rooms)
    if unit.reserved_servers and holds_all(coming, unit.reserved_servers, step.shape):
        # A new bid would stop other work each time that a cost has changed.
        take_claim(rooms, job, unit)
        return True
    unit.reserved_servers = ()
    claimant = Claimant(job.record.priority, guaranteed, step.long_running)
    need = make_need(job.record.pool, step)
    known = not step.server_limit
    if known and count >= draft.hopeless.get((claimant, need), count + 1):
        return False
    market = find_market(draft, claimant)
    bid = find_bid(coming, market, step, count, placed, unit.avoided_servers)
    if bid is None:
        if known:
            draft.hopeless[claimant, need] = count
        return False
    unit.reserved_servers = tuple(bid.names)
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
        note_stopped(draft, victim)
        abort_attempt(state, other, other.units[key[1]], reason, draft.now)
    return True
