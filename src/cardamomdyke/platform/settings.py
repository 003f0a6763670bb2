"""Decodes the settings file that the platform writes for each daemon."""

from dataclasses import dataclass

from expression import Error, Ok, Result
from msgspec import Struct, field
from msgspec.json import Decoder

from cardamomdyke.jobs.layout import RECORD_LENGTH_BYTES, RecordLimits
from cardamomdyke.membership.peers import PEER_PREFIX
from cardamomdyke.model.errors import DECODE_ERRORS, Problem, ProblemKind, make_problem
from cardamomdyke.platform.records import MAX_KEY_BYTES
from cardamomdyke.protocol.limits import VmLimits

# Environment variable that holds the path of the settings file.
SETTINGS_VARIABLE = "CARDAMOMDYKE_CONFIG"
MILLISECONDS = 1000.0
# The head of a job's progress, and a record with a key of 255 bytes, fit into this.
MIN_RECORD_BYTES = 1024


@dataclass(frozen=True, slots=True)
class StoreSettings:
    """Address and limits of the platform's store.

    Attributes
    ----------
    address : str
        ``host:port``.
    limits : RecordLimits
        Largest record and largest append.
    """

    address: str
    limits: RecordLimits


@dataclass(frozen=True, slots=True)
class Bounds:
    """Limits that the platform guarantees or requires; times in seconds.

    Attributes
    ----------
    lease_limit_seconds : float
        Longest lease of a backend server.
    stop_grace_seconds : float
        Longest time that a stopped run takes to end.
    gang_wait_seconds : float
        Longest wait of a gang member for the others.
    shutdown_grace_seconds : float
        Time from SIGTERM to SIGKILL.
    status_seconds : float
        Time that the state of an ended job stays readable.
    remote_factor : float
        Slow-down of a task away from its data or across racks.
    restore_seconds : float
        Time that a run takes to resume from a checkpoint.
    """

    lease_limit_seconds: float
    stop_grace_seconds: float
    gang_wait_seconds: float
    shutdown_grace_seconds: float
    status_seconds: float
    remote_factor: float
    restore_seconds: float = 0.0


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """Settings of one platform daemon.

    Attributes
    ----------
    vm : str
        Name of this VM.
    failure_domain : str
        Failure domain of this VM.
    host : str
        IP address of this VM.
    caller_address : str
        ``host:port`` to serve callers on.
    readiness_address : str
        ``host:port`` to serve the load balancer's checks on.
    peer_port : int
        Port for peers, the first of the internal range.
    store : StoreSettings
        The platform's store.
    bounds : Bounds
        Limits guaranteed or required by the platform.
    power : float
        Processor capacity of this VM, in cores of usual speed.
    limits : VmLimits
        Memory and descriptors of this VM.
    """

    vm: str
    failure_domain: str
    host: str
    caller_address: str
    readiness_address: str
    peer_port: int
    store: StoreSettings
    bounds: Bounds
    power: float = 1.0
    limits: VmLimits = VmLimits()


class _Listen(Struct):
    # Callers use "frontend", the load balancer "readiness".
    callers: str = field(name="frontend_addr")
    readiness: str = field(name="readiness_addr")


class _Bounds(Struct):
    hold_max_ms: float
    stop_grace_ms: float
    gang_wait_ms: float
    grace_period_s: float
    status_s: float
    remote_factor: float = 1.0
    restore_ms: float = 0.0


class _Store(Struct):
    address: str
    record_bytes: int
    request_bytes: int


class _Limits(Struct):
    # "cores" is the speed of the core of which "processor_share" is a fraction.
    processor_share: float = 1.0
    cores: float = 1.0
    # 0 stands for a limit that is not stated.
    memory_mb: float = 0.0
    file_descriptors: int = 0


class _Settings(Struct):
    node_name: str
    ip_address: str
    zone: str
    listen_addresses: _Listen
    internal_port_range: tuple[int, int]
    bounds: _Bounds
    platform: _Store
    limits: _Limits = field(default_factory=_Limits)


_DECODER = Decoder(_Settings)


def decode_settings(data: bytes) -> Result[NodeSettings, Problem]:
    """Decode the settings file.

    Parameters
    ----------
    data : bytes
        JSON contents of the file; unknown fields are ignored.

    Returns
    -------
    Result of NodeSettings or Problem
        The settings, or why they cannot be decoded.
    """
    try:
        wire = _DECODER.decode(data)
    except DECODE_ERRORS as error:
        message = f"the platform's settings file cannot be used: {error}"
        return Error(make_problem(ProblemKind.INVALID_SETTING, message))
    limits = RecordLimits(wire.platform.record_bytes, wire.platform.request_bytes)
    fault = find_name_fault(wire.node_name) or find_limit_fault(limits)
    if fault:
        message = f"the platform's settings file cannot be used: {fault}"
        return Error(make_problem(ProblemKind.INVALID_SETTING, message))
    return Ok(
        NodeSettings(
            vm=wire.node_name,
            failure_domain=wire.zone,
            host=wire.ip_address,
            caller_address=wire.listen_addresses.callers,
            readiness_address=wire.listen_addresses.readiness,
            peer_port=wire.internal_port_range[0],
            store=StoreSettings(address=wire.platform.address, limits=limits),
            bounds=_convert_bounds(wire.bounds),
            power=wire.limits.processor_share * wire.limits.cores,
            limits=_convert_limits(wire.limits),
        )
    )


def find_name_fault(vm: str) -> str:
    """Return what is wrong with the name of a VM; empty when it can be used."""
    size = len((PEER_PREFIX + vm).encode())
    if size <= MAX_KEY_BYTES:
        return ""
    return f"node_name makes a key of {size} bytes; the store takes {MAX_KEY_BYTES}"


def find_limit_fault(limits: RecordLimits) -> str:
    """Return what is wrong with the store's limits; empty when they can be used."""
    if limits.record_bytes < MIN_RECORD_BYTES:
        return f"record_bytes is {limits.record_bytes}, below {MIN_RECORD_BYTES}"
    if limits.append_bytes < RECORD_LENGTH_BYTES + limits.record_bytes:
        return (
            f"request_bytes is {limits.append_bytes}, too few for a record of "
            f"record_bytes ({limits.record_bytes}) and its length"
        )
    return ""


def _convert_limits(wire: _Limits) -> VmLimits:
    default = VmLimits()
    return VmLimits(
        wire.memory_mb if wire.memory_mb > 0 else default.memory_mb,
        wire.file_descriptors
        if wire.file_descriptors > 0
        else default.file_descriptors,
    )


def _convert_bounds(wire: _Bounds) -> Bounds:
    return Bounds(
        lease_limit_seconds=wire.hold_max_ms / MILLISECONDS,
        stop_grace_seconds=wire.stop_grace_ms / MILLISECONDS,
        gang_wait_seconds=wire.gang_wait_ms / MILLISECONDS,
        shutdown_grace_seconds=wire.grace_period_s,
        status_seconds=wire.status_s,
        remote_factor=wire.remote_factor,
        restore_seconds=wire.restore_ms / MILLISECONDS,
    )
