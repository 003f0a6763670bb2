"""Reports of progress from which the planner finds degraded servers.

Runs of gangs and runs that an earlier planner started count too, since the rate of a
run needs neither its start nor its end.
"""

from functools import partial

from cardamomdyke.model.servers import RunReport
from cardamomdyke.planner.members import Member
from cardamomdyke.planner.observations import BY_PROGRESS, is_warm, note_speed
from cardamomdyke.planner.servers import Server
from cardamomdyke.planner.state import Attempt, Job, PlannerState, Unit
from cardamomdyke.scheduling.progress import ProgressReport
from cardamomdyke.scheduling.speeds import MIN_OTHERS


def observe_progress(
    state: PlannerState,
    server: Server,
    job: Job,
    unit: Unit,
    member: Member,
    report: RunReport,
    now: float,
) -> None:
    """Learn from a run that a server has just listed.

    Parameters
    ----------
    state : PlannerState
        Modified in place.
    server : Server
        Server that has answered a poll.
    job : Job
        Job of the unit.
    unit : Unit
        Unit of the run.
    member : Member
        Member that the run belongs to.
    report : RunReport
        The run as the server lists it.
    now : float
        Steady-clock seconds.
    """
    attempt, reading = unit.attempt, server.reading
    if attempt is None or reading is None or member.stop_requested:
        return
    if not has_comparable_rate(job, unit, attempt, server):
        return
    if not is_warm(state, server, now):
        return
    name, learning = server.entry.name, state.learning
    progress = ProgressReport(
        name,
        server.instance,
        (job.job_id, unit.key[0], unit.key[1]),
        report.task.index,
        report.run,
        report.percent,
        reading.server_seconds,
        now,
    )
    find_learned = partial(learning.find_learned, server.entry.pool)
    learning.progress.observe(progress, find_learned)


def has_comparable_rate(job: Job, unit: Unit, attempt: Attempt, server: Server) -> bool:
    """Return whether the rate of a run tells the speed of its server.

    A run that restores a checkpoint makes no progress meanwhile, one away from its data
    is slower, and one that is being stopped may stand still. The percentage of a
    long-running task is no progress.
    """
    step = job.find_step(unit)
    if step.count <= MIN_OTHERS or step.long_running:
        return False
    if attempt.checkpoint or attempt.reason:
        return False
    return not step.data_rack or step.data_rack == server.entry.rack


def review_progress(state: PlannerState, now: float) -> None:
    """Classify the servers by the progress of their runs, and log the changes."""
    book = state.learning.progress
    for name in book.review(now):
        note_speed(state, name, book.find_slowness(name), BY_PROGRESS)
