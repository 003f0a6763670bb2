"""Limits of the input that is not yet a request, derived from a VM's resources."""

import resource
from collections.abc import Mapping
from dataclasses import dataclass, fields
from enum import StrEnum

from expression import Error, Ok, Result

MEGABYTE = 1_000_000
# Memory that a daemon needs for itself at the sizes of the design page.
OWN_MEMORY_MB = 90
# Allocators and copies take about as much memory again as the bytes that are counted.
GROWTH_FACTOR = 2
MIN_BUDGET_BYTES = 8 * MEGABYTE
MAX_BUDGET_BYTES = 512 * MEGABYTE
# Descriptors for files and listening sockets, and for connections to the store, peers
# and backend servers. A process with few descriptors keeps a quarter for each.
FILE_DESCRIPTORS = 200
OUTGOING_DESCRIPTORS = 320
MIN_SIDE_CONNECTIONS = 8
# Receive buffer of an accepted connection. The kernel may keep twice as many bytes,
# which arrive even while the process does not run.
RECEIVE_BUFFER_BYTES = 4096
# Names of the environment variables are this and the name of a field in upper case.
VARIABLE_PREFIX = "CARDAMOMDYKE_LIMIT_"


class PortClass(StrEnum):
    """Kinds of listening ports; each has its own share of memory and descriptors."""

    CALLERS = "callers"
    PEERS = "peers"
    READINESS = "readiness"
    METRICS = "metrics"


# Parts of the memory budget; the rest is for relayed requests.
BYTE_SHARES = {
    PortClass.CALLERS: 0.625,
    PortClass.PEERS: 0.1875,
    PortClass.READINESS: 0.03125,
    PortClass.METRICS: 0.03125,
}
RELAY_SHARE = 0.125
# Parts of the connections; callers have the rest.
PEER_CONNECTIONS_SHARE = 0.125
SIDE_CONNECTIONS_SHARE = 0.03125


@dataclass(frozen=True, slots=True)
class PortLimits:
    """Limits of one kind of port.

    Attributes
    ----------
    held_bytes : int
        Most bytes that its connections hold together.
    connections : int
        Most open connections.
    """

    held_bytes: int
    connections: int


@dataclass(frozen=True, slots=True)
class InputLimits:
    """Limits of all ports of a daemon.

    Attributes
    ----------
    ports : dict of PortClass to PortLimits
        Limits by kind of port.
    relay_bytes : int
        Most bytes of requests that are relayed to peers at the same time.
    """

    ports: dict[PortClass, PortLimits]
    relay_bytes: int


@dataclass(frozen=True, slots=True)
class RequestLimits:
    """Limits of one request or connection.

    Attributes
    ----------
    header_bytes : int
        Longest headers.
    header_fields : int
        Most header fields, and most arguments in a URL.
    header_seconds : float
        Longest time from the first byte of a request to the end of its headers.
    idle_seconds : float
        Longest time without a byte between requests.
    bytes_per_second : float
        Lowest mean rate of a body, and of an answer that is read.
    grace_seconds : float
        Time before the rate counts.
    address_share : float
        Largest part of a port's memory and connections for one client address.
    account_share : float
        Largest part of a port's memory for one client account.
    body_buffer_bytes : int
        Receive buffer of a connection that sends a longer body, while there is room.
    job_share : float
        Largest part for accepted jobs of the memory above that of an idle daemon.
    """

    header_bytes: int = 65_536
    header_fields: int = 128
    header_seconds: float = 20.0
    idle_seconds: float = 30.0
    bytes_per_second: float = 1024.0
    grace_seconds: float = 5.0
    address_share: float = 0.75
    account_share: float = 0.5
    body_buffer_bytes: int = 32_768
    job_share: float = 0.4


@dataclass(frozen=True, slots=True)
class VmLimits:
    """Resources of a VM; the defaults are those of the smallest one.

    Attributes
    ----------
    memory_mb : float
        Memory, in units of 1,000,000 bytes.
    file_descriptors : int
        Most open descriptors of a process.
    """

    memory_mb: float = 200.0
    file_descriptors: int = 4100


def make_input_limits(
    memory_mb: float, file_descriptors: int, min_body_bytes: int = 0
) -> InputLimits:
    """Derive the limits of all ports from the resources of a VM.

    Parameters
    ----------
    memory_mb : float
        Memory of the VM, in units of 1,000,000 bytes.
    file_descriptors : int
        Most open descriptors of a process.
    min_body_bytes : int
        Longest body; callers and peers can always hold four of them.

    Returns
    -------
    InputLimits
        The limits; never below those of a usable daemon.
    """
    spare_bytes = int((memory_mb - OWN_MEMORY_MB) * MEGABYTE / GROWTH_FACTOR)
    budget = min(MAX_BUDGET_BYTES, max(MIN_BUDGET_BYTES, spare_bytes))
    files = min(FILE_DESCRIPTORS, file_descriptors // 4)
    outgoing = min(OUTGOING_DESCRIPTORS, file_descriptors // 4)
    incoming = max(4 * MIN_SIDE_CONNECTIONS, file_descriptors - files - outgoing)
    connections = {
        port: max(MIN_SIDE_CONNECTIONS, int(incoming * share))
        for port, share in (
            (PortClass.PEERS, PEER_CONNECTIONS_SHARE),
            (PortClass.READINESS, SIDE_CONNECTIONS_SHARE),
            (PortClass.METRICS, SIDE_CONNECTIONS_SHARE),
        )
    }
    connections[PortClass.CALLERS] = incoming - sum(connections.values())
    least = dict.fromkeys(PortClass, MEGABYTE)
    least[PortClass.CALLERS] = least[PortClass.PEERS] = 4 * min_body_bytes
    ports = {
        port: PortLimits(max(int(budget * share), least[port]), connections[port])
        for port, share in BYTE_SHARES.items()
    }
    return InputLimits(ports, max(int(budget * RELAY_SHARE), min_body_bytes))


def read_descriptor_limit(stated: int) -> int:
    """Return the stated number of descriptors, or that of the process if lower."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return stated if soft == resource.RLIM_INFINITY else min(stated, soft)


def read_request_limits(environment: Mapping[str, str]) -> Result[RequestLimits, str]:
    """Read the limits of requests from environment variables.

    Parameters
    ----------
    environment : mapping of str to str
        The process's environment; see `VARIABLE_PREFIX`.

    Returns
    -------
    Result of RequestLimits or str
        The limits, with defaults for missing variables; else the first error.
    """
    values: dict[str, float] = {}
    for item in fields(RequestLimits):
        variable = VARIABLE_PREFIX + item.name.upper()
        if variable not in environment:
            continue
        kind = int if isinstance(item.default, int) else float
        try:
            value = kind(environment[variable])
        except ValueError:
            value = 0
        is_share = item.name.endswith("_share")
        if not 0 < value < float("inf") or (is_share and value > 1):
            bound = "a number over 0 and at most 1" if is_share else "a number over 0"
            return Error(f"{variable} is {environment[variable]!r}; set {bound}")
        values[item.name] = value
    return Ok(RequestLimits(**values))  # type: ignore[arg-type]
