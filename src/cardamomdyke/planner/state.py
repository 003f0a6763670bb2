"""State of the planner: jobs with their attempts, and backend servers.

Times are seconds on the daemon's steady clock unless they are called Unix times.
"""

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field

from cardamomdyke.jobs.layout import NOTHING_STORED, StoredProgress
from cardamomdyke.jobs.records import FINAL_PHASES, GANG_INDEX, JobPhase, JobRecord
from cardamomdyke.model.orders import StepOrder, TaskId
from cardamomdyke.model.queues import QueueTables
from cardamomdyke.planner.actions import Action, Count, Note
from cardamomdyke.planner.inputs import (
    LapsedRun,
    Limits,
    Outline,
    ProgressWrite,
    RefusedProgress,
    RunKey,
    SetAside,
    ShareBalance,
    Silence,
    UnitKey,
    UnsettledStart,
    UrgentArrival,
)
from cardamomdyke.planner.learning import Learning
from cardamomdyke.planner.leases import find_inherited_expiry
from cardamomdyke.planner.members import Member, MemberPhase
from cardamomdyke.planner.servers import Server
from cardamomdyke.scheduling.endings import RunProgress


@dataclass(slots=True)
class Attempt:
    """One run of a unit.

    Attributes
    ----------
    run : int
        Number of the run, the same for all members.
    members : dict of int to Member
        Members by task index within the step.
    started_at : float
        When the attempt was planned.
    checkpoint : str
        Checkpoint from which all members resume; empty for none.
    checkpoint_seen_at : float
        When the newest checkpoint was reported; 0 for never.
    guaranteed : bool
        True when it uses its client account's guarantee.
    reason : str
        Why the members are being stopped; empty if they are not.
    working_since : float
        Since when all members are confirmed; 0 before.
    saved_at_stop : bool
        True once a stopped member has reported the checkpoint of its stop.
    progress : RunProgress or None
        Progress that servers have reported; None before the first report.
    awaited_since : float
        Since when its end is waited for in place of a stop; 0 for not.
    """

    run: int
    members: dict[int, Member]
    started_at: float
    checkpoint: str = ""
    checkpoint_seen_at: float = 0.0
    guaranteed: bool = False
    reason: str = ""
    working_since: float = 0.0
    saved_at_stop: bool = False
    progress: RunProgress | None = None
    awaited_since: float = 0.0


# Only jobs of this priority are urgent and covered by a client account's guarantee.
URGENT_PRIORITY = 0


@dataclass(slots=True)
class Unit:
    """Tasks that start together: one task, or all tasks of a gang.

    Attributes
    ----------
    key : tuple of int
        Occurrence, step, and index of the task or `GANG_INDEX`.
    done : bool
        True once it has ended successfully.
    last_run : int
        Number of the last run; 0 for none.
    failed_runs : set of int
        Numbers of the runs that failed.
    checkpoint : str
        Checkpoint from which the next run resumes; empty for none.
    attempt : Attempt or None
        The current run, while a member of it may hold resources.
    avoided_servers : set of str
        Servers on which it failed or could not be started.
    failed_servers : set of str
        Servers on which it failed.
    not_before : float
        Earliest time of the next attempt.
    ended_at : float
        When its last attempt of this term ended; 0 before.
    silent_since : float
        Since when the server of its last run was silent, if its lease expired; else 0.
    ready_since : float
        Since when it waits only for resources; 0 if it does not.
    pending_reason : str
        What kept it from starting in the last plan; a `PendingReason`.
    reported_reason : str
        Reason that was last logged since it began to wait.
    reserved_servers : tuple of str
        One server per task, on which resources are being freed for it.
    crashes : set of (int, int)
        Index of a task and run number of each confirmed start at which its server
        crashed.
    possible_crashes : set of (int, int)
        The same of starts of which it is not known whether they took effect before
        the crash.
    later_crashes : set of (int, int)
        The same of crashes that do not make the unit suspect, since the run had
        outlived its start or a later run did.
    silent_starts : set of (int, int)
        The same of starts after which the server fell silent, until it is known
        whether it crashed.
    preemptions : int
        Number of its runs that this planner has stopped for other work.
    preempted_at : float
        When the last of them was stopped; 0 for never.
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
    ended_at: float = 0.0
    silent_since: float = 0.0
    ready_since: float = 0.0
    pending_reason: str = ""
    reported_reason: str = ""
    reserved_servers: tuple[str, ...] = ()
    crashes: set[tuple[int, int]] = field(default_factory=set)
    possible_crashes: set[tuple[int, int]] = field(default_factory=set)
    later_crashes: set[tuple[int, int]] = field(default_factory=set)
    silent_starts: set[tuple[int, int]] = field(default_factory=set)
    preemptions: int = 0
    preempted_at: float = 0.0


@dataclass(slots=True)
class Job:
    """A job that has not ended or that still has runs.

    Attributes
    ----------
    record : JobRecord
        The job as it was accepted.
    arrived_at : float
        When the planner first read it.
    units : dict of UnitKey to Unit
        Units of the open occurrences.
    next_occurrence : int
        First occurrence that has not been opened.
    closed : set of int
        Occurrences that are done and have no more runs.
    phase : JobPhase
        Phase that is reported to callers.
    begun : bool
        True once a task has started.
    ended_at : float
        Unix time of the end, in seconds; 0 before.
    beyond_share : bool
        True if its client account had submitted faster than agreed.
    revision : int
        Incremented with each change that must be recorded.
    recorded_revision : int
        Revision of the recorded progress.
    stored : StoredProgress
        What the store holds of the progress.
    outline : Outline or None
        What the order of a planning pass needs of it; None before the first pass.
    """

    record: JobRecord
    arrived_at: float
    units: dict[UnitKey, Unit] = field(default_factory=dict)
    next_occurrence: int = 0
    closed: set[int] = field(default_factory=set)
    phase: JobPhase = JobPhase.QUEUED
    begun: bool = False
    ended_at: float = 0.0
    beyond_share: bool = False
    revision: int = 0
    recorded_revision: int = 0
    stored: StoredProgress = NOTHING_STORED
    outline: Outline | None = None

    @property
    def job_id(self) -> str:
        """Id of the job."""
        return self.record.job_id

    @property
    def is_urgent(self) -> bool:
        """Whether the job has the highest priority."""
        return self.record.priority == URGENT_PRIORITY

    @property
    def is_final(self) -> bool:
        """Whether the phase is completed, failed or cancelled."""
        return self.phase in FINAL_PHASES

    @property
    def all_done(self) -> bool:
        """Whether every task of all occurrences has succeeded."""
        opened = self.next_occurrence >= count_occurrences(self.record)
        return opened and all(unit.done for unit in self.units.values())

    def find_step(self, unit: Unit) -> StepOrder:
        """Return the step that a unit belongs to."""
        return self.record.order.steps[unit.key[1]]

    def make_task_id(self, unit: Unit, index: int) -> TaskId:
        """Return the identity of one task of a unit."""
        return TaskId(self.job_id, unit.key[0], unit.key[1], index)


@dataclass(slots=True)
class PlannerState:
    """Complete state of a planner.

    Attributes
    ----------
    limits : Limits
        Limits of the deployment.
    fence : int
        Fencing token of this planner.
    took_over_at : float
        When this planner took over.
    tables : QueueTables or None
        Configuration in force; None before it is read.
    evacuated : frozenset of str
        Failure domains that are out of service.
    jobs : dict of str to Job
        Jobs by id, until their ends are recorded.
    known_job_ids : set of str
        Ids of all jobs that this planner ever had, so that a record that is read
        again does not start its job again.
    servers : dict of str to Server
        Backend servers by name.
    changed : dict of str to None
        Ids of jobs whose progress must be recorded, in order.
    writes : dict of str to ProgressWrite
        Progress that is being appended, by job id.
    refused : dict of str to RefusedProgress
        Jobs whose progress the store has refused, by id.
    unix_offset : float
        Unix time minus time on the steady clock, in seconds.
    actions : list of Action
        Actions for the control loop to execute, in order.
    superseded : bool
        True once a server has reported a higher fencing token.
    urgent_arrivals : deque of UrgentArrival
        Recent arrivals of urgent jobs, the oldest first.
    share_balances : dict of str to ShareBalance
        Balances of the client accounts that have a weight, by name.
    pending_reported_at : float
        When the reasons of waiting units were last compared with the log.
    set_aside : dict of str to SetAside
        Jobs that could not be planned because of an unexpected error, by id.
    suspect_units : set of (str, UnitKey)
        Units at whose starts servers crashed, or may have, by job id and key.
    lapsed_runs : list of LapsedRun
        Runs that were lost at their start with servers that are silent since.
    unsettled_starts : dict of str to dict of RunKey to UnsettledStart
        Starts that may still take effect, by name of the server.
    unanswered_grants : dict of str to float
        When the newest unanswered poll that renews a lease was sent, by name of the
        server. Outlives the server's entry.
    silences : dict of str to Silence
        Servers that are recorded as silent, by name; they are granted no lease.
    learning : Learning
        Run times and server speeds, learned from completions of this term.
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
    writes: dict[str, ProgressWrite] = field(default_factory=dict)
    refused: dict[str, RefusedProgress] = field(default_factory=dict)
    actions: list[Action] = field(default_factory=list)
    superseded: bool = False
    urgent_arrivals: deque[UrgentArrival] = field(default_factory=deque)
    share_balances: dict[str, ShareBalance] = field(default_factory=dict)
    pending_reported_at: float = 0.0
    set_aside: dict[str, SetAside] = field(default_factory=dict)
    suspect_units: set[tuple[str, UnitKey]] = field(default_factory=set)
    lapsed_runs: list[LapsedRun] = field(default_factory=list)
    unsettled_starts: dict[str, dict[RunKey, UnsettledStart]] = field(
        default_factory=dict
    )
    unanswered_grants: dict[str, float] = field(default_factory=dict)
    silences: dict[str, Silence] = field(default_factory=dict)
    learning: Learning = field(default_factory=Learning)

    def note(self, kind: str, subject: str, **facts: object) -> None:
        """Add an action that writes a log line."""
        self.actions.append(Note(kind, subject, facts))

    def count(self, name: str, amount: int = 1) -> None:
        """Add an action that increments a counter."""
        self.actions.append(Count(name, amount))

    def mark_changed(self, job: Job) -> None:
        """Schedule a job's progress to be recorded."""
        job.revision += 1
        self.changed[job.job_id] = None


def count_occurrences(record: JobRecord) -> int:
    """Return the number of a job's occurrences, at least 1."""
    return max(1, record.order.repetitions)


def make_units(record: JobRecord, occurrence: int) -> dict[UnitKey, Unit]:
    """Return new units for all steps of one occurrence of a job."""
    units: dict[UnitKey, Unit] = {}
    for number, step in enumerate(record.order.steps):
        indices = [GANG_INDEX] if step.gang else range(step.count)
        for index in indices:
            key = (occurrence, number, index)
            units[key] = Unit(key)
    return units


def list_indices(step: StepOrder, unit: Unit) -> list[int]:
    """Return the indices of a unit's tasks within their step."""
    return list(range(step.count)) if unit.key[2] == GANG_INDEX else [unit.key[2]]


def list_unfinished_steps(job: Job) -> frozenset[tuple[int, int]]:
    """Return occurrence and step of each step with a unit that is not done."""
    return frozenset(unit.key[:2] for unit in job.units.values() if not unit.done)


def is_ready(
    job: Job, unit: Unit, unfinished_steps: frozenset[tuple[int, int]], now: float
) -> bool:
    """Return whether a unit waits only for resources.

    The earlier steps that it depends on must be done in its occurrence.

    Parameters
    ----------
    job : Job
        Job of the unit.
    unit : Unit
        The unit.
    unfinished_steps : frozenset of (int, int)
        `list_unfinished_steps` of the job, which takes time in proportion to its units.
    now : float
        Steady-clock seconds.
    """
    if unit.done or unit.attempt is not None or unit.not_before > now:
        return False
    occurrence = unit.key[0]
    required = job.find_step(unit).after
    return not any((occurrence, step) in unfinished_steps for step in required)


def has_work(state: PlannerState, job: Job) -> bool:
    """Return whether a task of a job may be at work.

    Runs that are being stopped and runs on silent servers are not counted.
    """
    return any(
        member.phase is not MemberPhase.ENDED and is_answering(state, member.server)
        for unit in job.units.values()
        if unit.attempt is not None and not unit.attempt.reason
        for member in unit.attempt.members.values()
    )


def is_answering(state: PlannerState, name: str) -> bool:
    """Return whether a backend server is known and has answered the last call."""
    server = state.servers.get(name)
    return server is not None and not server.failing_since


def find_unit(
    state: PlannerState, task: TaskId
) -> tuple[Job, Unit] | tuple[None, None]:
    """Return the job and unit of a task, or None for both when unknown."""
    job = state.jobs.get(task.job_id)
    if job is None:
        return None, None
    unit = job.units.get((task.occurrence, task.step, task.index))
    if unit is None:
        unit = job.units.get((task.occurrence, task.step, GANG_INDEX))
    return (job, unit) if unit is not None else (None, None)


def find_earlier_expiry(state: PlannerState, name: str) -> float:
    """Return when all leases that earlier planners have granted a server are over.

    An earlier planner may go on renewing leases for a while after the takeover, since
    the store can deal the partitions anew before that planner has heard of it. None
    does so once the server is recorded as silent.
    """
    granted_before = state.took_over_at
    silence = state.silences.get(name)
    if silence is not None:
        granted_before = min(granted_before, silence.since)
    granted_before += state.limits.overlap_seconds
    return find_inherited_expiry(granted_before, state.limits.lease_seconds)


def list_holders(
    state: PlannerState, server: Server
) -> Iterator[tuple[Job, Unit, Member]]:
    """Yield the members that hold resources on a server.

    The server's holders may change during the iteration.
    """
    for job_id, key, index in list(server.holders):
        job = state.jobs[job_id]
        unit = job.units[key]
        if unit.attempt is not None and index in unit.attempt.members:
            yield job, unit, unit.attempt.members[index]


def find_checkpoint(state: PlannerState, task: TaskId) -> str:
    """Return the checkpoint of a task's current attempt; empty for none."""
    unit = find_unit(state, task)[1]
    if unit is None or unit.attempt is None:
        return ""
    return unit.attempt.checkpoint
