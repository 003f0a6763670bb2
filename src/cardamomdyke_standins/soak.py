"""Soak test of daemons on the stand-in platform, with overlapping faults.

The runs are checked against the callers' jobs. The seed determines load and faults, not
the timing.
"""

import asyncio
import random
import signal
import time
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path

from fire import Fire
from msgspec.json import decode, encode
from tornado.curl_httpclient import CurlAsyncHTTPClient

from cardamomdyke.adapters.http import HttpCall, make_http_client, send_call
from cardamomdyke_standins.deployment import send_http, set_faults
from cardamomdyke_standins.history import Violation
from cardamomdyke_standins.nodes import (
    API_KEY,
    DOMAINS,
    PATH_PREFIX,
    PLATFORM,
    ROUTE_HOST,
    Nodes,
    run_nodes,
)
from cardamomdyke_standins.platform_server import StepPlan, encode_plan
from cardamomdyke_standins.relay import Conditions, Cut
from cardamomdyke_standins.run_history import CallerJob, RunEvent, check_runs
from cardamomdyke_standins.seeds import run_seeds

VMS = 3
SERVERS = 6
CAPACITY = 8
CALLERS = 5
# Number of concurrent series of faults.
FAULT_SERIES = 3
# The deadline that the users' callers have for one call.
CALL_TIMEOUT_SECONDS = 3.0
MAX_ATTEMPTS = 5
POLL_PERIOD_SECONDS = 0.3
CANCELLED_SHARE = 0.15
# Time from SIGTERM to SIGKILL on the platform.
TERMINATION_GRACE_SECONDS = 6.0
# After the last fault leases of lost servers expire (10 s), paused planners are
# replaced, and the remaining jobs run one after another.
SETTLE_TIMEOUT_SECONDS = 90.0


@dataclass
class Soak:
    """One soak test of one deployment.

    Attributes
    ----------
    nodes : Nodes
        The processes.
    random : Random
        Source of the random choices.
    client : CurlAsyncHTTPClient
        The callers' HTTP client, with persistent connections.
    jobs : dict of str to CallerJob
        Jobs that were sent, by id.
    faults : list of str
        Names of the faults, in order, for the result.
    cuts : set of Cut
        Current cuts.
    stopping : bool
        True once no more jobs and faults are started.
    """

    nodes: Nodes
    random: random.Random
    client: CurlAsyncHTTPClient
    jobs: dict[str, CallerJob] = field(default_factory=dict)
    faults: list[str] = field(default_factory=list)
    cuts: set[Cut] = field(default_factory=set)
    stopping: bool = False

    # Callers.

    async def call(self, method: str, job_id: str, body: bytes | None = None) -> int:
        """Call a random VM; return the status, 0 without an answer."""
        vm = self.random.choice(list(self.nodes.callers))
        call = HttpCall(
            method,
            f"http://{self.nodes.callers[vm]}{PATH_PREFIX}{job_id}",
            {"Host": ROUTE_HOST, "Api-Key": API_KEY},
            body,
            CALL_TIMEOUT_SECONDS,
        )
        result = await send_call(self.client, call)
        if result.is_error():
            return 0
        if method == "GET" and result.ok.code == 200:
            self.jobs[job_id].last_state = decode(result.ok.body)["state"]
        return result.ok.code

    async def send_jobs(self) -> None:
        """Send jobs one after another."""
        while not self.stopping:
            await self.send_job()
            await asyncio.sleep(self.random.uniform(0.0, 0.5))

    async def send_job(self) -> None:
        """Send one job, with retries, and cancel some."""
        tasks = self.random.choice([1, 2, 3, 4])
        accelerators = self.random.choice([1, 2, 4, 8])
        gang = self.random.random() < 0.5
        seconds = self.random.choice([0.3, 1.0, 3.0])
        job_id = f"{self.random.getrandbits(64):016x}"
        job = self.jobs[job_id] = CallerJob(job_id, tasks, accelerators)
        step = {"count": tasks, "cpu_millicores": 100, "accelerators": accelerators}
        plan = StepPlan(seconds, tasks, gang, saves=True)
        steps = [{**step, "gang": gang, "checkpointing": True}]
        body = encode({"specification": encode_plan([plan]), "steps": steps})
        while not job.accepted and len(job.codes) < MAX_ATTEMPTS:
            job.codes.append(await self.call("POST", job_id, body))
            await asyncio.sleep(0.0 if job.accepted else POLL_PERIOD_SECONDS)
        if not job.accepted:
            return
        if self.random.random() < CANCELLED_SHARE:
            await asyncio.sleep(self.random.uniform(0.0, 2.0))
            job.cancellation_sent = True
            await self.call("DELETE", job_id)

    # Faults.

    async def make_faults(self) -> None:
        """Make random faults one after another."""
        kinds: list[Callable[[], Awaitable[None]]] = [
            self.kill_vm,
            self.kill_all,
            self.pause_vm,
            self.terminate_vm,
            self.cut_store,
            self.cut_server,
            self.upset_connections,
            self.upset_store,
            self.upset_server,
            self.crash_server,
            self.evacuate,
        ]
        while not self.stopping:
            kind = self.random.choice(kinds)
            self.faults.append(kind.__name__)
            await kind()
            await asyncio.sleep(self.random.uniform(0.1, 1.5))

    def choose_vm(self) -> str:
        """Return a random VM."""
        return self.random.choice(list(self.nodes.callers))

    async def pause(self, shortest: float, longest: float) -> None:
        """Wait for a random time between two bounds, in seconds."""
        await asyncio.sleep(self.random.uniform(shortest, longest))

    async def restart_vm(self, vm: str) -> None:
        """Restart a daemon once its process has ended or used up its grace."""
        process = self.nodes.deployment.processes[vm]
        until = time.monotonic() + TERMINATION_GRACE_SECONDS
        while process.poll() is None:
            if time.monotonic() > until:
                process.kill()
            await asyncio.sleep(0.05)
        if self.nodes.deployment.processes[vm] is process:
            self.nodes.start_node(vm)

    async def kill_vm(self) -> None:
        """Kill one daemon."""
        vm = self.choose_vm()
        self.nodes.deployment.processes[vm].kill()
        await self.pause(0.1, 2.0)
        await self.restart_vm(vm)

    async def kill_all(self) -> None:
        """Kill all daemons at the same time."""
        for vm in self.nodes.callers:
            self.nodes.deployment.processes[vm].kill()
        await asyncio.gather(*map(self.restart_vm, self.nodes.callers))

    async def pause_vm(self) -> None:
        """Suspend one daemon with SIGSTOP."""
        process = self.nodes.deployment.processes[self.choose_vm()]
        process.send_signal(signal.SIGSTOP)
        await self.pause(0.3, 5.0)
        process.send_signal(signal.SIGCONT)

    async def terminate_vm(self) -> None:
        """Stop one daemon gracefully, and start it again."""
        vm = self.choose_vm()
        self.nodes.deployment.processes[vm].send_signal(signal.SIGTERM)
        await self.restart_vm(vm)

    async def hold_cut(self, cut: Cut, answers_only: bool) -> None:
        """Add a cut for some time."""
        self.cuts.add(cut)
        self.nodes.set_conditions(
            Conditions(tuple(self.cuts), answers_cut=answers_only)
        )
        await self.pause(0.5, 5.0)
        self.cuts.discard(cut)
        self.nodes.set_conditions(Conditions(tuple(self.cuts)))

    async def cut_store(self) -> None:
        """Cut one VM off from the store, one or both ways."""
        cut = Cut(self.choose_vm(), PLATFORM)
        await self.hold_cut(cut, self.random.random() < 0.5)

    async def cut_server(self) -> None:
        """Cut one VM off from a backend server, one or both ways."""
        server = self.random.choice(list(self.nodes.servers))
        cut = Cut(self.choose_vm(), server)
        await self.hold_cut(cut, self.random.random() < 0.5)

    async def upset_connections(self) -> None:
        """Reset, silence or delay connections to the platform."""
        reset, silent, delay = self.random.choice(
            [(True, False, 0.0), (False, True, 0.0), (False, False, 0.15)]
        )
        conditions = Conditions(tuple(self.cuts), silent, delay, reset=reset)
        self.nodes.set_conditions(conditions)
        await self.pause(0.5, 3.0)
        self.nodes.set_conditions(Conditions(tuple(self.cuts)))

    async def upset_store(self) -> None:
        """Make the store unavailable, slow, or lose answers."""
        choices: list[dict[str, object]] = [
            {"down": True},
            {"delay_seconds": 0.3},
            {"lose_answers": 20},
        ]
        set_faults(self.nodes.store, **self.random.choice(choices))
        await self.pause(0.5, 4.0)
        set_faults(self.nodes.store)

    async def upset_server(self) -> None:
        """Make a server unavailable, silent, or lose answers."""
        address = self.random.choice(list(self.nodes.servers.values()))
        choices: list[dict[str, object]] = [
            {"down": True},
            {"silent": True},
            {"lose_answers": 5},
        ]
        set_faults(address, **self.random.choice(choices))
        await self.pause(0.5, 4.0)
        set_faults(address)

    async def crash_server(self) -> None:
        """Crash and restart one backend server."""
        address = self.random.choice(list(self.nodes.servers.values()))
        send_http("PUT", f"http://{address}/life", b"false")
        await self.pause(0.1, 3.0)
        send_http("PUT", f"http://{address}/life", b"true")

    async def evacuate(self) -> None:
        """Take a failure domain out of service and back."""
        url = f"http://{self.nodes.store}/operator/evacuate/"
        domain = self.random.choice(DOMAINS)
        send_http("PUT", url + domain, b"{}")
        await self.pause(1.0, 5.0)
        send_http("PUT", url + domain, b"")

    # Phases.

    async def run(self, seconds: float) -> list[Violation]:
        """Send jobs during faults, then check the runs."""
        work = [self.send_jobs() for _ in range(CALLERS)]
        work += [self.make_faults() for _ in range(FAULT_SERIES)]
        tasks = [asyncio.ensure_future(item) for item in work]
        await asyncio.sleep(seconds)
        self.stopping = True
        await asyncio.gather(*tasks)
        await self.wait_for_jobs()
        found = send_http("GET", f"http://{self.nodes.store}/events")
        events = decode(found, type=list[RunEvent])
        return check_runs(events, self.jobs, CAPACITY)

    async def wait_for_jobs(self) -> None:
        """Wait until all accepted jobs have ended, or for the timeout."""
        until = time.monotonic() + SETTLE_TIMEOUT_SECONDS
        final = ("completed", "failed", "cancelled")
        while time.monotonic() < until:
            left = [
                job
                for job in self.jobs.values()
                if job.accepted and job.last_state not in final
            ]
            if not left:
                return
            for job in left:
                with suppress(KeyError):
                    await self.call("GET", job.job_id)
            await asyncio.sleep(POLL_PERIOD_SECONDS)


@dataclass(frozen=True, slots=True)
class SoakResult:
    """Result of one seed.

    Attributes
    ----------
    seed : int
        Seed of the random choices.
    faults : tuple of str
        Names of the faults, in the order of their start.
    sent, accepted : int
        Number of jobs sent, and of those accepted.
    violations : tuple of Violation
        Violated invariants; empty when the seed passed.
    """

    seed: int
    faults: tuple[str, ...]
    sent: int
    accepted: int
    violations: tuple[Violation, ...]


def soak_seed(seed: int, directory: Path, seconds: float) -> SoakResult:
    """Run one seed on a new deployment.

    Parameters
    ----------
    seed : int
        Seed of the random choices.
    directory : Path
        Directory for the processes' logs.
    seconds : float
        Time during which faults are made.

    Returns
    -------
    SoakResult
        Faults, jobs and violations.
    """
    with run_nodes(directory, VMS, SERVERS) as nodes:

        async def run_soak() -> SoakResult:
            soak = Soak(nodes, random.Random(seed), make_http_client())
            violations = await soak.run(seconds)
            accepted = sum(job.accepted for job in soak.jobs.values())
            return SoakResult(
                seed,
                tuple(soak.faults),
                len(soak.jobs),
                accepted,
                tuple(violations),
            )

        return asyncio.run(run_soak())


def main(first: int = 1, count: int = 5, seconds: float = 20.0) -> None:
    """Run seeds one after another; exit code 1 after a violation.

    Parameters
    ----------
    first : int
        First seed.
    count : int
        Number of seeds.
    seconds : float
        Time during which faults are made, for each seed.
    """
    run_seeds("soak", first, count, lambda seed, at: soak_seed(seed, at, seconds))


if __name__ == "__main__":
    Fire(main)
