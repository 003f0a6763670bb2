"""Which units prefer servers of usual speed: urgent ones, and those with little slack.

It answers the load of a pool with slow servers: a job whose objective leaves no time
for a slow server goes to the others first, and the rest of the work to the slow ones.
"""

from cardamomdyke.planner.drafts import Draft
from cardamomdyke.planner.state import Job, Unit

# A server that is classified as slow for good takes up to about half longer.
SLOW_SERVER_SHARE = 0.5


def prefers_usual_servers(draft: Draft, job: Job, unit: Unit) -> bool:
    """Return whether a unit would miss its objective on a slow server.

    Parameters
    ----------
    draft : Draft
        Planning pass, with the ranks of the jobs.
    job : Job
        Job of the unit.
    unit : Unit
        Unit that waits only for resources.

    Returns
    -------
    bool
        True for urgent and long-running units, and for others that are in time on a
        usual server only. A unit that is late anyway leaves these servers to others.
    """
    step = job.find_step(unit)
    if job.is_urgent or step.long_running:
        return True
    rank = draft.ranks.get(job.job_id)
    if rank is None or rank.slack_seconds is None or not step.estimated_seconds:
        return False
    longer = draft.state.learning.estimate_seconds(
        job.record.queue, SLOW_SERVER_SHARE * step.estimated_seconds
    )
    return 0.0 <= rank.slack_seconds < longer
