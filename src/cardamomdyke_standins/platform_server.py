"""Stand-in of the platform's backend servers: leases, runs, ends and gangs.

Time is passed in, so histories run on a virtual clock. A job's specification is
a JSON text that tells how long its tasks run and which runs fail.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from msgspec import Struct
from msgspec.json import decode, encode

from cardamomdyke.model.orders import Shape, TaskId
from cardamomdyke.model.servers import EndKind, EndReport, RefusalKind, RunReport

GANG_WAIT_SECONDS = 3.0
STOP_SECONDS = 0.4
LEASE_LIMIT_SECONDS = 10.0
CHECKPOINT_SECONDS = 1.0
FAULT_SECONDS = 0.1


class StepPlan(Struct):
    """How the tasks of a step behave.

    Attributes
    ----------
    seconds : float
        Run time of a task.
    count : int
        Number of tasks, which a gang waits for.
    gang : bool
        True when the tasks work only together.
    failing_runs : int
        Every run up to this number fails after its run time.
    saves : bool
        True when the tasks save their progress.
    """

    seconds: float = 1.0
    count: int = 1
    gang: bool = False
    failing_runs: int = 0
    saves: bool = False


def encode_plan(steps: list[StepPlan]) -> str:
    """Return the specification of a job whose steps behave so."""
    return encode(steps).decode()


def decode_plan(specification: str) -> list[StepPlan]:
    """Read a specification; a text of another kind means steps of one second."""
    try:
        return decode(specification, type=list[StepPlan])
    except ValueError:
        return []


class RefusedError(Exception):
    """A call that the server did not carry out."""

    def __init__(self, kind: RefusalKind) -> None:
        super().__init__(kind.value)
        self.kind = kind


@dataclass
class Run:
    """One run on a server.

    Attributes
    ----------
    task, run, specification, checkpoint
        As the start named them.
    plan : StepPlan
        How it behaves.
    started_at : float
        When it began, in the world's time.
    work_since : float or None
        Since when it is at work; None while it waits for its gang.
    saved_work : float
        Work that the checkpoint holds, in seconds.
    stops_at : float or None
        When a stop takes effect.
    """

    task: TaskId
    run: int
    specification: str
    checkpoint: str
    plan: StepPlan
    started_at: float
    work_since: float | None = None
    saved_work: float = 0.0
    stops_at: float | None = None

    def work_done(self, now: float) -> float:
        """Return the work done, in seconds."""
        if self.work_since is None:
            return self.saved_work
        return self.saved_work + now - self.work_since

    def find_percent(self, now: float) -> float:
        """Return the progress as servers tell it, in whole percents."""
        return min(100.0, 100.0 * self.work_done(now) // self.plan.seconds)


@dataclass
class Hall:
    """All servers of a world; the members of a gang find each other here.

    Attributes
    ----------
    servers : dict of str to PlatformServer
        Servers by name.
    on_start, on_end : callable
        Observe every run that begins, and every run that is over.
    """

    servers: dict[str, "PlatformServer"] = field(default_factory=dict)
    on_start: Callable[["PlatformServer", Run], None] = lambda server, run: None
    on_end: Callable[["PlatformServer", Run, EndKind | None], None] = (
        lambda server, run, kind: None
    )

    def list_members(
        self, task: TaskId, run: int
    ) -> list[tuple["PlatformServer", Run]]:
        """Return the members of a gang's run that are on some server."""
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
        Its id.
    hall : Hall
        All servers.
    capacity : Shape
        Its room, which it does not guard.
    rack, failure_domain : str
        Where it is.
    rate : float
        Speed of its clock; 0.98 at the least.
    instance : int
        Number of the current instance, from 1.
    lapses : int
        How often its lease had run out before it was extended.
    faulty : bool
        True while every run fails after `FAULT_SECONDS`.
    """

    name: str
    hall: Hall
    capacity: Shape
    rack: str = "r1"
    failure_domain: str = "gent"
    rate: float = 1.0
    instance: int = 1
    born_at: float = 0.0
    fence: int = 0
    lease_until: float = 0.0
    up: bool = True
    draining: bool = False
    runs: dict[TaskId, Run] = field(default_factory=dict)
    ended: list[EndReport] = field(default_factory=list)
    last_end: int = 0
    lapses: int = 0
    faulty: bool = False
    barred: dict[TaskId, int] = field(default_factory=dict)

    def read_clock(self, now: float) -> float:
        """Return the server's clock, in seconds since its start."""
        return (now - self.born_at) * self.rate

    def check_fence(self, fence: int) -> None:
        """Refuse a lower token than the highest seen."""
        if fence < self.fence:
            raise RefusedError(RefusalKind.FENCE)
        self.fence = fence

    def extend_lease(self, until: float, now: float) -> None:
        """Make the lease longer, up to the limit."""
        if self.read_clock(now) >= self.lease_until:
            self.lapses += 1
        latest = self.read_clock(now) + LEASE_LIMIT_SECONDS
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
        """Start a run; one that is there already is left alone."""
        self.advance(now)
        self.check_fence(fence)
        if lease_until <= self.read_clock(now):
            raise RefusedError(RefusalKind.LATE)
        self.extend_lease(lease_until, now)
        present = self.runs.get(task)
        if present is not None and present.run == run:
            return
        if run <= self.barred.get(task, 0) or (present and run < present.run):
            raise RefusedError(RefusalKind.OLD)
        plans = decode_plan(specification)
        plan = plans[task.step] if task.step < len(plans) else StepPlan()
        item = Run(task, run, specification, checkpoint, plan, now)
        item.saved_work = float(checkpoint.partition(":")[2] or 0.0)
        self.hall.on_start(self, item)
        self.runs[task] = item
        if not plan.gang:
            item.work_since = now
            return
        members = self.hall.list_members(task, run)
        if len(members) == plan.count:
            for _, member in members:
                member.work_since = now

    def stop(self, task: TaskId, run: int, fence: int, now: float) -> None:
        """Stop a run; one that is not there will be refused when it comes."""
        self.advance(now)
        self.check_fence(fence)
        present = self.runs.get(task)
        if present is not None and present.run == run:
            if present.stops_at is None:
                present.stops_at = now + STOP_SECONDS
            return
        self.barred[task] = max(run, self.barred.get(task, 0))

    def look(
        self, acknowledged: int, lease_until: float | None, fence: int, now: float
    ) -> tuple[tuple[RunReport, ...], tuple[EndReport, ...]]:
        """Forget acknowledged ends, extend the lease, and list what there is."""
        self.advance(now)
        self.check_fence(fence)
        if lease_until is not None:
            self.extend_lease(lease_until, now)
        self.ended = [end for end in self.ended if end.number > acknowledged]
        running = tuple(
            RunReport(item.task, item.run, self.save(item, now), item.find_percent(now))
            for item in self.runs.values()
        )
        return running, tuple(self.ended)

    def save(self, item: Run, now: float) -> str:
        """Return a run's newest checkpoint."""
        if not item.plan.saves:
            return ""
        whole = item.work_done(now) // CHECKPOINT_SECONDS * CHECKPOINT_SECONDS
        if whole <= 0:
            return ""
        return f"{item.task.job_id}.{item.task.step}:{whole}"

    def end_run(self, item: Run, kind: EndKind, now: float) -> None:
        """End a run, and the other members of its gang with it."""
        checkpoint = self.save(item, now)
        del self.runs[item.task]
        self.barred[item.task] = max(item.run, self.barred.get(item.task, 0))
        self.last_end += 1
        self.ended.append(
            EndReport(self.last_end, item.task, item.run, kind, checkpoint)
        )
        self.hall.on_end(self, item, kind)
        if not item.plan.gang:
            return
        other_kind = EndKind.DONE if kind is EndKind.DONE else EndKind.BROKEN
        for server, member in self.hall.list_members(item.task, item.run):
            if member.task in server.runs:
                server.end_run(member, other_kind, now)

    def advance(self, now: float) -> None:
        """Let runs end whose time has come."""
        if not self.up:
            return
        lapsed = self.read_clock(now) >= self.lease_until
        for item in list(self.runs.values()):
            if item.task not in self.runs:
                continue
            if lapsed:
                self.end_run(item, EndKind.LAPSED, now)
            elif item.stops_at is not None and now >= item.stops_at:
                self.end_run(item, EndKind.STOPPED, now)
            elif item.work_since is None:
                if now - item.started_at >= GANG_WAIT_SECONDS:
                    self.end_run(item, EndKind.ALONE, now)
            elif self.faulty and now - item.work_since >= FAULT_SECONDS:
                self.end_run(item, EndKind.FAILED, now)
            elif item.work_done(now) >= item.plan.seconds:
                failed = item.run <= item.plan.failing_runs
                kind = EndKind.FAILED if failed else EndKind.DONE
                self.end_run(item, kind, now)

    def crash(self, now: float) -> None:
        """Lose everything; the other members of gangs end."""
        lost = list(self.runs.values())
        self.up = False
        self.runs.clear()
        self.ended.clear()
        for item in lost:
            self.hall.on_end(self, item, None)
            if not item.plan.gang:
                continue
            for server, member in self.hall.list_members(item.task, item.run):
                if member.task in server.runs:
                    server.end_run(member, EndKind.BROKEN, now)

    def restart(self, now: float) -> None:
        """Start a new instance under the same name."""
        self.up = True
        self.instance += 1
        self.born_at = now
        self.fence = self.last_end = 0
        self.lease_until = 0.0
        self.barred.clear()
