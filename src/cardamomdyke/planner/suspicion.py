"""Tells backend servers that fail whatever they run from jobs that fail anywhere."""

from cardamomdyke.planner.state import Job, PlannerState, Server, Unit

# After one failed run a server gets new work only where nothing else has room. Up to
# 5% of the users' tasks fail by their own fault, so this has to be short.
SUSPECT_SECONDS = 3.0
# Jobs that have to fail in turn on a server before it gets nothing at all.
JOBS_TO_SUSPEND = 2
# The first suspension; each further one lasts twice as long, up to the limit. The
# users' servers stay faulty for about 7 s.
SUSPENSION_SECONDS = 2.0
MAX_SUSPENSION_SECONDS = 16.0
# With more servers than this out of use, the jobs are the likelier cause.
MAX_SUSPENDED_SHARE = 0.25
# A unit that failed on this many servers is taken to be at fault itself.
SERVERS_TO_BLAME_UNIT = 2


def record_failure(
    state: PlannerState, server: Server, job: Job, unit: Unit, now: float
) -> None:
    """Hold a failed run against its server, unless the unit fails everywhere.

    Parameters
    ----------
    state : PlannerState
        Changed in place.
    server : Server
        Where the run failed.
    job : Job
        The unit's job.
    unit : Unit
        The unit that failed.
    now : float
        Seconds of the loop's clock.
    """
    unit.failed_servers.add(server.entry.name)
    if len(unit.failed_servers) >= SERVERS_TO_BLAME_UNIT and not server.failed_job_ids:
        return
    server.failed_job_ids.add(job.job_id)
    server.suspect_until = max(server.suspect_until, now + SUSPECT_SECONDS)
    if len(server.failed_job_ids) < JOBS_TO_SUSPEND or not may_suspend(
        state, server, now
    ):
        return
    seconds = SUSPENSION_SECONDS * 2**server.suspensions
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
    """Tell whether enough servers of the pool stay in use without this one."""
    pool = [
        other
        for other in state.servers.values()
        if other.listed and other.entry.pool == server.entry.pool
    ]
    out = sum(other.suspended_until > now for other in pool) + 1
    return out <= MAX_SUSPENDED_SHARE * len(pool)


def clear_suspicion(server: Server) -> None:
    """Trust a server again, after a run that was done or in a new life."""
    server.failed_job_ids.clear()
    server.suspensions = 0
    server.suspect_until = server.suspended_until = 0.0
