"""Completions from which the planner learns run times and the speeds of servers.

Only runs whose duration is known and compares with others count: those that this
planner started, that ran from the beginning, and whose start and end were seen in time.
"""

from cardamomdyke.jobs.records import GANG_INDEX
from cardamomdyke.model.servers import ServerEntry
from cardamomdyke.planner.members import Member
from cardamomdyke.planner.servers import Server
from cardamomdyke.planner.state import Attempt, Job, PlannerState, Unit
from cardamomdyke.scheduling.speeds import MAX_TASKS, SpeedBook

# The time of a start is known within the time that its answer takes. A run counts if
# that is at most this share of its duration.
MAX_START_DOUBT = 0.1
MILLISECONDS = 1000.0
# Evidence of a server's speed, in log lines.
BY_ENDS = "ends"
BY_PROGRESS = "progress"


def observe_end(
    state: PlannerState,
    server: Server,
    job: Job,
    unit: Unit,
    member: Member,
    now: float,
) -> None:
    """Learn from a run that has just ended as done, before its unit is updated.

    Parameters
    ----------
    state : PlannerState
        Modified in place.
    server : Server
        Server of the run.
    job : Job
        Job of the unit.
    unit : Unit
        Unit of the run. Members of a gang end together, so a gang counts once.
    member : Member
        Member that has ended.
    now : float
        Steady-clock seconds.
    """
    attempt = unit.attempt
    if attempt is None or unit.done or not is_measurable(job, unit, attempt):
        return
    seconds = now - attempt.working_since
    step = job.find_step(unit)
    if attempt.working_since - member.sent_at > MAX_START_DOUBT * seconds:
        return
    learning = state.learning
    learning.runtimes.observe(job.record.queue, step.estimated_seconds, seconds)
    if not is_comparable(state, server, job, unit, attempt):
        return
    name, pool = server.entry.name, server.entry.pool
    book = learning.speeds.setdefault(pool, SpeedBook())
    key = (job.job_id, unit.key[0], unit.key[1])
    for changed in book.observe(name, key, seconds, min(step.count, MAX_TASKS)):
        note_speed(state, changed, book.find_slowness(changed), BY_ENDS)


def is_measurable(job: Job, unit: Unit, attempt: Attempt) -> bool:
    """Return whether the duration of an attempt is that of the whole task."""
    if not attempt.working_since or attempt.reason or attempt.checkpoint:
        return False
    inherited = any(member.inherited for member in attempt.members.values())
    return not inherited and not job.find_step(unit).long_running


def is_comparable(
    state: PlannerState, server: Server, job: Job, unit: Unit, attempt: Attempt
) -> bool:
    """Return whether an attempt's duration tells the speed of its server.

    The duration of a gang is that of its slowest member, a run away from its data takes
    longer, and a server is slow at first.
    """
    step = job.find_step(unit)
    index = unit.key[2]
    if index == GANG_INDEX or index >= MAX_TASKS or step.data_rack:
        return False
    return is_warm(state, server, attempt.working_since)


def is_warm(state: PlannerState, server: Server, at: float) -> bool:
    """Return whether a server's warm-up was over at a time of the steady clock."""
    warm_at = server.instance / MILLISECONDS + server.entry.warm_up_seconds
    return not server.entry.warm_up_seconds or at + state.unix_offset >= warm_at


def note_speed(state: PlannerState, name: str, slowness: float, by: str) -> None:
    """Write that a server has become slow, or usual again.

    Parameters
    ----------
    state : PlannerState
        Modified in place.
    name : str
        Name of the server.
    slowness : float
        Its slowness by one kind of evidence; 1.0 for a usual server.
    by : str
        Kind of evidence: `BY_ENDS` or `BY_PROGRESS`.
    """
    if slowness > 1.0:
        state.note("server.slow", name, slowness=round(slowness, 2), by=by)
    else:
        state.note("server.usual", name, by=by)


def forget_server(
    state: PlannerState, entry: ServerEntry, later_entry: ServerEntry | None = None
) -> None:
    """Forget the speed of a server that is gone, or is of another kind since a restart.

    Parameters
    ----------
    state : PlannerState
        Modified in place.
    entry : ServerEntry
        Entry of the server so far.
    later_entry : ServerEntry or None
        Its new entry; None if it is gone.
    """
    if later_entry is not None:
        same = (entry.pool, entry.labels) == (later_entry.pool, later_entry.labels)
        same = same and entry.capacity == later_entry.capacity
        if same or entry.instance == later_entry.instance:
            return
    learning = state.learning
    if learning.find_learned(entry.pool, entry.name) > 1.0:
        state.note("server.usual", entry.name, by=BY_ENDS, forgotten=True)
    if learning.progress.find_slowness(entry.name) > 1.0:
        state.note("server.usual", entry.name, by=BY_PROGRESS, forgotten=True)
    learning.forget_server(entry.pool, entry.name)
