"""Resized examples, and resource usage of their daemons."""

from dataclasses import dataclass
from typing import Any

from psutil import Process

from cardamomdyke_standins.deployment import Deployment


@dataclass(frozen=True, slots=True)
class ResourceUsage:
    """Resources used by one daemon since its start.

    Attributes
    ----------
    cpu_seconds : float
        User and system time.
    resident_mb : float
        Resident memory, in units of 2**20 bytes.
    gossip_bytes : int
        Gossip bodies sent and received.
    """

    cpu_seconds: float
    resident_mb: float
    gossip_bytes: int


def resize_example(
    example: dict[str, Any], vms_per_domain: int, servers_per_pool: int
) -> dict[str, Any]:
    """Return the example with other numbers of VMs and backend servers.

    Parameters
    ----------
    example : dict
        Content of an example file.
    vms_per_domain : int
        Entry VMs in each failure domain.
    servers_per_pool : int
        Backend servers in each pool, 8 to a rack.

    Returns
    -------
    dict
        The same routes and failure domains, without guarantees. Its ports are
        placeholders: pass it to `move_to_free_ports`.
    """
    # `move_to_free_ports` only needs them to differ.
    port = iter(range(1, 10_000))
    vms = [
        {
            "vm": f"{row['name']}-e{number}",
            "failure_domain": row["name"],
            "caller_address": f"127.0.0.1:{next(port)}",
            "peer_address": f"127.0.0.1:{next(port)}",
        }
        for row in example["tables"]["failure_domains"]
        for number in range(1, vms_per_domain + 1)
    ]
    pools = [
        {
            **pool,
            "guarantees": [],
            "servers": [
                {
                    **pool["servers"][0],
                    "name": f"{pool['failure_domain']}-w{number}",
                    "rack": f"{pool['failure_domain']}-r{number // 8}",
                    "address": f"127.0.0.1:{next(port)}",
                }
                for number in range(servers_per_pool)
            ],
        }
        for pool in example["tables"]["pools"]
    ]
    return {
        **example,
        "log_address": f"127.0.0.1:{next(port)}",
        "vmlist_address": f"127.0.0.1:{next(port)}",
        "vms": vms,
        "tables": {**example["tables"], "pools": pools},
    }


def read_resource_usage(deployment: Deployment, vm: dict[str, str]) -> ResourceUsage:
    """Return the resource usage of one VM's daemon."""
    process = Process(deployment.processes[vm["vm"]].pid)
    times = process.cpu_times()
    status = deployment.read_json(vm, "/v1/status")
    return ResourceUsage(
        times.user + times.system,
        process.memory_info().rss / 2**20,
        status["counters"].get("gossip.bytes", 0),
    )
