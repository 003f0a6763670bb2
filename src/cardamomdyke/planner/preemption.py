"""Attempts that a unit may preempt, and what their stop loses."""

from cardamomdyke.model.orders import StepOrder
from cardamomdyke.planner.endings import may_await_end
from cardamomdyke.planner.members import MemberPhase
from cardamomdyke.planner.state import Attempt, Job, PlannerState, Unit
from cardamomdyke.scheduling.cores import measure_cores
from cardamomdyke.scheduling.losses import StopTimes, count_repeats, estimate_loss
from cardamomdyke.scheduling.preemption import Requester
from cardamomdyke.scheduling.victims import Victim, VictimIndex

# Exceeds the cost of any other stop, so that long-running tasks are preempted last.
LONG_RUNNING_COST_CORE_SECONDS = 1e6


# Makes tasks whose step limits absences the last of these.
LIMITED_COST_FACTOR = 2.0


def make_victim_index(
    state: PlannerState, requester: Requester, now: float
) -> VictimIndex:
    """List the attempts that a unit may preempt.

    Parameters
    ----------
    state : PlannerState
        State of the planner.
    requester : Requester
        Unit that does not fit.
    now : float
        Steady-clock seconds.

    Returns
    -------
    VictimIndex
        Preemptible attempts, without those that are being stopped or end as soon by
        themselves.
    """
    victim_index = VictimIndex()
    times = StopTimes(state.limits.stop_seconds, state.limits.restore_seconds)
    for job in state.jobs.values():
        if job.is_final:
            continue
        for unit in job.units.values():
            attempt = unit.attempt
            if attempt is None or attempt.reason or unit.done:
                continue
            if may_await_end(state, job, unit, now):
                continue
            if may_preempt(requester, job, job.find_step(unit), attempt):
                add_victim(victim_index, job, unit, attempt, times, now)
    return victim_index


def may_preempt(
    requester: Requester, job: Job, step: StepOrder, attempt: Attempt
) -> bool:
    """Check the rules by which a unit may preempt an attempt.

    Long-running tasks must run however full the pool is, so they preempt all other
    work without a guarantee. Only guaranteed units preempt them.
    """
    if attempt.guaranteed:
        return False
    if step.long_running:
        return requester.guaranteed
    if requester.is_long_running or job.record.priority > requester.priority:
        return True
    return requester.guaranteed and job.record.priority == requester.priority


def add_victim(
    victim_index: VictimIndex,
    job: Job,
    unit: Unit,
    attempt: Attempt,
    times: StopTimes,
    now: float,
) -> None:
    """Add an attempt; its cost is what a stop loses, and the time that it takes."""
    step = job.find_step(unit)
    shape = step.shape
    counts: dict[str, int] = {}
    for member in attempt.members.values():
        if member.phase is not MemberPhase.ENDED:
            counts[member.server] = counts.get(member.server, 0) + 1
    penalty = LONG_RUNNING_COST_CORE_SECONDS if step.long_running else 0.0
    limited_step = None
    if step.long_running and step.absence_limit:
        penalty *= LIMITED_COST_FACTOR
        limited_step = (job.job_id, *unit.key[:2])
        if limited_step not in victim_index.allowed_stops:
            allowed = step.absence_limit - count_absent(job, unit)
            victim_index.allowed_stops[limited_step] = allowed
    repeats = count_repeats(unit.preemptions, now - unit.preempted_at)
    loss = estimate_loss(
        measure_cores(shape) * sum(counts.values()),
        now - max(attempt.started_at, attempt.checkpoint_seen_at),
        step.checkpointing,
        times,
        repeats,
    )
    victim = Victim(
        (job.job_id, unit.key),
        loss.cost + penalty,
        {name: (shape, count) for name, count in counts.items()},
        limited_step,
        loss.lost,
        step.checkpointing,
        repeats,
    )
    victim_index.victims[victim.key] = victim
    for name in counts:
        victim_index.by_server.setdefault(name, []).append(victim)


def count_absent(job: Job, unit: Unit) -> int:
    """Return how many tasks of a unit's step are not at work, for whatever cause."""
    attempts = [
        other.attempt
        for other in job.units.values()
        if other.key[:2] == unit.key[:2] and other.attempt is not None
    ]
    present = sum(
        member.phase is MemberPhase.RUNNING and member.at_work
        for attempt in attempts
        if not attempt.reason
        for member in attempt.members.values()
    )
    return job.find_step(unit).count - present
