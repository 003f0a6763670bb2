"""Decision of an entry VM whether to accept a job, by the planner's forecast.

It answers the load of a pool that gets more work than it can run in time. A job whose
answer would be worth nothing is refused before it is stored, so that its caller learns
that at once and the pool's capacity goes to the others. In doubt a job is accepted.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace
from enum import StrEnum
from math import ceil
from zlib import crc32

from cardamomdyke.model.orders import JobOrder, Shape, StepOrder
from cardamomdyke.scheduling.forecast import (
    DECLARED_SPREAD,
    RESOURCES,
    WaitingWork,
    goes_before,
)
from cardamomdyke.scheduling.placement import count_fits

# A completion within this multiple of the objective still has a part of its value.
LATE_FACTOR = 3.0
# The planner confirms a summary every 0.8 s; an older one may be of a lost planner.
MAX_SUMMARY_AGE_SECONDS = 3.0
# Callers give up 3 s after their first try, so urgent ones get one more within that.
URGENT_RETRY_SECONDS = 2
# Beyond this a forecast says little, and servers may have joined.
MAX_RETRY_SECONDS = 30
URGENT_PRIORITY = 0


class AdmissionReason(StrEnum):
    """Why a job is refused.

    Attributes
    ----------
    TOO_LARGE
        A task is larger than every server of the pool.
    TOO_LATE
        The job would end when its answer is worth nothing.
    """

    TOO_LARGE = "no_server_large_enough"
    TOO_LATE = "too_late"


@dataclass(frozen=True, slots=True)
class ExpectedWait:
    """Expected wait of one kind of work in a pool.

    Attributes
    ----------
    priority : int
        Priority of the work.
    shape : Shape
        Resources of each task.
    unit_tasks : int
        Number of tasks that start together.
    tasks : int
        Number of tasks of the step.
    one_rack : bool
        True if all tasks need the same rack.
    seconds : float
        Time until all tasks have started.
    spread : float
        Factor by which it may be off in either direction.
    runtime_factor : float
        Largest ratio of a run time to the declared one.
    """

    priority: int
    shape: Shape
    unit_tasks: int
    tasks: int
    one_rack: bool
    seconds: float
    spread: float = DECLARED_SPREAD
    runtime_factor: float = DECLARED_SPREAD

    @property
    def least_seconds(self) -> float:
        """Wait that the forecast allows at least."""
        return self.seconds / max(1.0, self.spread)

    def make_work(self) -> WaitingWork:
        """Return new work of this kind."""
        step = StepOrder(
            self.tasks,
            self.shape,
            gang=self.unit_tasks > 1,
            rack_sensitive=self.one_rack,
        )
        return WaitingWork(step, self.tasks // self.unit_tasks, 0.0)

    def is_exceeded_by(self, step: StepOrder, priority: int) -> bool:
        """Return whether a new step certainly waits for as long as this work.

        It then has no better priority, and needs no less. A gang that is larger than
        every rack is spread, so a wait for one rack says nothing about larger gangs.
        """
        shape = step.shape
        if self.one_rack and not (
            step.rack_sensitive and step.count == self.tasks and shape == self.shape
        ):
            return False
        return (
            self.priority <= priority
            and self.shape.millicores <= shape.millicores
            and self.shape.memory_mb <= shape.memory_mb
            and self.shape.accelerators <= shape.accelerators
            and self.unit_tasks <= (step.count if step.gang else 1)
            and self.tasks <= step.count
        )


@dataclass(frozen=True, slots=True)
class PoolSummary:
    """What entry VMs know about a pool.

    Attributes
    ----------
    fence : int
        Fencing token of the planner.
    made_at : float
        Unix time of the summary, by the planner's clock, in seconds.
    servers : int
        Number of servers that the pool lists; 0 while the list may lack some.
    largest : Shape
        Largest amount of each resource on any server.
    rack : Shape
        Largest amount of each resource in any rack.
    waits : tuple of ExpectedWait
        Expected waits of the kinds of work that wait now.
    beyond_share : tuple of str
        Client accounts that wait because they are beyond their share.
    """

    fence: int
    made_at: float
    servers: int
    largest: Shape
    rack: Shape
    waits: tuple[ExpectedWait, ...] = ()
    beyond_share: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Arrival:
    """A step that can start at once, of a job that was accepted after a summary.

    Attributes
    ----------
    priority : int
        Priority of the job.
    account : str
        Client account of the job.
    step : StepOrder
        The step.
    """

    priority: int
    account: str
    step: StepOrder


@dataclass(frozen=True, slots=True)
class AdmissionRequest:
    """A submitted job, and what the entry VM knows about it.

    Attributes
    ----------
    job_id : str
        Id of the job.
    account : str
        Client account; empty for an anonymous caller.
    order : JobOrder
        As the caller submitted it.
    priority : int
        Priority of the route.
    stretch : float
        Accepted completion time, as a multiple of the critical path.
    target_seconds : float
        Completion time accepted beyond that.
    guaranteed : bool
        True if the account's guarantee covers the job.
    may_be_stored : bool
        True if the job is known, or an append of it had no certain outcome.
    """

    job_id: str
    account: str
    order: JobOrder
    priority: int
    stretch: float
    target_seconds: float
    guaranteed: bool = False
    may_be_stored: bool = False


@dataclass(frozen=True, slots=True)
class AdmissionRefusal:
    """Refusal of a job before anything is stored.

    Attributes
    ----------
    reason : AdmissionReason
        Why it is refused.
    detail : str
        The numbers behind the decision, for the caller.
    retry_after_seconds : int
        When to send it again, in whole seconds, at least 1.
    """

    reason: AdmissionReason
    detail: str
    retry_after_seconds: int


def decide_admission(
    request: AdmissionRequest,
    summary: PoolSummary | None,
    age_seconds: float,
    arrivals: Sequence[Arrival] = (),
) -> AdmissionRefusal | None:
    """Decide whether to accept a job.

    Parameters
    ----------
    request : AdmissionRequest
        The job.
    summary : PoolSummary or None
        Newest summary of its pool; None before the first.
    age_seconds : float
        Longest time since the planner confirmed the summary.
    arrivals : sequence of Arrival
        Work of the pool that was accepted after that.

    Returns
    -------
    AdmissionRefusal or None
        None to accept the job.
    """
    if summary is None or not 0.0 <= age_seconds <= MAX_SUMMARY_AGE_SECONDS:
        return None
    if request.may_be_stored or is_unlimited(request.order):
        return None
    large = find_large_step(request.order.steps, summary)
    if large is not None:
        return make_large_refusal(large, summary)
    if request.guaranteed and request.priority == URGENT_PRIORITY:
        return None
    return find_lateness(request, summary, age_seconds, arrivals)


def is_unlimited(order: JobOrder) -> bool:
    """Return whether a job is scheduled or runs until it is cancelled."""
    return bool(order.repetitions) or any(step.long_running for step in order.steps)


def find_large_step(
    steps: Iterable[StepOrder], summary: PoolSummary
) -> StepOrder | None:
    """Return a step whose tasks are larger than every known server, or None."""
    if not summary.servers:
        return None
    for step in steps:
        if not count_fits(summary.largest, step.shape):
            return step
    return None


def make_large_refusal(step: StepOrder, summary: PoolSummary) -> AdmissionRefusal:
    """Return the refusal of a job with a task that no known server can hold."""
    detail = (
        f"a task needs {describe_shape(step.shape)}; the largest of the "
        f"{summary.servers} known servers has {describe_shape(summary.largest)}"
    )
    return AdmissionRefusal(AdmissionReason.TOO_LARGE, detail, MAX_RETRY_SECONDS)


def describe_shape(shape: Shape) -> str:
    """Return the amounts of a shape as text."""
    return (
        f"{shape.millicores} millicores, {shape.memory_mb} MB and "
        f"{shape.accelerators} accelerators"
    )


def find_lateness(
    request: AdmissionRequest,
    summary: PoolSummary,
    age_seconds: float,
    arrivals: Sequence[Arrival],
) -> AdmissionRefusal | None:
    """Return the refusal of a job that would end too late to be of use, or None.

    It takes the shortest wait that the forecast allows, and the longest run time that
    the declared one allows, since the objective grows with the run time.
    """
    steps = request.order.steps
    stretch = max(1.0, request.stretch)
    has_objective = stretch > 1.0 or request.target_seconds > 0.0
    if not has_objective or any(step.estimated_seconds <= 0.0 for step in steps):
        return None
    current = [
        replace(wait, seconds=wait.seconds + measure_arrivals(wait, summary, arrivals))
        for wait in summary.waits
    ]
    waits = [find_wait(step, request.priority, current) for step in steps]
    least_waits = [
        0.0 if wait is None else max(0.0, wait.least_seconds - age_seconds)
        for wait in waits
    ]
    if not any(least_waits):
        return None
    factor = max(wait.runtime_factor for wait in waits if wait is not None)
    times = [step.estimated_seconds * max(1.0, factor) for step in steps]
    critical = find_end(steps, times, [0.0] * len(steps))
    objective = stretch * critical + request.target_seconds
    excess = find_end(steps, times, least_waits) - LATE_FACTOR * objective
    # A damaged record may hold what is no number.
    if not excess > 0.0:
        return None
    detail = (
        f"the pool is full: the wait is at least {max(least_waits):.1f} s, and the "
        f"job's answer would be of use within {LATE_FACTOR * objective:.1f} s"
    )
    beyond_share = request.account in summary.beyond_share
    retry_after = find_retry_after(
        request.job_id, request.priority, excess, beyond_share
    )
    return AdmissionRefusal(AdmissionReason.TOO_LATE, detail, retry_after)


def measure_arrivals(
    wait: ExpectedWait, summary: PoolSummary, arrivals: Iterable[Arrival]
) -> float:
    """Return how much longer work waits at least, because of work accepted since.

    Only what certainly goes first is counted, as if all servers were of the largest
    size.
    """
    work = wait.make_work()
    volumes = [0.0] * len(RESOURCES)
    for arrival in arrivals:
        step = arrival.step
        if arrival.priority > wait.priority or arrival.account in summary.beyond_share:
            continue
        tasks = step.count
        units = 1 if step.gang else tasks
        if goes_before(WaitingWork(step, units, step.estimated_seconds), work):
            for position, read in enumerate(RESOURCES):
                volumes[position] += read(step.shape) * tasks * step.estimated_seconds
    totals = [read(summary.largest) * summary.servers for read in RESOURCES]
    return max(
        volume / total if total else 0.0
        for volume, total in zip(volumes, totals, strict=True)
    )


def find_wait(
    step: StepOrder, priority: int, waits: Iterable[ExpectedWait]
) -> ExpectedWait | None:
    """Return the longest known wait that a step certainly has, or None."""
    matching = [wait for wait in waits if wait.is_exceeded_by(step, priority)]
    return max(matching, key=lambda wait: wait.least_seconds, default=None)


def find_end(
    steps: Iterable[StepOrder], times: Iterable[float], waits: Iterable[float]
) -> float:
    """Return when a job's last step ends.

    Parameters
    ----------
    steps : iterable of StepOrder
        Steps; each depends only on earlier ones.
    times : iterable of float
        Run time of each step's tasks, in seconds.
    waits : iterable of float
        Earliest start of each step, in seconds from now.

    Returns
    -------
    float
        Seconds from now.
    """
    ends: list[float] = []
    for step, seconds, wait in zip(steps, times, waits, strict=True):
        start = max([wait, *(ends[earlier] for earlier in step.after)])
        ends.append(start + seconds)
    return max(ends, default=0.0)


def find_retry_after(
    job_id: str, priority: int, excess_seconds: float, beyond_share: bool
) -> int:
    """Return when a refused caller should return, in whole seconds.

    Returning callers are spread by the ids of their jobs. Urgent ones come first, and
    accounts beyond their share last.

    Parameters
    ----------
    job_id : str
        Id of the job.
    priority : int
        Priority of the job.
    excess_seconds : float
        Time by which the wait must fall at least.
    beyond_share : bool
        True if the account is beyond its share.
    """
    earliest = max(1, ceil(min(excess_seconds, MAX_RETRY_SECONDS)))
    part = crc32(job_id.encode())
    if priority == URGENT_PRIORITY:
        return min(earliest, URGENT_RETRY_SECONDS - part % URGENT_RETRY_SECONDS)
    if beyond_share:
        earliest *= 2
    earliest = min(earliest, MAX_RETRY_SECONDS)
    return earliest + part % (earliest // 2 + priority + 1)
