"""Stand-in for the backend servers of the platform: leases, runs, ends and gangs.

Times are steady-clock seconds, passed in so that tests can use a virtual clock; leases
are on the server's clock. A job's specification is a JSON list of `StepPlan`.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from msgspec import Struct
from msgspec.json import decode, encode

from cardamomdyke.model.orders import Shape, TaskId
from cardamomdyke.model.servers import EndKind, EndReport, RefusalKind, RunReport

GANG_TIMEOUT_SECONDS = 3.0
STOP_SECONDS = 0.4
MAX_LEASE_SECONDS = 10.0
CHECKPOINT_PERIOD_SECONDS = 1.0
FAULTY_RUN_SECONDS = 0.1
# A task that runs for so long lasts until it is stopped; it is at work after its start.
LASTING_SECONDS = 1e5
STARTUP_SECONDS = 0.5


class StepPlan(Struct):
    """How the tasks of a step behave.

    Attributes
    ----------
    seconds : float
        Run time of a task, in seconds.
    count : int
        Number of tasks, all of which a gang waits for.
    gang : bool
        True when the tasks form a gang.
    failing_runs : int
        Runs up to this number fail at their end.
    saves : bool
        True when the tasks write checkpoints.
    crashing_index : int
        Index of the task that crashes each server which starts it; -1 for none.
    checkpoint_length : int
        Least number of characters of a checkpoint.
    """

    seconds: float = 1.0
    count: int = 1
    gang: bool = False
    failing_runs: int = 0
    saves: bool = False
    crashing_index: int = -1
    checkpoint_length: int = 0


def encode_plan(steps: list[StepPlan]) -> str:
    """Return the specification of a job with these steps."""
    return encode(steps).decode()


def decode_plan(specification: str) -> list[StepPlan]:
    """Parse a specification; empty for other text."""
    try:
        return decode(specification, type=list[StepPlan])
    except ValueError:
        return []


class RefusedError(Exception):
    """A call that the server refused."""

    def __init__(self, kind: RefusalKind) -> None:
        super().__init__(kind.value)
        self.kind = kind


@dataclass
class Run:
    """One run on a server.

    Attributes
    ----------
    task, run, specification, checkpoint
        Parameters of the start.
    plan : StepPlan
        Behaviour of its task.
    started_at : float
        Time of the start.
    working_since : float or None
        Start of its work; None while it waits for its gang.
    saved_work : float
        Work that its checkpoint contains, in seconds.
    stops_at : float or None
        Time at which a stop takes effect; None without one.
    saves_at_stop : bool
        True once a stop has ended it, which saves all of its work.
    """

    task: TaskId
    run: int
    specification: str
    checkpoint: str
    plan: StepPlan
    started_at: float
    working_since: float | None = None
    saved_work: float = 0.0
    stops_at: float | None = None
    saves_at_stop: bool = False

    def measure_work(self, now: float) -> float:
        """Return the work done so far, in seconds."""
        if self.working_since is None:
            return self.saved_work
        return self.saved_work + now - self.working_since

    def measure_percent(self, now: float, slowness: float) -> float:
        """Return the progress that servers report, in whole percent."""
        if self.plan.seconds >= LASTING_SECONDS:
            return 100.0 if self.measure_work(now) >= STARTUP_SECONDS else 0.0
        return min(
            100.0, 100.0 * self.measure_work(now) // (self.plan.seconds * slowness)
        )


@dataclass
class Cluster:
    """All servers, by which gang members find each other.

    Attributes
    ----------
    servers : dict of str to PlatformServer
        Servers by name.
    on_start, on_end : callable
        Called at each start and end; the kind is None after a crash.
    """

    servers: dict[str, "PlatformServer"] = field(default_factory=dict)
    on_start: Callable[["PlatformServer", Run], None] = lambda server, run: None
    on_end: Callable[["PlatformServer", Run, EndKind | None], None] = (
        lambda server, run, kind: None
    )

    def list_members(
        self, task: TaskId, run: int
    ) -> list[tuple["PlatformServer", Run]]:
        """Return the members of a gang's run, with their servers."""
        return [
            (server, item)
            for server in self.servers.values()
            for item in server.runs.values()
            if item.run == run
            and (item.task.job_id, item.task.occurrence, item.task.step)
            == (task.job_id, task.occurrence, task.step)
        ]


@dataclass
class PlatformServer:
    """One backend server.

    Attributes
    ----------
    name : str
        Name of the server.
    cluster : Cluster
        All servers.
    capacity : Shape
        Published resources, not enforced.
    rack, failure_domain : str
        Location.
    clock_rate : float
        Rate of its clock, at least 0.98.
    instance : int
        Number of the current instance, from 1.
    expired_leases : int
        Number of extensions after the lease had expired.
    faulty : bool
        True while every run fails after `FAULTY_RUN_SECONDS` of work.
    refused_up_to : dict of TaskId to int
        Highest run number of each task whose start is refused.
    slowness : float
        Run times, as a multiple of the planned ones.
    """

    name: str
    cluster: Cluster
    capacity: Shape
    rack: str = "r1"
    failure_domain: str = "gent"
    clock_rate: float = 1.0
    instance: int = 1
    born_at: float = 0.0
    fence: int = 0
    lease_until: float = 0.0
    up: bool = True
    draining: bool = False
    runs: dict[TaskId, Run] = field(default_factory=dict)
    ended: list[EndReport] = field(default_factory=list)
    last_end: int = 0
    expired_leases: int = 0
    faulty: bool = False
    refused_up_to: dict[TaskId, int] = field(default_factory=dict)
    slowness: float = 1.0

    def read_clock(self, now: float) -> float:
        """Return the server's clock: seconds since its instance started."""
        return (now - self.born_at) * self.clock_rate

    def check_fence(self, fence: int) -> None:
        """Refuse a fencing token below the highest received."""
        if fence < self.fence:
            raise RefusedError(RefusalKind.FENCE)
        self.fence = fence

    def extend_lease(self, until: float, now: float) -> None:
        """Extend the lease, to at most `MAX_LEASE_SECONDS` from now."""
        if self.read_clock(now) >= self.lease_until:
            self.expired_leases += 1
        latest = self.read_clock(now) + MAX_LEASE_SECONDS
        self.lease_until = max(self.lease_until, min(until, latest))

    def start(
        self,
        task: TaskId,
        run: int,
        specification: str,
        checkpoint: str,
        lease_until: float,
        fence: int,
        now: float,
    ) -> None:
        """Start a run; a repeated start has no further effect."""
        self.advance(now)
        self.check_fence(fence)
        if lease_until <= self.read_clock(now):
            raise RefusedError(RefusalKind.LATE)
        self.extend_lease(lease_until, now)
        current = self.runs.get(task)
        if current is not None and current.run == run:
            return
        if run <= self.refused_up_to.get(task, 0) or (current and run < current.run):
            raise RefusedError(RefusalKind.OLD)
        plans = decode_plan(specification)
        plan = plans[task.step] if task.step < len(plans) else StepPlan()
        item = Run(task, run, specification, checkpoint, plan, now)
        item.saved_work = float(checkpoint.partition(":")[2] or 0.0)
        self.cluster.on_start(self, item)
        self.runs[task] = item
        if not plan.gang:
            item.working_since = now
            return
        members = self.cluster.list_members(task, run)
        if len(members) == plan.count:
            for _, member in members:
                member.working_since = now

    def stop(self, task: TaskId, run: int, fence: int, now: float) -> None:
        """Stop a run; if not running, refuse its start later."""
        self.advance(now)
        self.check_fence(fence)
        current = self.runs.get(task)
        if current is not None and current.run == run:
            if current.stops_at is None:
                current.stops_at = now + STOP_SECONDS
            return
        self.refused_up_to[task] = max(run, self.refused_up_to.get(task, 0))

    def poll(
        self, acknowledged: int, lease_until: float | None, fence: int, now: float
    ) -> tuple[tuple[RunReport, ...], tuple[EndReport, ...]]:
        """Remove acknowledged ends, extend the lease, return runs and ends."""
        self.advance(now)
        self.check_fence(fence)
        if lease_until is not None:
            self.extend_lease(lease_until, now)
        self.ended = [end for end in self.ended if end.number > acknowledged]
        running = tuple(
            RunReport(
                item.task,
                item.run,
                self.find_checkpoint(item, now),
                item.measure_percent(now, self.slowness),
            )
            for item in self.runs.values()
        )
        return running, tuple(self.ended)

    def find_checkpoint(self, item: Run, now: float) -> str:
        """Return the newest checkpoint of a run; empty without one.

        One is saved after each period of work and at a stop.
        """
        if not item.plan.saves:
            return ""
        saved = item.measure_work(now)
        if not item.saves_at_stop:
            saved = saved // CHECKPOINT_PERIOD_SECONDS * CHECKPOINT_PERIOD_SECONDS
        if saved <= 0:
            return ""
        text = f"{item.task.job_id}.{item.task.step}:{saved}"
        return text.ljust(item.plan.checkpoint_length)

    def end_run(self, item: Run, kind: EndKind, now: float) -> None:
        """End a run and the other members of its gang."""
        item.saves_at_stop = kind is EndKind.STOPPED
        checkpoint = self.find_checkpoint(item, now)
        del self.runs[item.task]
        self.refused_up_to[item.task] = max(
            item.run, self.refused_up_to.get(item.task, 0)
        )
        self.last_end += 1
        self.ended.append(
            EndReport(self.last_end, item.task, item.run, kind, checkpoint)
        )
        self.cluster.on_end(self, item, kind)
        if not item.plan.gang:
            return
        other_kind = EndKind.DONE if kind is EndKind.DONE else EndKind.BROKEN
        for server, member in self.cluster.list_members(item.task, item.run):
            if member.task in server.runs:
                server.end_run(member, other_kind, now)

    def advance(self, now: float) -> None:
        """End the runs that are due."""
        if not self.up:
            return
        lease_expired = self.read_clock(now) >= self.lease_until
        for item in list(self.runs.values()):
            if item.task not in self.runs:
                continue
            if lease_expired:
                self.end_run(item, EndKind.LAPSED, now)
            elif item.stops_at is not None and now >= item.stops_at:
                self.end_run(item, EndKind.STOPPED, now)
            elif item.working_since is None:
                if now - item.started_at >= GANG_TIMEOUT_SECONDS:
                    self.end_run(item, EndKind.ALONE, now)
            elif self.faulty and now - item.working_since >= FAULTY_RUN_SECONDS:
                self.end_run(item, EndKind.FAILED, now)
            elif item.measure_work(now) >= item.plan.seconds * self.slowness:
                failed = item.run <= item.plan.failing_runs
                kind = EndKind.FAILED if failed else EndKind.DONE
                self.end_run(item, kind, now)

    def change_speed(self, slowness: float, now: float) -> None:
        """Change the slowness; runs keep the share of their work that is done."""
        for item in self.runs.values():
            work = item.measure_work(now) * slowness / self.slowness
            if item.working_since is not None:
                item.working_since = now
            item.saved_work = work
        self.slowness = slowness

    def crash(self, now: float) -> None:
        """Lose all runs and ends; end the other members of the gangs."""
        lost_runs = list(self.runs.values())
        self.up = False
        self.runs.clear()
        self.ended.clear()
        for item in lost_runs:
            self.cluster.on_end(self, item, None)
            if not item.plan.gang:
                continue
            for server, member in self.cluster.list_members(item.task, item.run):
                if member.task in server.runs:
                    server.end_run(member, EndKind.BROKEN, now)

    def restart(self, now: float) -> None:
        """Start a new instance under the same name."""
        self.up = True
        self.instance += 1
        self.born_at = now
        self.fence = self.last_end = 0
        self.lease_until = 0.0
        self.refused_up_to.clear()
