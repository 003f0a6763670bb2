"""Starts and stops an example deployment on loopback sockets."""

import itertools
import os
import random
import re
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any
from urllib.error import URLError
from urllib.request import Request, urlopen

from msgspec.json import decode, encode

from cardamomdyke_standins.faults import Faults
from cardamomdyke_standins.relay import Conditions, Link, Plan

START_TIMEOUT_SECONDS = 60.0
STOP_TIMEOUT_SECONDS = 30.0
ADDRESS_PATTERN = r"127\.0\.\d+\.\d+:\d+"
MIN_PORT = 10_240
MAX_PORT = 32_000
BLOCK_PORTS = 128
# Sockets that reserve blocks of ports, by first port.
PORT_LOCKS: dict[int, socket.socket] = {}
# Above the key retention; younger servers refuse claims.
INITIAL_AGE_SECONDS = 3600.0


@dataclass
class Deployment:
    """Processes of one deployment.

    Attributes
    ----------
    directory : Path
        Directory for the processes' logs.
    example : dict
        Content of the example file.
    daemon_command : list of str
        Command that runs the daemon, without flags.
    processes : dict of str to Popen
        Running processes by name.
    """

    directory: Path
    example: dict[str, Any]
    daemon_command: list[str]
    processes: dict[str, subprocess.Popen[bytes]] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Let the processes import the packages of this tree."""
        os.environ.setdefault("PYTHONPATH", str(Path(__file__).parents[1]))

    def start_process(self, name: str, command: list[str]) -> None:
        """Start one process, with its output in ``NAME.log``."""
        with open(self.directory / f"{name}.log", "ab") as log:
            self.processes[name] = subprocess.Popen(
                command, stdin=subprocess.DEVNULL, stdout=log, stderr=log
            )

    def start_standin(self, kind: str, process: str, **flags: object) -> None:
        """Start one stand-in; ``kind`` is its module."""
        module = f"cardamomdyke_standins.{kind}"
        options = [f"--{flag}={value}" for flag, value in flags.items()]
        self.start_process(process, [sys.executable, "-m", module, *options])

    def start_daemon(self, vm: dict[str, str]) -> None:
        """Start the daemon of one entry VM."""
        flags = {
            **vm,
            "log_url": f"http://{self.example['log_address']}",
            "vmlist_url": f"http://{self.example['vmlist_address']}",
        }
        options = [f"--{flag}={value}" for flag, value in flags.items()]
        self.start_process(vm["vm"], [*self.daemon_command, "daemon", *options])

    def start_all(self) -> None:
        """Start stand-ins and daemons, and put the example's tables into force."""
        self.start_platform()
        for vm in self.example["vms"]:
            self.start_daemon(vm)
        for vm in self.example["vms"]:
            wait_until(lambda vm=vm: self.read_json(vm, "/v1/status") is not None)  # type: ignore[misc]
        first = self.example["vms"][0]
        body = encode({"base_version": 0, "tables": self.example["tables"]})
        send_http("PUT", f"http://{first['caller_address']}/v1/tables", body)
        for vm in self.example["vms"]:
            wait_until(lambda vm=vm: self.check_ready(vm))  # type: ignore[misc]

    def start_platform(self) -> None:
        """Start relay, log, VM list and backend servers."""
        if "relay" in self.example:
            self.start_relay()
        for kind in ("log", "vmlist"):
            address = self.find_listen_address(self.example[f"{kind}_address"])
            host, _, port = address.rpartition(":")
            self.start_standin(kind, kind, host=host, port=port)
        for pool in self.example["tables"]["pools"]:
            for server in pool["servers"]:
                self.start_backend(server, INITIAL_AGE_SECONDS)
        # Edits are refused until the log serves.
        log_host, _, log_port = self.find_standin_address("log").rpartition(":")
        wait_until(lambda: check_port(log_host, int(log_port)))
        address = self.example["vmlist_address"]
        wait_until(lambda: try_http("GET", f"http://{address}/v1/machines") is not None)
        send_http(
            "PUT",
            f"http://{address}/v1/machines",
            encode({"machines": list_machines(self.example)}),
        )

    def start_relay(self) -> None:
        """Start the relay and wait for its control port."""
        plan = self.directory / "relay.json"
        plan.write_bytes(encode(self.example["relay"]))
        self.start_standin("relay", "relay", plan=plan)
        host, _, port = self.example["relay"]["control"].rpartition(":")
        wait_until(lambda: check_port(host, int(port)))

    def set_conditions(self, conditions: Conditions) -> None:
        """Replace the network conditions of the relay."""
        address = self.example["relay"]["control"]
        send_http("PUT", f"http://{address}/conditions", encode(conditions))

    def set_faults(self, process: str, faults: Faults) -> None:
        """Replace the faults of a stand-in, by process name."""
        address = self.find_standin_address(process)
        send_http("PUT", f"http://{address}/faults", encode(faults))

    def find_standin_address(self, process: str) -> str:
        """Return the address of a stand-in behind the relay."""
        if process in ("log", "vmlist"):
            return self.find_listen_address(self.example[f"{process}_address"])
        for pool in self.example["tables"]["pools"]:
            for server in pool["servers"]:
                if server["name"] == process:
                    return self.find_listen_address(server["address"])
        raise KeyError(process)

    def find_listen_address(self, address: str) -> str:
        """Return the address that the process behind an address binds."""
        for link in self.example.get("relay", {}).get("links", ()):
            if link["listen"] == address:
                target: str = link["target"]
                return target
        return address

    def start_backend(self, server: dict[str, Any], age_seconds: float = 0.0) -> None:
        """Start one backend server; a restarted one has age 0."""
        host, _, port = self.find_listen_address(server["address"]).rpartition(":")
        self.start_standin(
            "backend",
            server["name"],
            name=server["name"],
            host=host,
            port=port,
            accelerators=server["accelerators"],
            slots=server["slots"],
            age_seconds=age_seconds,
        )

    def check_ready(self, vm: dict[str, str]) -> bool:
        """Return True once a VM has tables and counts all VMs as live."""
        status = self.read_json(vm, "/v1/status")
        return (
            status is not None
            and status["version"] > 0
            and len(status["live_vms"]) == len(self.example["vms"])
        )

    def read_json(self, vm: dict[str, str], path: str) -> Any:
        """Read JSON from a VM; None without a 2xx reply."""
        reply = try_http("GET", f"http://{vm['caller_address']}{path}")
        return decode(reply) if reply is not None else None

    def stop_all(self) -> dict[str, int]:
        """Stop daemons, then stand-ins, and return the daemons' exit codes.

        Raises
        ------
        TimeoutExpired
            When a daemon did not stop in time; all processes are killed then.
        """
        names = [vm["vm"] for vm in self.example["vms"] if vm["vm"] in self.processes]
        try:
            for name in names:
                # A stopped process does not handle SIGTERM.
                self.processes[name].send_signal(signal.SIGCONT)
                self.processes[name].terminate()
            return {
                name: self.processes[name].wait(STOP_TIMEOUT_SECONDS) for name in names
            }
        finally:
            for process in self.processes.values():
                process.kill()
                process.wait()
            self.processes.clear()


def list_machines(example: dict[str, Any]) -> list[dict[str, str]]:
    """Return the machine list of the platform for an example."""
    machines = [
        {
            "name": vm["vm"],
            "kind": "entry",
            "failure_domain": vm["failure_domain"],
            "state": "live",
            "caller_address": vm["caller_address"],
            "peer_address": vm["peer_address"],
        }
        for vm in example["vms"]
    ]
    for pool in example["tables"]["pools"]:
        machines.extend(
            {
                "name": server["name"],
                "kind": "backend",
                "failure_domain": pool["failure_domain"],
                "state": "live",
                "caller_address": server["address"],
                "peer_address": "",
            }
            for server in pool["servers"]
        )
    return machines


def wait_until(
    condition: Callable[[], bool], timeout_seconds: float = START_TIMEOUT_SECONDS
) -> None:
    """Check a condition every 50 ms until it holds.

    Raises
    ------
    TimeoutError
        When it does not hold within the timeout.
    """
    deadline = time.monotonic() + timeout_seconds
    while not condition():
        if time.monotonic() > deadline:
            raise TimeoutError(f"condition not met in {timeout_seconds} s")
        time.sleep(0.05)


def send_http(
    method: str,
    url: str,
    body: bytes | None = None,
    headers: dict[str, str] | None = None,
    timeout_seconds: float = 30.0,
) -> bytes:
    """Send one HTTP request and return the body of a 2xx reply."""
    request = Request(url, body, headers or {}, method=method)
    with urlopen(request, timeout=timeout_seconds) as reply:
        content: bytes = reply.read()
    return content


def try_http(method: str, url: str) -> bytes | None:
    """Send one HTTP request; None when there is no 2xx reply."""
    try:
        return send_http(method, url, timeout_seconds=2.0)
    except (URLError, OSError):
        return None


def reserve_ports(count: int) -> int:
    """Reserve a block of ports and return its first port.

    The ports are below those of outgoing connections. A UDP socket on the first
    port keeps other runs out of the block.

    Raises
    ------
    RuntimeError
        When no block is free or large enough.
    """
    if count > BLOCK_PORTS:
        raise RuntimeError(f"{count} ports do not fit in a block of {BLOCK_PORTS}")
    blocks = list(range(MIN_PORT, MAX_PORT - BLOCK_PORTS, BLOCK_PORTS))
    random.shuffle(blocks)
    for block in blocks:
        lock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            lock.bind(("127.0.0.1", block))
        except OSError:
            lock.close()
            continue
        PORT_LOCKS[block] = lock
        return block
    raise RuntimeError("no block of ports is free; wait for other runs to end")


def release_ports(example: dict[str, Any]) -> None:
    """Release the block of ports that an example uses."""
    for address in re.findall(ADDRESS_PATTERN, encode(example).decode()):
        lock = PORT_LOCKS.pop(int(address.rpartition(":")[2]), None)
        if lock is not None:
            lock.close()


def move_to_free_ports(example: dict[str, Any]) -> dict[str, Any]:
    """Return the example with each port replaced by a reserved one.

    Parameters
    ----------
    example : dict
        Content of an example file.

    Returns
    -------
    dict
        The same example, without port conflicts with other runs.
    """
    text = encode(example).decode()
    addresses = sorted(set(re.findall(ADDRESS_PATTERN, text)))
    first = reserve_ports(len(addresses))
    ports = {
        address: f"{address.partition(':')[0]}:{first + number}"
        for number, address in enumerate(addresses)
    }
    moved = re.sub(ADDRESS_PATTERN, lambda match: ports[match.group()], text)
    content: dict[str, Any] = decode(moved)
    return content


def shrink_example(
    example: dict[str, Any], servers_per_pool: int, vms_per_domain: int
) -> dict[str, Any]:
    """Return the example with fewer servers and VMs, and no guarantees."""
    pools = [
        {**pool, "servers": pool["servers"][:servers_per_pool], "guarantees": []}
        for pool in example["tables"]["pools"]
    ]
    vms: list[dict[str, str]] = []
    for vm in example["vms"]:
        same = [v for v in vms if v["failure_domain"] == vm["failure_domain"]]
        if len(same) < vms_per_domain:
            vms.append(vm)
    return {**example, "vms": vms, "tables": {**example["tables"], "pools": pools}}


def add_relay(example: dict[str, Any]) -> dict[str, Any]:
    """Return the example with a relay before all ports but those for callers.

    Parameters
    ----------
    example : dict
        Content of an example file.

    Returns
    -------
    dict
        The same example; the relay tells the failure domain of a sender by the VM's
        own IP address. Call `move_to_free_ports` afterwards.
    """
    targets = (f"127.0.0.1:{port}" for port in itertools.count(1))
    domains = [row["name"] for row in example["tables"]["failure_domains"]]
    links, sources, vms = [], {}, []
    for number, vm in enumerate(example["vms"]):
        host = f"127.0.{10 + domains.index(vm['failure_domain'])}.{number + 1}"
        port = vm["peer_address"].rpartition(":")[2]
        listen = next(targets)
        links.append(Link(f"{host}:{port}", listen, vm["failure_domain"]))
        sources[host] = vm["failure_domain"]
        address = f"{host}:{port}"
        vms.append({**vm, "peer_address": address, "peer_listen_address": listen})
    for kind in ("log", "vmlist"):
        links.append(Link(example[f"{kind}_address"], next(targets), "platform"))
    for pool in example["tables"]["pools"]:
        links.extend(
            Link(server["address"], next(targets), pool["failure_domain"])
            for server in pool["servers"]
        )
    plan = Plan(next(targets), tuple(links), sources)
    return {**example, "vms": vms, "relay": decode(encode(plan))}


def find_taken_addresses(example: dict[str, Any]) -> list[str]:
    """Return the addresses of an example that its processes cannot bind."""
    addresses = sorted(set(re.findall(ADDRESS_PATTERN, encode(example).decode())))
    return [address for address in addresses if not check_free(address)]


def check_free(address: str) -> bool:
    """Return whether a process could listen on ``host:port``."""
    host, _, port = address.rpartition(":")
    with socket.socket() as probe:
        # As the processes do: connections that ended lately keep no port taken.
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((host, int(port)))
        except OSError:
            return False
    return True


def check_port(host: str, port: int) -> bool:
    """Return True when a TCP connection to a port succeeds."""
    with socket.socket() as probe:
        return probe.connect_ex((host, port)) == 0


def keep_failure_domain(example: dict[str, Any], name: str) -> dict[str, Any]:
    """Return the example reduced to one failure domain."""
    tables = example["tables"]
    pools = [p for p in tables["pools"] if p["failure_domain"] == name]
    names = [pool["name"] for pool in pools]
    routes = [{**route, "pools": names} for route in tables["routes"]]
    domains = [d for d in tables["failure_domains"] if d["name"] == name]
    kept = {"routes": routes, "pools": pools, "failure_domains": domains}
    vms = [vm for vm in example["vms"] if vm["failure_domain"] == name]
    return {**example, "vms": vms, "tables": kept}


def set_faults(address: str, **faults: object) -> None:
    """Replace the faults of the stand-in at an address; see `Faults`."""
    send_http("PUT", f"http://{address}/faults", encode(faults))


def read_example(path: Path) -> dict[str, Any]:
    """Read an example file."""
    example: dict[str, Any] = decode(path.read_bytes())
    return example


@contextmanager
def run_deployment(
    example: dict[str, Any],
    directory: Path,
    daemon_command: list[str] | None = None,
) -> Iterator[Deployment]:
    """Run a deployment during a ``with`` block.

    Parameters
    ----------
    example : dict
        Content of an example file.
    directory : Path
        Directory for the processes' logs; created when missing.
    daemon_command : list of str, optional
        Command that runs the daemon; by default this interpreter's package.

    Yields
    ------
    Deployment
        All processes are running and the tables are in force.
    """
    directory.mkdir(parents=True, exist_ok=True)
    command = daemon_command or [sys.executable, "-m", "cardamomdyke.cli.commands"]
    deployment = Deployment(directory, example, command)
    try:
        deployment.start_all()
        yield deployment
    finally:
        deployment.stop_all()
        release_ports(example)
