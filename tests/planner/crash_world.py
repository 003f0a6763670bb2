"""Simulation in which tasks crash the backend servers that start them."""

from collections.abc import Callable
from dataclasses import dataclass, field, replace

from cardamomdyke.jobs.records import JobPhase, JobRecord
from cardamomdyke.model.orders import TaskId
from cardamomdyke.model.servers import CallFault, EndKind, RefusalKind
from cardamomdyke_standins.platform_server import PlatformServer, Run
from tests.planner.world import TRANSIT_SECONDS, Fault, Planner, World

# After this many crashes a task may be started `LAST_STARTS` times more.
CRASHES_BEFORE_LAST_STARTS = 3
LAST_STARTS = 2
# A task under which this many servers have crashed may be given up.
CRASHES_TO_GIVE_UP = 2
# The store keeps the entry of a server that is gone for this long.
ENTRY_LIFETIME_SECONDS = 1.0


@dataclass
class CrashWorld(World):
    """Simulation with tasks that crash servers.

    A server crashes `crash_delay` after the start, which it still answers.
    `renames_servers` returns a crashed server under a new name at its old address.
    `crashes_under` holds the times of all crashes under a task, whatever their cause.
    """

    crash_delay: float = 0.01
    restart_seconds: float = 3.0
    renames_servers: bool = False
    replaced: set[str] = field(default_factory=set)
    crashes_under: dict[TaskId, list[float]] = field(default_factory=dict)

    def check_start(self, server: PlatformServer, run: Run) -> None:
        super().check_start(server, run)
        crashes = self.crashes_under.get(run.task, [])
        if run.task.index != run.plan.crashing_index:
            return
        if len(crashes) >= CRASHES_BEFORE_LAST_STARTS:
            third = crashes[CRASHES_BEFORE_LAST_STARTS - 1]
            last = [at for at in self.starts[run.task] if at > third]
            if len(last) > LAST_STARTS:
                self.violations.append(f"BUDGET: {run.task} after {crashes}")
        instance = server.instance

        def crash() -> None:
            if server.up and server.instance == instance:
                self.crash_server(server.name)

        self.schedule(self.crash_delay, crash)

    def check_end(self, server: PlatformServer, run: Run, kind: EndKind | None) -> None:
        super().check_end(server, run, kind)
        if kind is None:
            self.crashes_under.setdefault(run.task, []).append(self.now)

    def crash_server(self, name: str) -> None:
        """Crash a server, which returns after `restart_seconds`."""
        server = self.cluster.servers[name]
        server.crash(self.now)
        self.schedule(self.restart_seconds, lambda: self.return_server(server))

    def return_server(self, server: PlatformServer) -> None:
        if server.up:
            return
        if not self.renames_servers:
            server.restart(self.now)
            self.list_server(server.name)
            return
        self.replaced.add(server.name)
        name = f"{server.name}-next"
        self.add_server(name, server.capacity, server.rack)
        address = self.listed[server.name].address
        self.listed[name] = replace(self.listed[name], address=address)
        self.schedule(
            ENTRY_LIFETIME_SECONDS, lambda: self.listed.pop(server.name, None)
        )

    def call(
        self,
        planner: Planner,
        name: str,
        timeout: float,
        execute: Callable[[], object],
        answer: Callable[[object, CallFault | None], None],
        fault: Fault = Fault.NONE,
        delay: float = 0.0,
    ) -> None:
        if name not in self.replaced or name in planner.cut:
            super().call(planner, name, timeout, execute, answer, fault, delay)
            return
        fault = CallFault(True, RefusalKind.OTHER_LIFE, "another server answers")

        def reply() -> None:
            if self.is_running(planner) and self.now >= planner.frozen_until:
                answer(None, fault)

        self.schedule(2 * TRANSIT_SECONDS, reply)

    def check_long_running(self, record: JobRecord) -> None:
        """Check long-running tasks, unless their job may have been given up."""
        given_up = self.find_phase(record.job_id) is JobPhase.FAILED
        if not (given_up and self.may_have_reached_limit(record.job_id, record)):
            super().check_long_running(record)

    def may_have_reached_limit(self, job_id: str, record: JobRecord) -> bool:
        return super().may_have_reached_limit(job_id, record) or any(
            len(crashes) >= CRASHES_TO_GIVE_UP
            for task, crashes in self.crashes_under.items()
            if task.job_id == job_id
        )
