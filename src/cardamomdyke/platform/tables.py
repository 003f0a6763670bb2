"""Decodes configurations and evacuations that the platform's operators publish."""

from typing import Any

from expression import Error, Ok, Result
from msgspec import Struct, field, to_builtins
from msgspec.json import Decoder

from cardamomdyke.model.errors import DECODE_ERRORS
from cardamomdyke.model.orders import Shape
from cardamomdyke.model.queues import (
    Account,
    QueuePool,
    QueueRoute,
    QueueTables,
    make_queue_tables,
)

# Keys of the operator's topic.
TABLES_KEY = "config"
EVACUATION_PREFIX = "evacuate/"
DEFAULT_ATTEMPTS = 1
DEFAULT_STRETCH = 1.0
DEFAULT_BODY_BYTES = 262_144
MILLISECONDS = 1000.0


class _Advice(Struct):
    decision_ms: float = 0.0


class _Route(Struct):
    name: str
    host: str
    path_prefix: str
    # "service" names the pool of backend servers that run the queue's tasks.
    service: str
    priority: int = 0
    max_attempts: int = DEFAULT_ATTEMPTS
    stretch: float = DEFAULT_STRETCH
    target_duration_ms: float = 0.0
    allow_anonymous: bool = False
    advice: _Advice | None = None


class _Service(Struct):
    name: str
    enforces_capacity: bool = False
    standby: bool = False


class _Guaranteed(Struct):
    accelerators: int = 0


class _MaxCount(Struct):
    # Resources in use over all backend servers, not a number of tasks.
    cpu_millicores: int = 0
    task_memory_mb: int = 0
    accelerators: int = 0


class _Tenant(Struct):
    name: str
    api_keys: list[str] = field(default_factory=list)
    guaranteed: _Guaranteed = field(default_factory=_Guaranteed)
    weight: float = 0.0
    max_count: _MaxCount = field(default_factory=_MaxCount)


class _Limits(Struct):
    max_body_bytes: int = DEFAULT_BODY_BYTES
    # 0 stands for a limit that is not stated.
    max_header_bytes: int = 0
    header_timeout_ms: float = 0.0
    idle_timeout_ms: float = 0.0


class _Config(Struct):
    version: int
    routes: list[_Route]
    services: list[_Service]
    tenants: list[_Tenant] = field(default_factory=list)
    limits: _Limits = field(default_factory=_Limits)


_DECODER = Decoder(_Config)


def decode_tables(data: bytes) -> Result[QueueTables, str]:
    """Decode the operator's configuration.

    Parameters
    ----------
    data : bytes
        Value of the key `TABLES_KEY`.

    Returns
    -------
    Result of QueueTables or str
        The tables, or why they cannot be decoded.
    """
    try:
        wire = _DECODER.decode(data)
    except DECODE_ERRORS as error:
        return Error(str(error))
    routes = tuple(_convert_route(route) for route in wire.routes)
    pools = {
        service.name: QueuePool(
            service.name, service.enforces_capacity, service.standby
        )
        for service in wire.services
    }
    accounts = tuple(_convert_tenant(tenant) for tenant in wire.tenants)
    return Ok(
        make_queue_tables(
            wire.version,
            routes,
            pools,
            accounts,
            wire.limits.max_body_bytes,
            wire.limits.max_header_bytes,
            wire.limits.header_timeout_ms / MILLISECONDS,
            wire.limits.idle_timeout_ms / MILLISECONDS,
        )
    )


def decode_rows(data: bytes) -> Result[dict[str, Any], str]:
    """Decode the fields of the operator's configuration that daemons read.

    Parameters
    ----------
    data : bytes
        Value of the key `TABLES_KEY`.

    Returns
    -------
    Result of dict or str
        The JSON object without ignored fields and with defaults for missing ones, or
        why it cannot be decoded, as `decode_tables` reports it.
    """
    try:
        return Ok(to_builtins(_DECODER.decode(data)))
    except DECODE_ERRORS as error:
        return Error(str(error))


def _convert_route(wire: _Route) -> QueueRoute:
    return QueueRoute(
        name=wire.name,
        host=wire.host,
        prefix=wire.path_prefix,
        pool=wire.service,
        priority=wire.priority,
        attempt_limit=wire.max_attempts,
        stretch=wire.stretch,
        target_seconds=wire.target_duration_ms / 1000.0,
        anonymous=wire.allow_anonymous,
        needs_advice=wire.advice is not None,
    )


def _convert_tenant(wire: _Tenant) -> Account:
    quota = wire.max_count
    return Account(
        name=wire.name,
        keys=frozenset(wire.api_keys),
        guaranteed_accelerators=wire.guaranteed.accelerators,
        quota=Shape(quota.cpu_millicores, quota.task_memory_mb, quota.accelerators),
        weight=wire.weight,
    )


def parse_evacuated_domain(key: str) -> str:
    """Return the failure domain that a key evacuates; empty for other keys."""
    if not key.startswith(EVACUATION_PREFIX):
        return ""
    return key.removeprefix(EVACUATION_PREFIX)
