"""Checks the runs of a simulation against the platform's rules."""

from dataclasses import dataclass, field

from cardamomdyke.jobs.records import JobPhase, JobRecord
from cardamomdyke.model.orders import StepOrder, TaskId
from cardamomdyke.model.servers import EndKind
from cardamomdyke.planner.state import count_occurrences
from cardamomdyke_standins.platform_server import Cluster, PlatformServer, Run

# A cancelled job starts nothing later than this.
CANCEL_SECONDS = 3.0
# An occurrence may start this much before its due time.
EARLY_SECONDS = 0.25
# A smaller capacity counts this long after the server's entry shows it.
SHRINK_SECONDS = 3.0
# A lower quota is in force this long after its publication.
CONFIG_APPLY_SECONDS = 2.0


@dataclass
class RuleChecker:
    """Runs that the servers have seen, and violations of the platform's rules.

    `quotas` holds the times and numbers of accelerators by account, 0 for no limit.
    `capacities` holds the times of changes and the accelerators before, by server.
    `done_records` and `failure_records` hold the server, its instance, its number of
    expired leases, and the number of the ended run.
    """

    now: float = 0.0
    cluster: Cluster = field(default_factory=Cluster)
    orders: dict[str, JobRecord] = field(default_factory=dict)
    cancelled_at: dict[str, float] = field(default_factory=dict)
    violations: list[str] = field(default_factory=list)
    active_runs: dict[TaskId, list[tuple[str, int]]] = field(default_factory=dict)
    acknowledged_done: dict[TaskId, int] = field(default_factory=dict)
    acknowledged_failures: dict[TaskId, dict[int, float]] = field(default_factory=dict)
    failure_records: dict[tuple[TaskId, int], tuple[str, int, int, int, float]] = field(
        default_factory=dict
    )
    starts: dict[TaskId, list[float]] = field(default_factory=dict)
    done_records: dict[TaskId, tuple[str, int, int, int]] = field(default_factory=dict)
    completed_tasks: set[TaskId] = field(default_factory=set)
    quotas: dict[str, list[tuple[float, int]]] = field(default_factory=dict)
    capacities: dict[str, list[tuple[float, int]]] = field(default_factory=dict)
    faults_injected: bool = False

    def is_store_reachable(self) -> bool:
        """Return whether the current planner reaches the store."""
        raise NotImplementedError

    def find_run(self, task: TaskId) -> int:
        """Return the highest run number of a task's job that the planner knows."""
        raise NotImplementedError

    def find_phase(self, job_id: str) -> JobPhase | None:
        """Return the phase of a job, as callers read it."""
        raise NotImplementedError

    def record_acknowledged(self, server: PlatformServer, number: int) -> None:
        """Record which ended runs were acknowledged."""
        # An ended run does not count if the lease expired before the acknowledgement.
        if server.read_clock(self.now) >= server.lease_until:
            return
        lease = (server.name, server.instance, server.expired_leases)
        for task, (name, instance, expired_leases, end) in self.done_records.items():
            if (name, instance, expired_leases) == lease and end <= number:
                self.acknowledged_done[task] = end
        for (task, run), (
            name,
            instance,
            expired_leases,
            end,
            at,
        ) in self.failure_records.items():
            if (name, instance, expired_leases) == lease and end <= number:
                self.acknowledged_failures.setdefault(task, {})[run] = at
                self.check_attempt_limit(task)

    def check_attempt_limit(self, task: TaskId) -> None:
        """Check that no run was started after the last allowed attempt failed."""
        record = self.orders[task.job_id]
        limit = record.attempt_limit
        if record.order.steps[task.step].long_running:
            return
        ends = sorted(self.list_acknowledged_failures(task).values())
        if len(ends) >= limit and max(self.starts[task]) > ends[limit - 1]:
            self.violations.append(f"BUDGET: {task} {ends} {self.starts[task]}")

    def check_start(self, server: PlatformServer, run: Run) -> None:
        task = run.task
        record = self.orders.get(task.job_id)
        if record is None or record.order.specification != run.specification:
            self.violations.append(f"UNASKED: {task}")
            return
        step = record.order.steps[task.step]
        self.check_capacity(server, record, step, task)
        self.check_quota(record.account, step, task)
        for name, number in self.active_runs.get(task, []):
            if self.cluster.servers[name].up:
                self.violations.append(f"TWICE: {task} {run.run}, {number} on {name}")
        if task in self.acknowledged_done:
            self.violations.append(f"TWICE: {task} {run.run} is done")
        self.starts.setdefault(task, []).append(self.now)
        if task in self.acknowledged_failures:
            self.check_attempt_limit(task)
        for before in step.after:
            for index in range(record.order.steps[before].count):
                needed = TaskId(task.job_id, task.occurrence, before, index)
                if needed not in self.completed_tasks:
                    self.violations.append(f"ORDER: {task} before {needed}")
        self.check_due(record, task)
        if run.checkpoint and not run.checkpoint.startswith(
            f"{task.job_id}.{task.step}:"
        ):
            self.violations.append(f"UNASKED: {task} from {run.checkpoint}")
        cancelled = self.cancelled_at.get(task.job_id)
        if cancelled is not None and self.now > cancelled + CANCEL_SECONDS:
            if self.is_store_reachable() and run.run == self.find_run(task):
                self.violations.append(f"UNASKED: {task} after its cancellation")
        self.active_runs.setdefault(task, []).append((server.name, run.run))

    def check_due(self, record: JobRecord, task: TaskId) -> None:
        """Check that an occurrence starts neither early nor beyond the schedule."""
        order = record.order
        due = order.first_run_unix_seconds + task.occurrence * order.interval_seconds
        if order.repetitions and self.now < due - EARLY_SECONDS:
            self.violations.append(f"ORDER: {task} at {self.now}, due at {due}")
        if task.occurrence >= count_occurrences(record):
            self.violations.append(f"UNASKED: {task} is beyond the schedule")

    def list_acknowledged_failures(self, task: TaskId) -> dict[int, float]:
        """Return the acknowledged failed runs of a task or of its gang."""
        step = self.orders[task.job_id].order.steps[task.step]
        if not step.gang:
            return self.acknowledged_failures.get(task, {})
        runs: dict[int, float] = {}
        for index in range(step.count):
            member = TaskId(task.job_id, task.occurrence, task.step, index)
            runs |= self.acknowledged_failures.get(member, {})
        return runs

    def check_capacity(
        self, server: PlatformServer, record: JobRecord, step: StepOrder, task: TaskId
    ) -> None:
        used = [
            self.orders[item.task.job_id].order.steps[item.task.step].shape
            for item in server.runs.values()
        ] + [step.shape]
        if sum(shape.accelerators for shape in used) > self.find_capacity(server):
            self.violations.append(f"LIMIT: {task} on {server.name}")

    def find_capacity(self, server: PlatformServer) -> int:
        """Return the most accelerators that a server may be thought to have."""
        history = self.capacities.get(server.name, [])
        recent = [before for at, before in history if at > self.now - SHRINK_SECONDS]
        return max([server.capacity.accelerators, *recent])

    def check_quota(self, account: str, step: StepOrder, task: TaskId) -> None:
        """Check an account's accelerators, what is being stopped included."""
        limit = self.find_highest_quota(account)
        used = step.shape.accelerators + sum(
            self.orders[run.task.job_id].order.steps[run.task.step].shape.accelerators
            for server in self.cluster.servers.values()
            if server.up
            for run in server.runs.values()
            if self.orders[run.task.job_id].account == account
        )
        if limit and step.shape.accelerators and used > limit:
            self.violations.append(f"QUOTA: {task}: {account} uses {used} of {limit}")

    def find_highest_quota(self, account: str) -> int:
        """Return the highest quota that may be in force; 0 for no limit."""
        history = self.quotas.get(account, [(0.0, 0)])
        ended = [at for at, _ in history if at <= self.now - CONFIG_APPLY_SECONDS]
        since = max(ended, default=float("-inf"))
        limits = [limit for at, limit in history if at >= since]
        return 0 if 0 in limits else max(limits)

    def check_end(self, server: PlatformServer, run: Run, kind: EndKind | None) -> None:
        self.active_runs[run.task].remove((server.name, run.run))
        if kind is EndKind.DONE:
            self.completed_tasks.add(run.task)
            end = (server.name, server.instance, server.expired_leases, server.last_end)
            self.done_records[run.task] = end
        if kind is EndKind.FAILED:
            end = (server.name, server.instance, server.expired_leases, server.last_end)
            self.failure_records[run.task, run.run] = (*end, self.now)
        if kind is EndKind.ALONE and not self.faults_injected:
            self.violations.append(f"GANG: {run.task} {run.run} ended alone")

    def check_final_phases(self) -> None:
        """Check that every job has reached an allowed phase, once faults are over."""
        for job_id, record in self.orders.items():
            phase = self.find_phase(job_id)
            allowed = {JobPhase.COMPLETED}
            if any(step.long_running for step in record.order.steps):
                allowed = {JobPhase.RUNNING}
                self.check_long_running(record)
            if job_id in self.cancelled_at:
                allowed |= {JobPhase.CANCELLED, JobPhase.FAILED}
            # A failed run may count even if its server crashed before the
            # acknowledgement.
            if self.may_have_reached_limit(job_id, record):
                allowed.add(JobPhase.FAILED)
            if phase not in allowed:
                self.violations.append(f"LOST: {job_id} is {phase}")
            if phase is JobPhase.COMPLETED:
                self.check_completed(job_id, record)

    def may_have_reached_limit(self, job_id: str, record: JobRecord) -> bool:
        """Return whether some unit of a job reached the attempt limit."""
        runs: dict[tuple[int, int, int], set[int]] = {}
        for task, run in self.failure_records:
            if task.job_id != job_id:
                continue
            step = record.order.steps[task.step]
            if not step.long_running:
                key = (task.occurrence, task.step, -1 if step.gang else task.index)
                runs.setdefault(key, set()).add(run)
        return any(len(item) >= record.attempt_limit for item in runs.values())

    def check_completed(self, job_id: str, record: JobRecord) -> None:
        for occurrence in range(count_occurrences(record)):
            for number, step in enumerate(record.order.steps):
                for index in range(step.count):
                    task = TaskId(job_id, occurrence, number, index)
                    if task not in self.completed_tasks:
                        self.violations.append(f"MIXED: {task} has not ended")

    def check_long_running(self, record: JobRecord) -> None:
        """Check that every long-running task is running."""
        if record.job_id in self.cancelled_at:
            return
        for number, step in enumerate(record.order.steps):
            for index in range(step.count):
                task = TaskId(record.job_id, 0, number, index)
                if step.long_running and not self.active_runs.get(task):
                    self.violations.append(f"LOST: {task} does not run")
