"""Judges the runs of a history by the platform's rules."""

from dataclasses import dataclass, field

from cardamomdyke.jobs.records import JobPhase, JobRecord
from cardamomdyke.model.orders import StepOrder, TaskId
from cardamomdyke.model.servers import EndKind
from cardamomdyke.planner.state import count_occurrences
from cardamomdyke_standins.platform_server import Hall, PlatformServer, Run

# Rules with a bound: a cancelled job starts nothing later than this.
CANCEL_SECONDS = 3.0
# An occurrence may start this much before its due time.
EARLY_SECONDS = 0.25


@dataclass
class Judge:
    """What servers have seen, and the rules that it breaks."""

    now: float = 0.0
    hall: Hall = field(default_factory=Hall)
    orders: dict[str, JobRecord] = field(default_factory=dict)
    cancelled_at: dict[str, float] = field(default_factory=dict)
    violations: list[str] = field(default_factory=list)
    live: dict[TaskId, list[tuple[str, int]]] = field(default_factory=dict)
    done: dict[TaskId, int] = field(default_factory=dict)
    failed: dict[TaskId, dict[int, float]] = field(default_factory=dict)
    fail_places: dict[tuple[TaskId, int], tuple[str, int, int, int, float]] = field(
        default_factory=dict
    )
    starts: dict[TaskId, list[float]] = field(default_factory=dict)
    end_places: dict[TaskId, tuple[str, int, int, int]] = field(default_factory=dict)
    ended_done: set[TaskId] = field(default_factory=set)
    disturbed: bool = False

    def is_in_touch(self) -> bool:
        """Tell whether the daemon that plans reaches the store."""
        raise NotImplementedError

    def find_run(self, task: TaskId) -> int:
        """Return the number of a task's last run, as the planner knows it."""
        raise NotImplementedError

    def find_phase(self, job_id: str) -> JobPhase | None:
        """Return the phase of a job, as callers read it."""
        raise NotImplementedError

    def note_acknowledged(self, server: PlatformServer, number: int) -> None:
        """Remember which ends were taken note of."""
        # An end does not count when the lease ran out before it was taken note of.
        if server.read_clock(self.now) >= server.lease_until:
            return
        found = (server.name, server.instance, server.lapses)
        for task, (name, instance, lapses, place) in self.end_places.items():
            if (name, instance, lapses) == found and place <= number:
                self.done[task] = place
        for (task, run), (
            name,
            instance,
            lapses,
            place,
            at,
        ) in self.fail_places.items():
            if (name, instance, lapses) == found and place <= number:
                self.failed.setdefault(task, {})[run] = at
                self.judge_budget(task)

    def judge_budget(self, task: TaskId) -> None:
        """Check that nothing was started after the last attempt had failed."""
        record = self.orders[task.job_id]
        limit = record.attempt_limit
        if record.order.steps[task.step].long_running:
            return
        ends = sorted(self.list_failed(task).values())
        if len(ends) >= limit and max(self.starts[task]) > ends[limit - 1]:
            self.violations.append(f"BUDGET: {task} {ends} {self.starts[task]}")

    def judge_start(self, server: PlatformServer, run: Run) -> None:
        task = run.task
        record = self.orders.get(task.job_id)
        if record is None or record.order.specification != run.specification:
            self.violations.append(f"UNASKED: {task}")
            return
        step = record.order.steps[task.step]
        self.judge_room(server, record, step, task)
        for name, number in self.live.get(task, []):
            if self.hall.servers[name].up:
                self.violations.append(f"TWICE: {task} {run.run}, {number} on {name}")
        if task in self.done:
            self.violations.append(f"TWICE: {task} {run.run} is done")
        self.starts.setdefault(task, []).append(self.now)
        if task in self.failed:
            self.judge_budget(task)
        for before in step.after:
            for index in range(record.order.steps[before].count):
                needed = TaskId(task.job_id, task.occurrence, before, index)
                if needed not in self.ended_done:
                    self.violations.append(f"ORDER: {task} before {needed}")
        self.judge_due(record, task)
        if run.checkpoint and not run.checkpoint.startswith(
            f"{task.job_id}.{task.step}:"
        ):
            self.violations.append(f"UNASKED: {task} from {run.checkpoint}")
        cancelled = self.cancelled_at.get(task.job_id)
        if cancelled is not None and self.now > cancelled + CANCEL_SECONDS:
            if self.is_in_touch() and run.run == self.find_run(task):
                self.violations.append(f"UNASKED: {task} after its cancelling")
        self.live.setdefault(task, []).append((server.name, run.run))

    def judge_due(self, record: JobRecord, task: TaskId) -> None:
        """Check that no occurrence starts before it is due."""
        order = record.order
        due = order.first_run_unix_seconds + task.occurrence * order.interval_seconds
        if order.repetitions and self.now < due - EARLY_SECONDS:
            self.violations.append(f"ORDER: {task} at {self.now}, due at {due}")
        if task.occurrence >= count_occurrences(record):
            self.violations.append(f"UNASKED: {task} is beyond the schedule")

    def list_failed(self, task: TaskId) -> dict[int, float]:
        """Return the failed runs of a task or its gang that were taken note of."""
        step = self.orders[task.job_id].order.steps[task.step]
        if not step.gang:
            return self.failed.get(task, {})
        runs: dict[int, float] = {}
        for index in range(step.count):
            member = TaskId(task.job_id, task.occurrence, task.step, index)
            runs |= self.failed.get(member, {})
        return runs

    def judge_room(
        self, server: PlatformServer, record: JobRecord, step: StepOrder, task: TaskId
    ) -> None:
        used = [
            self.orders[item.task.job_id].order.steps[item.task.step].shape
            for item in server.runs.values()
        ] + [step.shape]
        if sum(shape.accelerators for shape in used) > server.capacity.accelerators:
            self.violations.append(f"LIMIT: {task} on {server.name}")

    def judge_end(self, server: PlatformServer, run: Run, kind: EndKind | None) -> None:
        self.live[run.task].remove((server.name, run.run))
        if kind is EndKind.DONE:
            self.ended_done.add(run.task)
            place = (server.name, server.instance, server.lapses, server.last_end)
            self.end_places[run.task] = place
        if kind is EndKind.FAILED:
            place = (server.name, server.instance, server.lapses, server.last_end)
            self.fail_places[run.task, run.run] = (*place, self.now)
        if kind is EndKind.ALONE and not self.disturbed:
            self.violations.append(f"GANG: {run.task} {run.run} ended alone")

    def judge_finish(self) -> None:
        """Check that every job has ended as it must, once the world is calm."""
        for job_id, record in self.orders.items():
            phase = self.find_phase(job_id)
            allowed = {JobPhase.COMPLETED}
            if any(step.long_running for step in record.order.steps):
                allowed = {JobPhase.RUNNING}
                self.judge_lasting(record)
            if job_id in self.cancelled_at:
                allowed |= {JobPhase.CANCELLED, JobPhase.FAILED}
            # A failed run may count though its server died before it was told
            # that the end is recorded.
            if self.may_have_failed(job_id, record):
                allowed.add(JobPhase.FAILED)
            if phase not in allowed:
                self.violations.append(f"LOST: {job_id} is {phase}")
            if phase is JobPhase.COMPLETED:
                self.judge_completed(job_id, record)

    def may_have_failed(self, job_id: str, record: JobRecord) -> bool:
        """Tell whether some unit of a job failed as often as its queue allows."""
        runs: dict[tuple[int, int, int], set[int]] = {}
        for task, run in self.fail_places:
            if task.job_id != job_id:
                continue
            step = record.order.steps[task.step]
            if not step.long_running:
                key = (task.occurrence, task.step, -1 if step.gang else task.index)
                runs.setdefault(key, set()).add(run)
        return any(len(item) >= record.attempt_limit for item in runs.values())

    def judge_completed(self, job_id: str, record: JobRecord) -> None:
        for occurrence in range(count_occurrences(record)):
            for number, step in enumerate(record.order.steps):
                for index in range(step.count):
                    task = TaskId(job_id, occurrence, number, index)
                    if task not in self.ended_done:
                        self.violations.append(f"MIXED: {task} has not ended")

    def judge_lasting(self, record: JobRecord) -> None:
        """Check that every task that lasts is running."""
        if record.job_id in self.cancelled_at:
            return
        for number, step in enumerate(record.order.steps):
            for index in range(step.count):
                task = TaskId(record.job_id, 0, number, index)
                if step.long_running and not self.live.get(task):
                    self.violations.append(f"LOST: {task} does not run")
