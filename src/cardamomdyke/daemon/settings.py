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

PREFIX = "CARDAMOMDYKE_"
# Read by the operators' client only; the daemon passes over it.
CLIENT_VARIABLES = frozenset({"CARDAMOMDYKE_CLIENT_VM"})
MAX_PORT = 65_535

Name = Annotated[str, Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")]
BodyBytes = Annotated[int, Meta(ge=1, le=1_073_741_824)]
DrainSeconds = Annotated[float, Meta(ge=0, le=3600)]
PeriodSeconds = Annotated[float, Meta(ge=0.2, le=3600)]
RetentionSeconds = Annotated[float, Meta(ge=60, le=31_536_000)]


@dataclass(frozen=True, slots=True)
class Settings:
    """Checked settings of one daemon.

    Attributes
    ----------
    vm : str
        Name of this VM.
    failure_domain : str
        Failure domain that this VM is in.
    caller_address : str
        ``host:port`` to serve callers and operators on.
    peer_address : str
        ``host:port`` to serve other VMs on.
    log_url : str
        Base URL of the platform's log service.
    vmlist_url : str
        Base URL of the platform's VM list.
    peer_listen_address : str
        ``host:port`` to bind for other VMs where it differs from
        ``peer_address``; empty when it does not.
    statsd_address : str
        ``host:port`` of the statsd daemon; empty for none.
    maximum_body_bytes : int
        Limit of a request body.
    drain_seconds : float
        Limit for requests in progress at shutdown.
    usage_period_seconds : float
        Time between two readings of usage from the backend servers.
    log_retention_seconds : float
        How long the log service keeps a record; summaries are appended again
        after a quarter of it.
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


def read_settings(
    flags: Mapping[str, object], environment: Mapping[str, str]
) -> Result[tuple[Settings, dict[str, str]], Problem]:
    """Check flags and environment variables; a flag goes first.

    Parameters
    ----------
    flags : mapping of str to object
        Values given on the command line.
    environment : mapping of str to str
        The process's environment.

    Returns
    -------
    Result of (Settings, dict) or Problem
        The settings, and for each name where its value came from; else a
        problem that names every fault.
    """
    texts: dict[str, str] = {}
    origins: dict[str, str] = {}
    for field in fields(Settings):
        variable = PREFIX + field.name.upper()
        origins[field.name] = "default"
        if flags.get(field.name) is not None:
            texts[field.name] = str(flags[field.name])
            origins[field.name] = f"flag --{field.name}"
        elif variable in environment:
            texts[field.name] = environment[variable]
            origins[field.name] = variable
    faults = find_unknown(flags, environment)
    values, value_faults = convert_values(texts, origins)
    faults += value_faults or find_conflicts(values)
    if faults:
        return Error(make_problem(ProblemKind.INVALID_SETTING, "; ".join(faults)))
    return Ok((Settings(**values), origins))


def find_unknown(
    flags: Mapping[str, object], environment: Mapping[str, str]
) -> list[str]:
    """Name each flag and variable that is no setting."""
    known = {field.name for field in fields(Settings)}
    variables = {PREFIX + name.upper() for name in known} | CLIENT_VARIABLES
    return [f"--{name} is no setting" for name in flags if name not in known] + [
        f"{name} is no setting"
        for name in environment
        if name.startswith(PREFIX) and name not in variables
    ]


def convert_values(
    texts: Mapping[str, str], origins: Mapping[str, str]
) -> tuple[dict[str, Any], list[str]]:
    """Convert texts to the settings' types, and name each impossible one."""
    types = get_type_hints(Settings, include_extras=True)
    values: dict[str, Any] = {}
    faults: list[str] = []
    for field in fields(Settings):
        if field.name not in texts:
            if field.default is MISSING:
                flag, variable = f"--{field.name}", PREFIX + field.name.upper()
                faults.append(f"{field.name} is missing; set {flag} or {variable}")
            continue
        text = texts[field.name]
        try:
            value = convert(text, types[field.name], strict=False)
            fault = find_fault(field.name, value)
        except ValidationError as error:
            fault = str(error)
        if fault:
            faults.append(f"{field.name} is {text!r} ({origins[field.name]}): {fault}")
        else:
            values[field.name] = value
    return values, faults


def find_fault(name: str, value: object) -> str:
    """Return why a value of the right type is impossible, or an empty text."""
    if isinstance(value, float) and not math.isfinite(value):
        return "expected a finite number"
    if name.endswith("_address"):
        optional = name in ("statsd_address", "peer_listen_address")
        return "" if optional and not value else check_address(value)
    if name.endswith("_url"):
        return check_url(str(value))
    return ""


def check_address(value: object) -> str:
    """Return why a text is no ``host:port`` with an IP address, or an empty text."""
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
    """Return why a text is no base URL, or an empty text."""
    try:
        parts = urlsplit(value)
        port = parts.port
    except ValueError as error:
        return str(error)
    if parts.scheme not in ("http", "https") or not parts.hostname or port == 0:
        return "expected http://host:port or https://host:port"
    if parts.query or parts.fragment or value.endswith("/"):
        return "expected a base URL without query, fragment or final slash"
    return ""


def find_conflicts(values: Mapping[str, Any]) -> list[str]:
    """Name settings that exclude each other."""
    if values["caller_address"] == values["peer_address"]:
        return ["caller_address and peer_address are equal"]
    return []


def split_address(address: str) -> tuple[str, int]:
    """Split ``host:port``; an IPv6 host loses its brackets.

    Raises
    ------
    ValueError
        When the port is missing or no number.
    """
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)
