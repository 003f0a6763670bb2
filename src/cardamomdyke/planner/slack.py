"""Which units prefer servers of usual speed: urgent ones, and those with little slack.

It answers the load of a pool with slow servers: a job whose objective leaves no time
for a slow server goes to the others first, and the rest of the work to the slow ones.
"""

from collections.abc import Sequence

from cardamomdyke.model.orders import StepOrder
from cardamomdyke.planner.state import Job, PlannerState, Unit

# A server that is classified as slow for good takes up to about half longer.
SLOW_SERVER_SHARE = 0.5


def prefers_usual_servers(
    state: PlannerState, job: Job, unit: Unit, now: float
) -> bool:
    """Return whether a unit would miss its objective on a slow server.

    Parameters
    ----------
    state : PlannerState
        State of the planner.
    job : Job
        Job of the unit.
    unit : Unit
        Unit that waits only for resources.
    now : float
        Steady-clock seconds.

    Returns
    -------
    bool
        True for urgent and long-running units, and for others that are in time on a
        usual server only. A unit that is late anyway leaves these servers to others.
    """
    record, step = job.record, job.find_step(unit)
    if job.is_urgent or step.long_running:
        return True
    if record.order.repetitions or not step.estimated_seconds:
        return False
    runtimes = state.learning.runtimes
    steps = record.order.steps
    whole = max(measure_path(steps, number) for number in range(len(steps)))
    due_at = job.arrived_at + record.target_seconds
    due_at += record.stretch * runtimes.estimate(record.queue, whole).seconds
    remaining = runtimes.estimate(record.queue, measure_path(steps, unit.key[1]))
    slack = due_at - now - remaining.seconds
    longer = SLOW_SERVER_SHARE * step.estimated_seconds
    return 0 <= slack < runtimes.estimate(record.queue, longer).seconds


def measure_path(steps: Sequence[StepOrder], first: int) -> float:
    """Return the declared seconds of the longest path of steps from one of them on."""
    lengths = {first: steps[first].estimated_seconds}
    for number in range(first + 1, len(steps)):
        before = [lengths[item] for item in steps[number].after if item in lengths]
        if before:
            lengths[number] = max(before) + steps[number].estimated_seconds
    return max(lengths.values())
