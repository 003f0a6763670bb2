"""Callers and operators of a deployment, with a recorded history."""

import asyncio
import random
import time
from dataclasses import dataclass, field
from typing import Any

from msgspec.json import decode, encode

from cardamomdyke.adapters.http import (
    HttpCall,
    TransportFaultKind,
    make_http_client,
    send_call,
)
from cardamomdyke_standins.deployment import Deployment
from cardamomdyke_standins.history import (
    Attempt,
    OutPeriod,
    ServerEvent,
    VersionSample,
    Violation,
    find_double_runs,
    find_false_refusals,
    find_late_starts,
    find_partial_gangs,
    find_version_regressions,
    find_wrong_answers,
)

ATTEMPTS_PER_KEY = 3
KEYED_SHARE = 0.5
HEALTH_PERIOD_SECONDS = 0.25


@dataclass
class Recorder:
    """Sends load to a deployment and records the results.

    Attributes
    ----------
    deployment : Deployment
        The processes.
    seed : int
        Seed of the random choices.
    attempts : list of Attempt
        Attempts of short requests.
    periods : list of OutPeriod
        Times during which a failure domain was out of service.
    samples : list of VersionSample
        Configuration versions that the VMs reported.
    gang_sizes : dict of str to int
        Number of members by job id.
    unhealthy : set of str
        VMs whose health check failed; like a load balancer, callers avoid them.
    killed_events : list of ServerEvent
        Events of backend servers that were killed.
    """

    deployment: Deployment
    seed: int
    attempts: list[Attempt] = field(default_factory=list)
    periods: list[OutPeriod] = field(default_factory=list)
    samples: list[VersionSample] = field(default_factory=list)
    gang_sizes: dict[str, int] = field(default_factory=dict)
    unhealthy: set[str] = field(default_factory=set)
    killed_events: list[ServerEvent] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.random = random.Random(self.seed)
        self.http = make_http_client()
        self.stopping = False
        self.request_count = 0

    async def send_until_stopped(self, pause_seconds: float) -> None:
        """Send short requests one after another."""
        while not self.stopping:
            await self.send_logical_request()
            await asyncio.sleep(self.random.uniform(0, pause_seconds))

    async def send_logical_request(self) -> None:
        """Send one request; with a key, up to `ATTEMPTS_PER_KEY` times."""
        self.request_count += 1
        marker = f"s{self.seed}n{self.request_count}"
        routes = self.deployment.example["tables"]["routes"]
        route = self.random.choice(routes)
        keyed = self.random.random() < KEYED_SHARE
        headers = {
            "Client-Account": route["client_account"],
            "Deadline-Seconds": "4",
        }
        if keyed:
            headers["Idempotency-Key"] = marker
        for _ in range(ATTEMPTS_PER_KEY if keyed else 1):
            vm = self.choose_vm()
            outcome = await self.send_attempt(vm, route["service"], headers, marker)
            if outcome == "finished":
                return

    def choose_vm(self) -> dict[str, str]:
        """Choose a healthy VM, or any if there is none."""
        vms: list[dict[str, str]] = self.deployment.example["vms"]
        healthy = [vm for vm in vms if vm["vm"] not in self.unhealthy]
        return self.random.choice(healthy or vms)

    async def watch_health_until_stopped(self) -> None:
        """Check the health of all VMs periodically."""
        while not self.stopping:
            await asyncio.gather(
                *(self.check_health(vm) for vm in self.deployment.example["vms"])
            )
            await asyncio.sleep(HEALTH_PERIOD_SECONDS)

    async def check_health(self, vm: dict[str, str]) -> None:
        """Check and record the health of one VM."""
        url = f"http://{vm['caller_address']}/healthz"
        result = await send_call(self.http, HttpCall("GET", url, timeout_seconds=1.0))
        if result.is_ok() and result.ok.code == 200:
            self.unhealthy.discard(vm["vm"])
        else:
            self.unhealthy.add(vm["vm"])

    async def send_attempt(
        self, vm: dict[str, str], service: str, headers: dict[str, str], marker: str
    ) -> str:
        """Send one call, record it and return its outcome."""
        sleep = self.random.choice((0.0, 0.01, 0.2))
        # Attempts with the same key must have equal bodies.
        if "Idempotency-Key" in headers:
            sleep = 0.02
        call = HttpCall(
            "POST",
            f"http://{vm['caller_address']}/v1/services/{service}/requests",
            headers=headers,
            body=f"sleep={sleep} marker={marker} end".encode(),
            timeout_seconds=8.0,
            fresh_connection=True,
        )
        sent_at = time.monotonic()
        result = await send_call(self.http, call)
        outcome, body = "lost", b""
        if result.is_error() and result.error.kind is TransportFaultKind.NOT_SENT:
            outcome = "refused"
        if result.is_ok():
            outcome = result.ok.headers.get("Outcome", "lost")
            body = result.ok.body
        self.attempts.append(Attempt(marker, outcome, body, sent_at, time.monotonic()))
        return outcome

    async def submit_gangs_until_stopped(self, pause_seconds: float) -> None:
        """Submit gangs one after another."""
        while not self.stopping:
            await self.submit_gang(self.random.choice((2, 4, 8)))
            await asyncio.sleep(self.random.uniform(0, pause_seconds))

    async def submit_gang(self, size: int) -> str:
        """Submit one gang; return its job id, empty unless accepted."""
        route = self.random.choice(self.deployment.example["tables"]["routes"])
        vm = self.choose_vm()
        run_seconds = self.random.choice((0.5, 3.0))
        job = {
            "client_account": route["client_account"],
            "service": route["service"],
            "gang_size": size,
            "run_seconds": run_seconds,
            "payload": f"sleep={run_seconds}",
        }
        reply = await self.call_vm(vm, "POST", "/v1/jobs", job)
        if reply is None or "job_id" not in reply:
            return ""
        job_id: str = reply["job_id"]
        self.gang_sizes[job_id] = size
        return job_id

    async def call_vm(
        self, vm: dict[str, str], method: str, path: str, body: Any = None
    ) -> Any:
        """Call a VM and return the JSON reply, or None."""
        call = HttpCall(
            method,
            f"http://{vm['caller_address']}{path}",
            body=encode(body) if body is not None or method == "POST" else None,
            timeout_seconds=15.0,
        )
        result = await send_call(self.http, call)
        if result.is_error() or not result.ok.body:
            return None
        return decode(result.ok.body)

    async def sample_versions_until_stopped(self) -> None:
        """Record the configuration version of each VM every 0.5 s."""
        while not self.stopping:
            for vm in self.deployment.example["vms"]:
                await self.sample_version(vm)
            await asyncio.sleep(0.5)

    async def sample_version(self, vm: dict[str, str]) -> None:
        """Record the configuration version of one VM."""
        process = self.deployment.processes.get(vm["vm"])
        call = HttpCall(
            "GET", f"http://{vm['caller_address']}/v1/status", timeout_seconds=1.0
        )
        result = await send_call(self.http, call)
        if process is None or result.is_error() or result.ok.code != 200:
            return
        version = decode(result.ok.body)["version"]
        name = f"{vm['vm']}:{process.pid}"
        self.samples.append(VersionSample(name, time.monotonic(), version))

    async def order_domain(self, domain: str, action: str, vm: dict[str, str]) -> Any:
        """Take a failure domain out or back; return the reply."""
        sent_at = time.monotonic()
        reply = await self.call_vm(vm, "POST", f"/v1/domains/{domain}/{action}")
        if action == "in":
            # The order can take effect from its sending, even without a reply.
            self.periods = [
                OutPeriod(p.failure_domain, p.accepted_at, min(p.returned_at, sent_at))
                if p.failure_domain == domain
                else p
                for p in self.periods
            ]
        elif reply is not None and "version" in reply:
            self.periods.append(OutPeriod(domain, time.monotonic()))
        return reply

    async def read_events(self) -> list[ServerEvent]:
        """Return the events of all backend servers."""
        events = list(self.killed_events)
        for pool in self.deployment.example["tables"]["pools"]:
            for server in pool["servers"]:
                events.extend(
                    await self.read_server(server["name"], pool["failure_domain"])
                )
        return events

    async def read_server(self, server: str, domain: str) -> list[ServerEvent]:
        """Return the events of one backend server; empty without an answer."""
        address = self.deployment.find_standin_address(server)
        call = HttpCall("GET", f"http://{address}/v1/events")
        result = await send_call(self.http, call)
        if result.is_error():
            return []
        return [
            ServerEvent(at, kind, subject, member, domain)
            for at, kind, subject, member in decode(result.ok.body)
        ]

    async def kill_server(self, server: str, domain: str) -> None:
        """Kill a backend server; keep its events and end its members."""
        events = await self.read_server(server, domain)
        self.deployment.processes[server].kill()
        self.deployment.processes[server].wait()
        killed_at = time.monotonic()
        running: set[tuple[str, int]] = set()
        for event in events:
            member = (event.subject, event.member)
            if event.kind == "start":
                running.add(member)
            else:
                running.discard(member)
        self.killed_events += events
        self.killed_events += [
            ServerEvent(killed_at, "stopped", subject, member, domain)
            for subject, member in running
        ]

    async def check_history(self) -> list[Violation]:
        """Run all checks on the recorded history."""
        events = await self.read_events()
        return [
            *find_double_runs(self.attempts, events),
            *find_false_refusals(self.attempts, events),
            *find_wrong_answers(self.attempts),
            *find_late_starts(self.periods, events),
            *find_partial_gangs(events, self.gang_sizes),
            *find_version_regressions(self.samples),
        ]
