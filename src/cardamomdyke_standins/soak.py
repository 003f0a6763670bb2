"""Fault soak of daemons on the played platform, as separate processes.

Several series of faults overlap while callers send jobs; the runs are judged by what
callers and backend servers saw. The seed fixes load and faults, not the timing.
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
    DOMAINS,
    KEY,
    PLATFORM,
    PREFIX,
    ROUTE_HOST,
    Nodes,
    run_nodes,
)
from cardamomdyke_standins.platform_server import StepPlan, encode_plan
from cardamomdyke_standins.relay import Conditions, Cut
from cardamomdyke_standins.run_history import CallerJob, RunEvent, check_runs
from cardamomdyke_standins.seeds import play_seeds

VMS = 3
SERVERS = 6
CAPACITY = 8
CALLERS = 5
# Series of faults that go on beside each other.
SERIES = 3
# Callers' deadline for one call, as on the users' sites.
CALL_SECONDS = 3.0
ATTEMPTS = 5
POLL_SECONDS = 0.3
CANCELLED_SHARE = 0.15
# From SIGTERM to SIGKILL, as the platform does it.
GRACE_SECONDS = 6.0
# After the last fault leases of lost servers lapse (10 s), paused planners are
# replaced, and the remaining work is done one job after the other.
SETTLE_SECONDS = 90.0


@dataclass
class Soak:
    """One soak of one deployment.

    Attributes
    ----------
    nodes : Nodes
        The processes.
    random : Random
        Source of all choices.
    client : CurlAsyncHTTPClient
        The callers' connections, which stay open between calls.
    jobs : dict of str to CallerJob
        Everything that was sent, by id.
    faults : list of str
        Faults in order, for the report.
    cuts : set of Cut
        Cuts at present.
    stopping : bool
        True once no new job is sent and no new fault is made.
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
        """Send one call to some VM; return its status, or 0 without an answer."""
        vm = self.random.choice(list(self.nodes.callers))
        call = HttpCall(
            method,
            f"http://{self.nodes.callers[vm]}{PREFIX}{job_id}",
            {"Host": ROUTE_HOST, "Api-Key": KEY},
            body,
            CALL_SECONDS,
        )
        result = await send_call(self.client, call)
        if result.is_error():
            return 0
        if method == "GET" and result.ok.code == 200:
            self.jobs[job_id].last_state = decode(result.ok.body)["state"]
        return result.ok.code

    async def send_jobs(self) -> None:
        """Send one job after the other, and follow each to its end."""
        while not self.stopping:
            await self.send_job()
            await asyncio.sleep(self.random.uniform(0.0, 0.5))

    async def send_job(self) -> None:
        """Send one job, as often as its answers ask for it."""
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
        while not job.accepted and len(job.codes) < ATTEMPTS:
            job.codes.append(await self.call("POST", job_id, body))
            await asyncio.sleep(0.0 if job.accepted else POLL_SECONDS)
        if not job.accepted:
            return
        if self.random.random() < CANCELLED_SHARE:
            await asyncio.sleep(self.random.uniform(0.0, 2.0))
            job.cancellation_sent = True
            await self.call("DELETE", job_id)

    # Faults.

    async def make_faults(self) -> None:
        """Make one fault after the other."""
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
        """Return some VM."""
        return self.random.choice(list(self.nodes.callers))

    async def pause(self, shortest: float, longest: float) -> None:
        """Let a fault last for some time."""
        await asyncio.sleep(self.random.uniform(shortest, longest))

    async def restart_vm(self, vm: str) -> None:
        """Start a VM's daemon again once its process has gone."""
        process = self.nodes.deployment.processes[vm]
        until = time.monotonic() + GRACE_SECONDS
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
        """Kill all daemons at the same moment."""
        for vm in self.nodes.callers:
            self.nodes.deployment.processes[vm].kill()
        await asyncio.gather(*map(self.restart_vm, self.nodes.callers))

    async def pause_vm(self) -> None:
        """Let one daemon stand still."""
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
        """Cut a VM off from something for some time."""
        self.cuts.add(cut)
        self.nodes.set_conditions(
            Conditions(tuple(self.cuts), answers_cut=answers_only)
        )
        await self.pause(0.5, 5.0)
        self.cuts.discard(cut)
        self.nodes.set_conditions(Conditions(tuple(self.cuts)))

    async def cut_store(self) -> None:
        """Cut one VM off from the store, both ways or one."""
        cut = Cut(self.choose_vm(), PLATFORM)
        await self.hold_cut(cut, self.random.random() < 0.5)

    async def cut_server(self) -> None:
        """Cut one VM off from one backend server, both ways or one."""
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
        """Let the store be down or slow, or lose answers."""
        choices: list[dict[str, object]] = [
            {"down": True},
            {"delay_seconds": 0.3},
            {"lose_answers": 20},
        ]
        set_faults(self.nodes.store, **self.random.choice(choices))
        await self.pause(0.5, 4.0)
        set_faults(self.nodes.store)

    async def upset_server(self) -> None:
        """Let one backend server be down or silent, or lose answers."""
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
        """Let one backend server lose everything and start again."""
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

    # Course.

    async def play(self, seconds: float) -> list[Violation]:
        """Make faults under load for some time, then judge once all is calm."""
        work = [self.send_jobs() for _ in range(CALLERS)]
        work += [self.make_faults() for _ in range(SERIES)]
        tasks = [asyncio.ensure_future(item) for item in work]
        await asyncio.sleep(seconds)
        self.stopping = True
        await asyncio.gather(*tasks)
        await self.settle()
        found = send_http("GET", f"http://{self.nodes.store}/events")
        events = decode(found, type=list[RunEvent])
        return check_runs(events, self.jobs, CAPACITY)

    async def settle(self) -> None:
        """Wait until every accepted job has ended."""
        until = time.monotonic() + SETTLE_SECONDS
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
            await asyncio.sleep(POLL_SECONDS)


@dataclass(frozen=True, slots=True)
class SoakResult:
    """What one seed showed.

    Attributes
    ----------
    seed : int
        Seed of all choices.
    faults : tuple of str
        Faults, in the order in which they began.
    sent, accepted : int
        Jobs that callers sent, and those that were accepted.
    violations : tuple of Violation
        Breaks of what must always hold.
    """

    seed: int
    faults: tuple[str, ...]
    sent: int
    accepted: int
    violations: tuple[Violation, ...]


def soak_seed(seed: int, directory: Path, seconds: float) -> SoakResult:
    """Soak one new deployment.

    Parameters
    ----------
    seed : int
        Seed of all choices.
    directory : Path
        Where the processes' logs go.
    seconds : float
        How long faults are made.

    Returns
    -------
    SoakResult
        Faults and violations.
    """
    with run_nodes(directory, VMS, SERVERS) as nodes:

        async def play() -> SoakResult:
            soak = Soak(nodes, random.Random(seed), make_http_client())
            violations = await soak.play(seconds)
            accepted = sum(job.accepted for job in soak.jobs.values())
            return SoakResult(
                seed,
                tuple(soak.faults),
                len(soak.jobs),
                accepted,
                tuple(violations),
            )

        return asyncio.run(play())


def main(first: int = 1, count: int = 5, seconds: float = 20.0) -> None:
    """Soak seeds one after another; exit code 1 when one shows a violation.

    Parameters
    ----------
    first : int
        First seed.
    count : int
        Number of seeds.
    seconds : float
        How long faults are made with each seed.
    """
    play_seeds("soak", first, count, lambda seed, at: soak_seed(seed, at, seconds))


if __name__ == "__main__":
    Fire(main)
