"""Suspension of servers that fail every run, not of those that run failing jobs."""

from cardamomdyke.planner.servers import Server
from cardamomdyke.planner.state import Job, PlannerState, Unit

# After a failed run a server gets only work that fits nowhere else, until a run is done
# there or this time has passed. The users' servers stay faulty for about 7 s.
SUSPECT_SECONDS = 8.0
# Number of jobs that fail in turn on a server before it is suspended.
JOBS_TO_SUSPEND = 2
# First suspension; each further one lasts twice as long, up to the limit.
INITIAL_SUSPENSION_SECONDS = 2.0
MAX_SUSPENSION_SECONDS = 16.0
# With a larger share of a pool failing, the jobs are the likelier cause.
MAX_SUSPENDED_SHARE = 0.25
# A unit that failed on this many servers is itself the likely cause.
SERVERS_TO_SUSPECT_UNIT = 2


def record_failure(
    state: PlannerState, server: Server, job: Job, unit: Unit, now: float
) -> None:
    """Count a failed run against its server, unless the unit fails everywhere.

    Parameters
    ----------
    state : PlannerState
        State of the planner.
    server : Server
        Server of the run; modified in place.
    job : Job
        Job of the unit.
    unit : Unit
        Failed unit; modified in place.
    now : float
        Steady-clock seconds.
    """
    unit.failed_servers.add(server.entry.name)
    if (
        len(unit.failed_servers) >= SERVERS_TO_SUSPECT_UNIT
        and not server.failed_job_ids
    ):
        return
    server.failed_job_ids.add(job.job_id)
    server.suspect_until = max(server.suspect_until, now + SUSPECT_SECONDS)
    if len(server.failed_job_ids) < JOBS_TO_SUSPEND or not may_suspend(
        state, server, now
    ):
        return
    seconds = INITIAL_SUSPENSION_SECONDS * 2**server.suspensions
    seconds = min(MAX_SUSPENSION_SECONDS, seconds)
    server.suspensions += 1
    server.suspended_until = now + seconds
    server.suspect_until = server.suspended_until + SUSPECT_SECONDS
    state.note(
        "server.suspended",
        server.entry.name,
        seconds=seconds,
        jobs=len(server.failed_job_ids),
    )


def may_suspend(state: PlannerState, server: Server, now: float) -> bool:
    """Check that the suspended share of the pool stays within the limit."""
    pool = [
        other
        for other in state.servers.values()
        if other.listed and other.entry.pool == server.entry.pool
    ]
    suspended = sum(other.suspended_until > now for other in pool) + 1
    return suspended <= MAX_SUSPENDED_SHARE * len(pool)


def clear_suspicion(server: Server) -> None:
    """Lift the suspicion of a server, after a run was done there or a restart."""
    server.failed_job_ids.clear()
    server.suspensions = 0
    server.suspect_until = server.suspended_until = 0.0
