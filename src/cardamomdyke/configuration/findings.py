"""Findings about a configuration of the platform that daemons accept.

Places are written as the decoder writes them, such as ``$.routes[2].host``.
"""

import re
from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

from cardamomdyke.model.queues import QueueRoute, QueueTables, is_superseded

# The decoder ends its messages with one of these.
PLACE_PATTERN = re.compile(r" - at `(?P<path>.*)`$|\((?P<byte>byte \d+)\)$", re.S)
PORT_PATTERN = re.compile(r":\d+$")
ROOT_PLACE = "$"


class FindingKind(StrEnum):
    """Every kind of finding about a configuration."""

    REFUSED = "refused"
    VERSION_NOT_HIGHER = "version_not_higher"
    INVALID_TABLES = "invalid_tables"
    IGNORED_FIELD = "ignored_field"
    INVALID_TEXT = "invalid_text"
    NUMBER_OUT_OF_RANGE = "number_out_of_range"
    EMPTY_NAME = "empty_name"
    REPEATED_NAME = "repeated_name"
    UNMATCHABLE_ROUTE = "unmatchable_route"
    SHADOWED_ROUTE = "shadowed_route"
    UNKNOWN_SERVICE = "unknown_service"
    UNUSED_SERVICE = "unused_service"
    UNUSABLE_QUEUE = "unusable_queue"
    ACCOUNT_WITHOUT_KEY = "account_without_key"
    EMPTY_KEY = "empty_key"
    SHARED_KEY = "shared_key"
    NO_ATTEMPTS = "no_attempts"
    NO_OBJECTIVE = "no_objective"
    GUARANTEE_OVER_QUOTA = "guarantee_over_quota"
    GUARANTEES_OVER_SERVERS = "guarantees_over_servers"
    SERVICE_WITHOUT_SERVERS = "service_without_servers"
    LIMIT_WITHOUT_EFFECT = "limit_without_effect"
    LIMIT_REFUSES_ALL = "limit_refuses_all"


@dataclass(frozen=True, slots=True)
class Finding:
    """Something in a configuration that an operator should look at.

    Attributes
    ----------
    kind : FindingKind
        What was found.
    place : str
        Path in the JSON, or a byte where the JSON is malformed.
    message : str
        One sentence that names the affected object.
    remedy : str
        What the operator can do about it.
    """

    kind: FindingKind
    place: str
    message: str
    remedy: str


@dataclass(frozen=True, slots=True)
class Deployment:
    """What the configuration does not state.

    Attributes
    ----------
    max_body_bytes, max_header_bytes : int
        The daemon's own limits, which the configuration can only lower.
    max_number : int
        Largest number that records can hold.
    accelerators : mapping of str to int
        Accelerators of all servers of a pool, by pool; unknown for other pools.
    """

    max_body_bytes: int
    max_header_bytes: int
    max_number: int
    accelerators: Mapping[str, int] = field(default_factory=dict)


def split_place(text: str) -> tuple[str, str]:
    """Return the place that a decoder's message names, and the rest of the text."""
    match = PLACE_PATTERN.search(text)
    if match is None:
        return ROOT_PLACE, text
    return match["path"] or match["byte"], text[: match.start()].rstrip()


def find_findings(
    tables: QueueTables, service_names: Sequence[str], deployment: Deployment
) -> list[Finding]:
    """Describe what cannot take effect, or contradicts itself, in a configuration.

    Parameters
    ----------
    tables : QueueTables
        The decoded configuration.
    service_names : sequence of str
        Services as listed; the tables hold repeated ones once.
    deployment : Deployment
        Limits and sizes that the configuration is compared with.

    Returns
    -------
    list of Finding
        Routes first, then services, accounts and limits.
    """
    return [
        *check_names("routes", [route.name for route in tables.routes]),
        *check_names("services", service_names),
        *check_names("tenants", [account.name for account in tables.accounts]),
        *check_routes(tables),
        *check_services(tables, service_names, deployment),
        *check_accounts(tables, deployment),
        *check_limits(tables, deployment),
    ]


def check_names(table: str, names: Iterable[str]) -> Iterator[Finding]:
    """Yield a finding per name that is empty or was used by an earlier row."""
    first: dict[str, int] = {}
    for index, name in enumerate(names):
        place = f"$.{table}[{index}].name"
        if not name:
            message = f"the row of {table} has an empty name"
            yield Finding(FindingKind.EMPTY_NAME, place, message, "name the row")
        if name in first:
            message = f"{name!r} is also the name of $.{table}[{first[name]}]"
            remedy = "rename or remove one of the rows; look-ups by name find the last"
            yield Finding(FindingKind.REPEATED_NAME, place, message, remedy)
        first.setdefault(name, index)


def check_routes(tables: QueueTables) -> Iterator[Finding]:
    """Yield the findings about each route."""
    first: dict[tuple[str, str], int] = {}
    has_keys = any(tables.accounts_by_key)
    for index, route in enumerate(tables.routes):
        place = f"$.routes[{index}]"
        row = f"queue {route.name!r}"
        yield from check_pattern(route, place)
        pattern = (route.host, route.prefix)
        if pattern in first:
            message = (
                f"$.routes[{first[pattern]}] has the host and path prefix of {row} "
                "and gets all its requests"
            )
            remedy = "remove the route or change its host or path prefix"
            yield Finding(FindingKind.SHADOWED_ROUTE, place, message, remedy)
        first.setdefault(pattern, index)
        if route.pool not in tables.pools:
            message = f"{row} names the unknown service {route.pool!r}"
            remedy = "add the service or name a listed one"
            place_of_service = f"{place}.service"
            yield Finding(
                FindingKind.UNKNOWN_SERVICE, place_of_service, message, remedy
            )
        if not route.anonymous and not has_keys:
            message = f"{row} requires a key, and no account has one"
            remedy = "add an account with a key, or allow callers without one"
            yield Finding(FindingKind.UNUSABLE_QUEUE, place, message, remedy)
        if route.attempt_limit < 1:
            message = f"{row} allows its tasks {route.attempt_limit} attempts"
            place_of_limit = f"{place}.max_attempts"
            remedy = "allow at least 1 attempt"
            yield Finding(FindingKind.NO_ATTEMPTS, place_of_limit, message, remedy)
        if route.stretch < 1.0 and route.target_seconds <= 0.0:
            message = f"stretch {route.stretch} without a target states no objective"
            remedy = "state a stretch above 1 or a target_duration_ms"
            yield Finding(FindingKind.NO_OBJECTIVE, f"{place}.stretch", message, remedy)


def check_pattern(route: QueueRoute, place: str) -> Iterator[Finding]:
    """Yield a finding for a host or prefix that no request can match.

    Daemons match the host in lower case and without its port.
    """
    host = route.host
    if not host or host != host.lower() or PORT_PATTERN.search(host):
        yield Finding(
            FindingKind.UNMATCHABLE_ROUTE,
            f"{place}.host",
            f"no request has the host {host!r}",
            "write the host in lower case and without a port",
        )
    prefix = route.prefix
    if (prefix and not prefix.startswith("/")) or "?" in prefix or "#" in prefix:
        yield Finding(
            FindingKind.UNMATCHABLE_ROUTE,
            f"{place}.path_prefix",
            f"no request has a path with the prefix {prefix!r}",
            "begin the prefix with a slash and leave out queries and fragments",
        )


def check_services(
    tables: QueueTables, service_names: Sequence[str], deployment: Deployment
) -> Iterator[Finding]:
    """Yield the findings about each service."""
    used = {route.pool for route in tables.routes}
    for name in tables.pools:
        place = f"$.services[{service_names.index(name)}]"
        if name not in used:
            message = f"no route leads to service {name!r}"
            remedy = "add a route or remove the service"
            yield Finding(FindingKind.UNUSED_SERVICE, place, message, remedy)
        if deployment.accelerators.get(name) == 0:
            message = f"service {name!r} has no accelerators"
            remedy = "add servers to the pool or remove its routes"
            yield Finding(FindingKind.SERVICE_WITHOUT_SERVERS, place, message, remedy)


def check_accounts(tables: QueueTables, deployment: Deployment) -> Iterator[Finding]:
    """Yield the findings about each client account."""
    key_owners: dict[str, int] = {}
    for index, account in enumerate(tables.accounts):
        place = f"$.tenants[{index}]"
        row = f"account {account.name!r}"
        if not any(account.keys):
            message = f"{row} has no key, so no request is its own"
            remedy = "add a key or remove the account"
            yield Finding(FindingKind.ACCOUNT_WITHOUT_KEY, place, message, remedy)
        if "" in account.keys:
            message = f"{row} has an empty key, which no request can send"
            place_of_keys = f"{place}.api_keys"
            yield Finding(
                FindingKind.EMPTY_KEY, place_of_keys, message, "remove the empty key"
            )
        # The key itself is a secret, so the message names only the accounts.
        owners = {key_owners[key] for key in account.keys if key in key_owners}
        for owner in sorted(owners):
            message = f"{row} has a key of $.tenants[{owner}], which loses it"
            remedy = "give each account keys of its own"
            yield Finding(FindingKind.SHARED_KEY, f"{place}.api_keys", message, remedy)
        key_owners.update(dict.fromkeys(account.keys - {""}, index))
        quota, guaranteed = account.quota.accelerators, account.guaranteed_accelerators
        if 0 < quota < guaranteed:
            message = (
                f"{row} has {guaranteed} guaranteed accelerators and may use {quota}"
            )
            remedy = "lower the guarantee or raise max_count"
            place_of_guarantee = f"{place}.guaranteed.accelerators"
            yield Finding(
                FindingKind.GUARANTEE_OVER_QUOTA, place_of_guarantee, message, remedy
            )
    yield from check_guarantees(tables, deployment)


def check_guarantees(tables: QueueTables, deployment: Deployment) -> Iterator[Finding]:
    """Yield a finding if all guarantees exceed the accelerators of known pools.

    A guarantee holds over all pools, so the size of each pool has to be known.
    """
    if not tables.pools or not tables.pools.keys() <= deployment.accelerators.keys():
        return
    total = sum(deployment.accelerators[name] for name in tables.pools)
    guaranteed = sum(max(0, a.guaranteed_accelerators) for a in tables.accounts)
    if guaranteed > total:
        yield Finding(
            FindingKind.GUARANTEES_OVER_SERVERS,
            "$.tenants",
            f"{guaranteed} accelerators are guaranteed and all pools have {total}",
            "lower the guarantees or add servers",
        )


def check_limits(tables: QueueTables, deployment: Deployment) -> Iterator[Finding]:
    """Yield the findings about the limits of requests."""
    body_limit, header_limit = tables.body_limit_bytes, tables.header_limit_bytes
    if body_limit <= 0:
        yield Finding(
            FindingKind.LIMIT_REFUSES_ALL,
            "$.limits.max_body_bytes",
            f"a limit of {body_limit} bytes refuses every submission",
            "state a positive limit, or none for the default",
        )
    for name, limit, most in (
        ("max_body_bytes", body_limit, deployment.max_body_bytes),
        ("max_header_bytes", header_limit, deployment.max_header_bytes),
    ):
        if limit > most:
            yield Finding(
                FindingKind.LIMIT_WITHOUT_EFFECT,
                f"$.limits.{name}",
                f"daemons accept at most {most} bytes, not {limit}",
                f"state at most {most}",
            )


def check_numbers(value: Any, max_number: int, place: str) -> Iterator[Finding]:
    """Yield a finding per number below 0 or above the largest usable one."""
    if isinstance(value, dict):
        for name, item in value.items():
            yield from check_numbers(item, max_number, f"{place}.{name}")
    elif isinstance(value, list):
        for index, item in enumerate(value):
            yield from check_numbers(item, max_number, f"{place}[{index}]")
    elif isinstance(value, int | float) and not 0 <= value <= max_number:
        message = f"{value} is not from 0 to {max_number}"
        remedy = "state a number in that range"
        yield Finding(FindingKind.NUMBER_OUT_OF_RANGE, place, message, remedy)


def check_version(tables: QueueTables, former: QueueTables) -> Iterator[Finding]:
    """Yield a finding if daemons with the former version would keep it."""
    if not is_superseded(former, tables):
        yield Finding(
            FindingKind.VERSION_NOT_HIGHER,
            "$.version",
            f"version {tables.version} does not follow {former.version}, so daemons "
            "ignore the configuration",
            f"state a version above {former.version}",
        )
