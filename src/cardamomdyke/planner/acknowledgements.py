"""Ends of runs that may not be acknowledged yet."""

from cardamomdyke.planner.inputs import UnrecordedEnd
from cardamomdyke.planner.servers import Server
from cardamomdyke.planner.state import PlannerState


def hold_end(state: PlannerState, server: Server, job_id: str) -> None:
    """Keep the last processed end unacknowledged until its job is recorded.

    The server forgets an end that is acknowledged, so a planner that takes over would
    start the task again.
    """
    job = state.jobs.get(job_id)
    if job is not None and job.recorded_revision < job.revision:
        end = UnrecordedEnd(server.processed_end, job_id, job.revision)
        server.unrecorded_ends.append(end)


def release_ends(server: Server, job_id: str, revision: int) -> None:
    """Allow the ends to be acknowledged whose effects are recorded by now."""
    server.unrecorded_ends = [
        end
        for end in server.unrecorded_ends
        if end.job_id != job_id or end.revision > revision
    ]
