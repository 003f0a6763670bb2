"""State of the planner: jobs with their attempts, and backend servers."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import StrEnum

from cardamomdyke.jobs.records import FINAL_PHASES, GANG_INDEX, JobPhase, JobRecord
from cardamomdyke.model.orders import Shape, StepOrder, TaskId
from cardamomdyke.model.queues import QueueTables
from cardamomdyke.model.servers import EndKind, ServerEntry
from cardamomdyke.planner.actions import Action, Note
from cardamomdyke.planner.leases import ClockReading


class MemberPhase(StrEnum):
    """Phase of one task of an attempt.

    Attributes
    ----------
    PLANNED
        The attempt is not recorded yet; nothing was sent.
    STARTING
        The start was sent, or may have been; it is not confirmed.
    RUNNING
        The server has confirmed the run.
    ENDED
        The run is over, or never came to be; its room is free.
    """

    PLANNED = "planned"
    STARTING = "starting"
    RUNNING = "running"
    ENDED = "ended"


@dataclass(slots=True)
class Member:
    """One task of an attempt.

    Attributes
    ----------
    index : int
        Number of the task within its step.
    server : str
        Name of the backend server.
    instance : int
        Life of the server that the start is meant for.
    phase : MemberPhase
        Where it stands.
    inherited : bool
        True when an earlier planner sent the start.
    may_arrive : bool
        True while an unanswered start may still be carried out.
    sent_at : float
        When the start was first sent.
    confirmed_at : float
        When the run was last known to be there.
    stop_requested : bool
        True once the run is to end.
    stop_sent_at : float
        When the stop was last sent; 0 for never.
    stop_confirmed_at : float
        When the server confirmed the stop; 0 for not yet.
    end : EndKind or None
        How the run ended; None when it is not known or it never ran.
    """

    index: int
    server: str
    instance: int
    phase: MemberPhase = MemberPhase.PLANNED
    inherited: bool = False
    may_arrive: bool = False
    sent_at: float = 0.0
    confirmed_at: float = 0.0
    stop_requested: bool = False
    stop_sent_at: float = 0.0
    stop_confirmed_at: float = 0.0
    end: EndKind | None = None


@dataclass(slots=True)
class Attempt:
    """One run of a unit.

    Attributes
    ----------
    run : int
        Number of the run, the same for all members.
    members : dict of int to Member
        Members by their number within the step.
    started_at : float
        When it was planned.
    checkpoint : str
        Where all members resume; empty to begin anew.
    checkpoint_seen_at : float
        When its newest checkpoint was seen; 0 for never.
    guaranteed : bool
        True when it counts on its client account's guarantee.
    reason : str
        Why its members are being stopped; empty while they are not.
    """

    run: int
    members: dict[int, Member]
    started_at: float
    checkpoint: str = ""
    checkpoint_seen_at: float = 0.0
    guaranteed: bool = False
    reason: str = ""


UnitKey = tuple[int, int, int]


@dataclass(slots=True)
class Unit:
    """What starts together: one task, or all tasks of a gang.

    Attributes
    ----------
    key : tuple of int
        Occurrence, step, and number of the task or `GANG_INDEX`.
    done : bool
        True once it has ended as done.
    last_run : int
        Number of the last run; 0 for none.
    failed_runs : set of int
        Runs that failed.
    checkpoint : str
        Where the next run resumes; empty to begin anew.
    attempt : Attempt or None
        The current run, while any member of it may hold room.
    avoided_servers : set of str
        Servers on which it failed or could not be started.
    failed_servers : set of str
        Servers on which it failed.
    not_before : float
        Time before which it is not tried again.
    ready_since : float
        Since when it waits for nothing but room; 0 while it does not.
    reserved_servers : tuple of str
        Servers, one for each task, whose room is being freed for it.
    """

    key: UnitKey
    done: bool = False
    last_run: int = 0
    failed_runs: set[int] = field(default_factory=set)
    checkpoint: str = ""
    attempt: Attempt | None = None
    avoided_servers: set[str] = field(default_factory=set)
    failed_servers: set[str] = field(default_factory=set)
    not_before: float = 0.0
    ready_since: float = 0.0
    reserved_servers: tuple[str, ...] = ()


@dataclass(slots=True)
class Job:
    """A job that has not ended, or whose runs are not all over.

    Attributes
    ----------
    record : JobRecord
        As it was accepted.
    arrived_at : float
        When the planner learned of it.
    units : dict of UnitKey to Unit
        Everything that has to be done in the open occurrences.
    next_occurrence : int
        First occurrence that has not been opened.
    closed : set of int
        Occurrences that are done and of which nothing runs any more.
    phase : JobPhase
        Phase that callers read.
    begun : bool
        True once a task has started.
    ended_at : float
        Unix time of its end, in seconds; 0 before.
    """

    record: JobRecord
    arrived_at: float
    units: dict[UnitKey, Unit] = field(default_factory=dict)
    next_occurrence: int = 0
    closed: set[int] = field(default_factory=set)
    phase: JobPhase = JobPhase.QUEUED
    begun: bool = False
    ended_at: float = 0.0

    @property
    def job_id(self) -> str:
        """Id of the job."""
        return self.record.job_id

    @property
    def is_final(self) -> bool:
        """Whether the job has reached its last phase."""
        return self.phase in FINAL_PHASES

    @property
    def all_done(self) -> bool:
        """Whether every task of every occurrence is done."""
        opened = self.next_occurrence >= count_occurrences(self.record)
        return opened and all(unit.done for unit in self.units.values())

    def find_step(self, unit: Unit) -> StepOrder:
        """Return the order of a unit's step."""
        return self.record.order.steps[unit.key[1]]

    def make_task_id(self, unit: Unit, index: int) -> TaskId:
        """Return the name of one task of a unit."""
        return TaskId(self.job_id, unit.key[0], unit.key[1], index)


# Job id, unit and number of the task: who holds room on a server.
HolderKey = tuple[str, UnitKey, int]


@dataclass(slots=True)
class Server:
    """A backend server.

    Attributes
    ----------
    entry : ServerEntry
        What it last said in the store.
    listed : bool
        True while the store lists it.
    instance : int
        The life that answered last; 0 before it has answered.
    reading : ClockReading or None
        Newest reading of its clock, once it has answered.
    lease_until : float
        End of the longest lease granted by this planner, on its clock.
    inherited_until : float
        When the leases that others granted are certainly over.
    last_contact_at : float
        When it last answered; 0 for never.
    failing_since : float
        When it stopped answering; 0 while it answers.
    starts_paused_until : float
        Time until which nothing is started there.
    processed_end : int
        Number of the last end that was taken into account.
    acknowledged : int
        Number of the last end whose effect is recorded.
    confirmed_end : int
        Number of the last end that the server knows to be recorded.
    holders : dict of HolderKey to Shape
        Members that hold room.
    unknown_runs : dict
        Runs that no attempt knows, by task and run, with their room.
    failed_job_ids : set of str
        Ids of jobs of which a run failed here since the last one that was done.
    suspensions : int
        How often in turn it was suspended.
    suspect_until : float
        Time until which it gets only what fits nowhere else.
    suspended_until : float
        Time until which it gets nothing.
    """

    entry: ServerEntry
    listed: bool = True
    instance: int = 0
    reading: ClockReading | None = None
    lease_until: float = 0.0
    inherited_until: float = 0.0
    last_contact_at: float = 0.0
    failing_since: float = 0.0
    starts_paused_until: float = 0.0
    processed_end: int = 0
    acknowledged: int = 0
    confirmed_end: int = 0
    holders: dict[HolderKey, Shape] = field(default_factory=dict)
    unknown_runs: dict[tuple[TaskId, int], Shape] = field(default_factory=dict)
    failed_job_ids: set[str] = field(default_factory=set)
    suspensions: int = 0
    suspect_until: float = 0.0
    suspended_until: float = 0.0


@dataclass(frozen=True, slots=True)
class Limits:
    """Bounds of the deployment that decisions depend on, in seconds.

    Attributes
    ----------
    lease_seconds : float
        Longest lease of a backend server.
    gang_wait_seconds : float
        Time that a member of a gang waits for the others.
    stop_seconds : float
        Longest time that a stopped run takes to end.
    remote_factor : float
        Slow-down of a task away from its data.
    """

    lease_seconds: float
    gang_wait_seconds: float
    stop_seconds: float
    remote_factor: float = 1.0


@dataclass(slots=True)
class PlannerState:
    """Everything that the planner knows.

    Attributes
    ----------
    limits : Limits
        Bounds of the deployment.
    fence : int
        Fencing token of this planner.
    took_over_at : float
        When this planner began.
    tables : QueueTables or None
        Configuration in force.
    evacuated : frozenset of str
        Failure domains that are out of service.
    jobs : dict of str to Job
        Jobs by id, until their ends are recorded.
    known_job_ids : set of str
        Ids of all jobs that this planner has ever had, so that none is begun
        anew when its record is read again.
    servers : dict of str to Server
        Backend servers by name.
    changed : dict of str to None
        Ids of jobs whose progress is to be recorded, in order.
    unix_offset : float
        Unix time less the time of the loop's clock, in seconds.
    actions : list of Action
        What the loop has to do next.
    superseded : bool
        True once a server has shown that a later planner exists.
    """

    limits: Limits
    fence: int
    took_over_at: float
    unix_offset: float = 0.0
    tables: QueueTables | None = None
    evacuated: frozenset[str] = frozenset()
    jobs: dict[str, Job] = field(default_factory=dict)
    known_job_ids: set[str] = field(default_factory=set)
    servers: dict[str, Server] = field(default_factory=dict)
    changed: dict[str, None] = field(default_factory=dict)
    actions: list[Action] = field(default_factory=list)
    superseded: bool = False

    def note(self, kind: str, subject: str, **facts: object) -> None:
        """Add a line for the log."""
        self.actions.append(Note(kind, subject, facts))

    def mark_changed(self, job: Job) -> None:
        """Remember that a job's progress has to be recorded."""
        self.changed[job.job_id] = None


def count_occurrences(record: JobRecord) -> int:
    """Return how often the steps of a job run."""
    return max(1, record.order.repetitions)


def make_units(record: JobRecord, occurrence: int) -> dict[UnitKey, Unit]:
    """Return the units of one occurrence of a job, none of them started."""
    units: dict[UnitKey, Unit] = {}
    for number, step in enumerate(record.order.steps):
        indices = [GANG_INDEX] if step.gang else range(step.count)
        for index in indices:
            key = (occurrence, number, index)
            units[key] = Unit(key)
    return units


def list_indices(step: StepOrder, unit: Unit) -> list[int]:
    """Return the numbers of a unit's tasks within their step."""
    return list(range(step.count)) if unit.key[2] == GANG_INDEX else [unit.key[2]]


def is_ready(job: Job, unit: Unit, now: float) -> bool:
    """Tell whether a unit waits for nothing but room."""
    if unit.done or unit.attempt is not None or unit.not_before > now:
        return False
    before = job.find_step(unit).after
    return not before or all(
        other.done
        for other in job.units.values()
        if other.key[1] in before and other.key[0] == unit.key[0]
    )


def find_unit(
    state: PlannerState, task: TaskId
) -> tuple[Job, Unit] | tuple[None, None]:
    """Return the job and unit that a task belongs to."""
    job = state.jobs.get(task.job_id)
    if job is None:
        return None, None
    unit = job.units.get((task.occurrence, task.step, task.index))
    if unit is None:
        unit = job.units.get((task.occurrence, task.step, GANG_INDEX))
    return (job, unit) if unit is not None else (None, None)


def list_holders(
    state: PlannerState, server: Server
) -> Iterator[tuple[Job, Unit, Member]]:
    """Yield the members that hold room on a server; the holders may change."""
    for job_id, key, index in list(server.holders):
        job = state.jobs[job_id]
        unit = job.units[key]
        if unit.attempt is not None and index in unit.attempt.members:
            yield job, unit, unit.attempt.members[index]


def find_checkpoint(state: PlannerState, task: TaskId) -> str:
    """Return where the current attempt of a task resumes."""
    unit = find_unit(state, task)[1]
    if unit is None or unit.attempt is None:
        return ""
    return unit.attempt.checkpoint
