"""Settings of a daemon, from flags and environment variables."""

import math
from collections.abc import Mapping
from dataclasses import MISSING, dataclass, fields
from ipaddress import ip_address
from typing import Annotated, Any, get_type_hints
from urllib.parse import urlsplit

from expression import Error, Ok, Result
from msgspec import Meta, ValidationError, convert

from cardamomdyke.model.errors import Problem, ProblemKind, make_problem

VARIABLE_PREFIX = "CARDAMOMDYKE_"
# Read only by the operators' client; the daemon ignores it.
CLIENT_VARIABLES = frozenset({"CARDAMOMDYKE_CLIENT_VM"})
MAX_PORT = 65_535

Name = Annotated[str, Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")]
BodyBytes = Annotated[int, Meta(ge=1, le=1_073_741_824)]
DrainSeconds = Annotated[float, Meta(ge=0, le=3600)]
PeriodSeconds = Annotated[float, Meta(ge=0.2, le=3600)]
MemoryMegabytes = Annotated[float, Meta(ge=50, le=1_000_000)]
DescriptorCount = Annotated[int, Meta(ge=128, le=1_048_576)]
HeaderBytes = Annotated[int, Meta(ge=1024, le=65_536)]
TimeoutSeconds = Annotated[float, Meta(ge=0.5, le=3600)]
BytesPerSecond = Annotated[float, Meta(gt=0, le=1_000_000)]
RetentionSeconds = Annotated[float, Meta(ge=60, le=31_536_000)]


@dataclass(frozen=True, slots=True)
class Settings:
    """Validated settings of a daemon.

    Attributes
    ----------
    vm : str
        Name of this VM.
    failure_domain : str
        Failure domain that this VM is in.
    caller_address : str
        ``host:port`` for callers and operators.
    peer_address : str
        ``host:port`` for other VMs.
    log_url : str
        Base URL of the platform's log service.
    vmlist_url : str
        Base URL of the platform's VM list.
    peer_listen_address : str
        ``host:port`` to listen on for other VMs; empty for ``peer_address``.
    statsd_address : str
        ``host:port`` of the statsd daemon; empty for none.
    maximum_body_bytes : int
        Size limit of a request body.
    drain_seconds : float
        Longest wait for requests in progress at shutdown.
    usage_period_seconds : float
        Period of reading usage from the backend servers.
    log_retention_seconds : float
        Retention of the log service; summaries are appended again after a
        quarter of it.
    memory_mb : float
        Memory of this VM, in units of 1,000,000 bytes.
    file_descriptors : int
        Most open descriptors; that of the process if lower.
    maximum_header_bytes : int
        Size limit of a request's headers.
    header_timeout_seconds : float
        Longest time from the first byte of a request to the end of its headers.
    idle_timeout_seconds : float
        Longest time without a byte between requests.
    minimum_body_rate : float
        Lowest mean rate of a body or answer after its first 15 s, in bytes per second.
    """

    vm: Name
    failure_domain: Name
    caller_address: str
    peer_address: str
    log_url: str
    vmlist_url: str
    peer_listen_address: str = ""
    statsd_address: str = ""
    maximum_body_bytes: BodyBytes = 1_048_576
    drain_seconds: DrainSeconds = 60.0
    usage_period_seconds: PeriodSeconds = 30.0
    log_retention_seconds: RetentionSeconds = 86_400.0
    memory_mb: MemoryMegabytes = 200.0
    file_descriptors: DescriptorCount = 4100
    maximum_header_bytes: HeaderBytes = 65_536
    header_timeout_seconds: TimeoutSeconds = 20.0
    idle_timeout_seconds: TimeoutSeconds = 20.0
    minimum_body_rate: BytesPerSecond = 1024.0


def read_settings(
    flags: Mapping[str, object], environment: Mapping[str, str]
) -> Result[tuple[Settings, dict[str, str]], Problem]:
    """Read the settings; a flag overrides an environment variable.

    Parameters
    ----------
    flags : mapping of str to object
        Values given on the command line.
    environment : mapping of str to str
        The process's environment.

    Returns
    -------
    Result of (Settings, dict) or Problem
        The settings and the origin of each; else a problem that names every
        error.
    """
    texts: dict[str, str] = {}
    origins: dict[str, str] = {}
    for field in fields(Settings):
        variable = VARIABLE_PREFIX + field.name.upper()
        origins[field.name] = "default"
        if flags.get(field.name) is not None:
            texts[field.name] = str(flags[field.name])
            origins[field.name] = f"flag --{field.name}"
        elif variable in environment:
            texts[field.name] = environment[variable]
            origins[field.name] = variable
    errors = list_unknown(flags, environment)
    values, value_errors = convert_values(texts, origins)
    errors += value_errors or find_conflicts(values)
    if errors:
        return Error(make_problem(ProblemKind.INVALID_SETTING, "; ".join(errors)))
    return Ok((Settings(**values), origins))


def list_unknown(
    flags: Mapping[str, object], environment: Mapping[str, str]
) -> list[str]:
    """Return an error for each flag and variable that is not a setting."""
    known = {field.name for field in fields(Settings)}
    variables = {VARIABLE_PREFIX + name.upper() for name in known} | CLIENT_VARIABLES
    return [f"--{name} is not a setting" for name in flags if name not in known] + [
        f"{name} is not a setting"
        for name in environment
        if name.startswith(VARIABLE_PREFIX) and name not in variables
    ]


def convert_values(
    texts: Mapping[str, str], origins: Mapping[str, str]
) -> tuple[dict[str, Any], list[str]]:
    """Convert texts to the settings' types; return values and errors."""
    types = get_type_hints(Settings, include_extras=True)
    values: dict[str, Any] = {}
    errors: list[str] = []
    for field in fields(Settings):
        if field.name not in texts:
            if field.default is MISSING:
                flag, variable = f"--{field.name}", VARIABLE_PREFIX + field.name.upper()
                errors.append(f"{field.name} is missing; set {flag} or {variable}")
            continue
        text = texts[field.name]
        try:
            value = convert(text, types[field.name], strict=False)
            message = check_value(field.name, value)
        except ValidationError as error:
            message = str(error)
        if message:
            errors.append(
                f"{field.name} is {text!r} ({origins[field.name]}): {message}"
            )
        else:
            values[field.name] = value
    return values, errors


def check_value(name: str, value: object) -> str:
    """Return why a value of the right type is invalid, or an empty text."""
    if isinstance(value, float) and not math.isfinite(value):
        return "expected a finite number"
    if name.endswith("_address"):
        optional = name in ("statsd_address", "peer_listen_address")
        return "" if optional and not value else check_address(value)
    if name.endswith("_url"):
        return check_url(str(value))
    return ""


def check_address(value: object) -> str:
    """Return why a text is not ``IP address:port``, or an empty text."""
    host, _, port = str(value).rpartition(":")
    try:
        address = ip_address(host.strip("[]"))
    except ValueError:
        return "expected IP address:port"
    if not port.isascii() or not port.isdigit() or not 1 <= int(port) <= MAX_PORT:
        return f"expected a port from 1 to {MAX_PORT}"
    if address.is_unspecified:
        return "expected an address that other machines can connect to"
    return ""


def check_url(value: str) -> str:
    """Return why a text is not an HTTP base URL, or an empty text."""
    try:
        parts = urlsplit(value)
        port = parts.port
    except ValueError as error:
        return str(error)
    if parts.scheme not in ("http", "https") or not parts.hostname or port == 0:
        return "expected http://host:port or https://host:port"
    if parts.query or parts.fragment or value.endswith("/"):
        return "expected a base URL without query, fragment or trailing slash"
    return ""


def find_conflicts(values: Mapping[str, Any]) -> list[str]:
    """Return an error for settings that conflict."""
    if values["caller_address"] == values["peer_address"]:
        return ["caller_address and peer_address must differ"]
    return []


def split_address(address: str) -> tuple[str, int]:
    """Split ``host:port`` and remove the brackets of an IPv6 host.

    Raises
    ------
    ValueError
        If the port is missing or not a number.
    """
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)
