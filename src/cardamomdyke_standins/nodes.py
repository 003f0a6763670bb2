"""Runs daemons on the stand-in platform, on loopback sockets."""

import signal
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any
from urllib.error import HTTPError

from msgspec.json import decode, encode

from cardamomdyke_standins.deployment import (
    Deployment,
    release_ports,
    reserve_ports,
    send_http,
    try_http,
    wait_until,
)
from cardamomdyke_standins.platform_store import APPEND_BYTES, RECORD_BYTES
from cardamomdyke_standins.relay import Conditions, Cut, Link, Plan

PLATFORM_HOST = "127.0.0.1"
PLATFORM = "platform"
API_KEY = "key-of-the-desk"
OTHER_KEY = "key-of-the-union"
PATH_PREFIX = "/orders/"
ROUTE_HOST = "desk.example"
PEER_PORTS = 2
RESERVED_PORTS = 100
DOMAINS = ("gent", "kortrijk")
BOUNDS = {
    "hold_max_ms": 10_000,
    "stop_grace_ms": 400,
    "gang_wait_ms": 3_000,
    "grace_period_s": 6.0,
    "status_s": 120,
    "early_ms": 250,
    "remote_factor": 3,
    "checkpoint_interval_s": 2,
    "restore_ms": 100,
    "reclaim_ms": 2_900,
}
TABLES: dict[str, Any] = {
    "version": 7,
    "routes": [
        {
            "name": "orders",
            "host": ROUTE_HOST,
            "path_prefix": PATH_PREFIX,
            "service": "order-desk",
            "priority": 1,
            "max_attempts": 2,
            "stretch": 3.0,
            "target_duration_ms": 1000,
        }
    ],
    "services": [{"name": "order-desk", "enforces_capacity": False}],
    "tenants": [
        {"name": "koffie-invoer", "api_keys": [API_KEY]},
        {"name": "graan-unie", "api_keys": [OTHER_KEY]},
    ],
    "limits": {"max_body_bytes": 262_144},
}


@dataclass
class Nodes:
    """A stand-in platform and the daemons of several VMs.

    Attributes
    ----------
    directory : Path
        Directory for settings and logs.
    store : str
        ``host:port`` of the store.
    relay : Plan
        Relay through which the daemons reach the store.
    servers : dict of str to str
        ``host:port`` of each backend server, by name.
    callers : dict of str to str
        ``host:port`` for callers of each VM, by name.
    readiness : dict of str to str
        ``host:port`` of the readiness check of each VM, by name.
    metrics : dict of str to str
        ``host:port`` of the metrics of each VM, by name.
    advertised : dict of str to str
        ``host:port`` of the relay in front of each backend server, by name.
    record_bytes : int
        Largest record of the store.
    append_bytes : int
        Largest append of the store.
    vm_limits : dict
        Limits of each VM in its settings file; none by default.
    request_limits : dict
        Limits of requests in the configuration.
    """

    directory: Path
    store: str
    relay: Plan
    servers: dict[str, str]
    callers: dict[str, str]
    readiness: dict[str, str]
    metrics: dict[str, str]
    advertised: dict[str, str]
    record_bytes: int = RECORD_BYTES
    append_bytes: int = APPEND_BYTES
    vm_limits: dict[str, float] = field(default_factory=dict)
    request_limits: dict[str, int] = field(default_factory=dict)
    deployment: Deployment = field(init=False)

    def __post_init__(self) -> None:
        command = [sys.executable, "-m", "cardamomdyke"]
        self.deployment = Deployment(self.directory, {"vms": []}, command)

    def start_platform(self) -> None:
        """Start the relay, the store and the backend servers."""
        path = self.directory / "relay.json"
        path.write_bytes(encode(self.relay))
        self.deployment.start_standin("relay", "relay", plan=path)
        plan = self.directory / "plan.json"
        content = {
            "store": self.store,
            "servers": self.servers,
            "tables": {
                **TABLES,
                "limits": {**TABLES["limits"], **self.request_limits},
            },
            "advertised": self.advertised,
            "failure_domains": list(DOMAINS),
            "record_bytes": self.record_bytes,
            "append_bytes": self.append_bytes,
        }
        plan.write_bytes(encode(content))
        self.deployment.start_standin("platform", "platform", plan=plan)
        url = f"http://{self.store}/log-newest?topic=keyed.op&part=0"
        wait_until(lambda: try_http("GET", url) is not None)

    def start_node(self, vm: str) -> None:
        """Start the daemon of one VM."""
        number = list(self.callers).index(vm)
        first = int(self.store.rpartition(":")[2]) + RESERVED_PORTS // 2
        first_peer = first + number * PEER_PORTS
        settings = {
            "node_name": vm,
            "ip_address": self.callers[vm].rpartition(":")[0],
            "zone": DOMAINS[number % len(DOMAINS)],
            "zones": dict.fromkeys(DOMAINS, "vlaanderen"),
            "listen_addresses": {
                "frontend_addr": self.callers[vm],
                "readiness_addr": self.readiness[vm],
            },
            "internal_port_range": [first_peer, first_peer + PEER_PORTS - 1],
            "bounds": BOUNDS,
            "platform": {
                "address": self.relay.links[0].listen,
                "record_bytes": self.record_bytes,
                "request_bytes": self.append_bytes,
                "min_ttl_ms": 1000,
            },
            "limits": self.vm_limits,
        }
        path = self.directory / f"{vm}.json"
        path.write_bytes(encode(settings))
        metrics_port = self.metrics[vm].rpartition(":")[2]
        command = [*self.deployment.daemon_command, "node", f"--config={path}"]
        command.append(f"--metrics-port={metrics_port}")
        self.deployment.start_process(vm, command)

    def set_conditions(self, conditions: Conditions) -> None:
        """Replace the network conditions."""
        url = f"http://{self.relay.control}/conditions"
        send_http("PUT", url, encode(conditions))

    def cut_store(self, *vms: str) -> None:
        """Cut these VMs, and no others, off from the store."""
        self.set_conditions(Conditions(tuple(Cut(vm, PLATFORM) for vm in vms)))

    def check_ready(self, vm: str) -> bool:
        """Return True when the readiness check of a VM succeeds."""
        return try_http("GET", f"http://{self.readiness[vm]}/readiness") is not None

    def call(
        self,
        vm: str,
        method: str,
        path: str,
        body: bytes | None = None,
        key: str = API_KEY,
        host: str = ROUTE_HOST,
    ) -> tuple[int, Any]:
        """Send one request, without API key if empty; return status and JSON."""
        headers = {"Host": host, "Api-Key": key}
        if not key:
            del headers["Api-Key"]
        url = f"http://{self.callers[vm]}{path}"
        try:
            return 200, decode(send_http(method, url, body, headers) or b"null")
        except HTTPError as error:
            return error.code, decode(error.read() or b"null")

    def read_state(self, vm: str, job_id: str) -> str:
        """Return the state of a job; empty unless the VM answers 200."""
        code, answer = self.call(vm, "GET", PATH_PREFIX + job_id)
        return str(answer["state"]) if code == 200 else ""

    def find_planner(self) -> str:
        """Return the VM that last logged ``planner.took_over``, or empty."""
        newest = (0.0, "")
        for vm in self.callers:
            for line in self.read_log(vm):
                if line["message_type"] == "planner.took_over":
                    newest = max(newest, (line["timestamp"], vm))
        return newest[1]

    def read_log(self, vm: str) -> list[dict[str, Any]]:
        """Return the JSON log lines of a VM."""
        path = self.directory / f"{vm}.log"
        lines = path.read_bytes().splitlines() if path.exists() else []
        return [decode(line) for line in lines if line.startswith(b"{")]

    def stop(self) -> None:
        """Kill all processes, suspended ones included."""
        for process in self.deployment.processes.values():
            process.send_signal(signal.SIGCONT)
            process.kill()
            process.wait()
        self.deployment.processes.clear()


@contextmanager
def run_nodes(
    directory: Path,
    vms: int = 3,
    servers: int = 3,
    record_bytes: int = RECORD_BYTES,
    append_bytes: int = APPEND_BYTES,
    vm_limits: dict[str, float] | None = None,
    request_limits: dict[str, int] | None = None,
) -> Iterator[Nodes]:
    """Run a stand-in platform and daemons during a ``with`` block.

    Parameters
    ----------
    directory : Path
        Directory for settings and logs.
    vms : int
        Number of daemons.
    servers : int
        Number of backend servers.
    record_bytes : int
        Largest record of the store.
    append_bytes : int
        Largest append of the store.
    vm_limits : dict, optional
        Limits of each VM in its settings file.
    request_limits : dict, optional
        Limits of requests in the configuration, where they differ.

    Yields
    ------
    Nodes
        All daemons are ready and one of them is the planner.
    """
    first = reserve_ports(RESERVED_PORTS)
    ports = iter(range(first, first + RESERVED_PORTS))
    names = [f"vm{number}" for number in range(vms)]
    hosts = {name: f"127.0.1.{number + 1}" for number, name in enumerate(names)}
    store = f"{PLATFORM_HOST}:{next(ports)}"
    servers_by_name = {
        f"s{i}": f"{PLATFORM_HOST}:{next(ports)}" for i in range(servers)
    }
    links = [Link(f"{PLATFORM_HOST}:{next(ports)}", store, PLATFORM)]
    links += [
        Link(f"{PLATFORM_HOST}:{next(ports)}", address, name)
        for name, address in servers_by_name.items()
    ]
    sources = {host: name for name, host in hosts.items()}
    nodes = Nodes(
        directory,
        store,
        Plan(f"{PLATFORM_HOST}:{next(ports)}", tuple(links), sources),
        servers_by_name,
        {name: f"{hosts[name]}:{next(ports)}" for name in names},
        {name: f"{hosts[name]}:{next(ports)}" for name in names},
        {name: f"{hosts[name]}:{next(ports)}" for name in names},
        {link.place: link.listen for link in links[1:]},
        record_bytes,
        append_bytes,
        vm_limits or {},
        request_limits or {},
    )
    try:
        nodes.start_platform()
        for vm in nodes.callers:
            nodes.start_node(vm)
        for vm in nodes.callers:
            wait_until(lambda vm=vm: nodes.check_ready(vm))  # type: ignore[misc]
        wait_until(lambda: bool(nodes.find_planner()))
        yield nodes
    finally:
        nodes.stop()
        release_ports({"store": nodes.store})
