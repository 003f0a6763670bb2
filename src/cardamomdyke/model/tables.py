"""Configuration tables: routes, pools and failure domains."""

from collections.abc import Iterator
from dataclasses import dataclass
from enum import StrEnum


class CellLevel(StrEnum):
    """Level of a cell in the hierarchy of a pool, largest first."""

    POOL = "pool"
    RACK = "rack"
    SERVER = "server"
    ACCELERATORS = "accelerators"


class WhenIsolated(StrEnum):
    """Whether a failure domain without contact to others holds or allows new starts."""

    HOLD = "hold"
    SERVE = "serve"


@dataclass(frozen=True, slots=True)
class Guarantee:
    """Cells of a pool that a client account can always reclaim.

    Attributes
    ----------
    client_account : str
        Name of the client account.
    level : CellLevel
        Level of each guaranteed cell.
    count : int
        Number of cells, at least 1.
    accelerators : int
        Accelerators per cell at the level ``accelerators``: a power of two, at
        most those of a backend server; 0 at other levels.
    """

    client_account: str
    level: CellLevel
    count: int
    accelerators: int = 0


@dataclass(frozen=True, slots=True)
class BackendServer:
    """One backend server of a pool.

    Attributes
    ----------
    name : str
        Unique across all pools.
    rack : str
        Rack within the pool's failure domain.
    address : str
        ``host:port`` of the HTTP interface.
    accelerators : int
        Number of accelerators.
    slots : int
        Maximum number of concurrent short requests.
    connections : int
        Maximum number of connections.
    """

    name: str
    rack: str
    address: str
    accelerators: int
    slots: int = 8
    connections: int = 64


@dataclass(frozen=True, slots=True)
class Pool:
    """Backend servers of one service in one failure domain, with guarantees.

    Attributes
    ----------
    name : str
        Unique; routes refer to it.
    failure_domain : str
        Failure domain of all its backend servers.
    service : str
        Service that the backend servers run.
    servers : tuple of BackendServer
        Its backend servers.
    guarantees : tuple of Guarantee
        Cells that client accounts can always reclaim.
    price_per_accelerator_hour : float
        In the operators' currency.
    price_per_request : float
        In the operators' currency.
    """

    name: str
    failure_domain: str
    service: str
    servers: tuple[BackendServer, ...]
    guarantees: tuple[Guarantee, ...] = ()
    price_per_accelerator_hour: float = 0.0
    price_per_request: float = 0.0


@dataclass(frozen=True, slots=True)
class Route:
    """Pools and limits of a client account for one service.

    Attributes
    ----------
    client_account : str
        Name of the client account.
    service : str
        Requested service.
    pools : tuple of str
        Names of pools, in order of preference.
    requests_per_second : float
        Rate limit of short requests on each VM.
    burst : int
        Token bucket size of each VM, in short requests.
    queued_jobs : int
        Maximum number of queued jobs.
    """

    client_account: str
    service: str
    pools: tuple[str, ...]
    requests_per_second: float = 100.0
    burst: int = 200
    queued_jobs: int = 200


@dataclass(frozen=True, slots=True)
class FailureDomain:
    """A failure domain and its service state.

    Attributes
    ----------
    name : str
        Unique.
    region : str
        Region of the failure domain.
    in_service : bool
        False while operators have taken it out of service.
    when_isolated : WhenIsolated
        Whether it allows new starts without evidence that it is in service.
    order_id : str
        Order that last changed ``in_service``; empty for none.
    """

    name: str
    region: str
    in_service: bool = True
    when_isolated: WhenIsolated = WhenIsolated.HOLD
    order_id: str = ""


@dataclass(frozen=True, slots=True)
class Tables:
    """Routes, pools and failure domains; one edit replaces them together.

    Attributes
    ----------
    routes : tuple of Route
        The routes table.
    pools : tuple of Pool
        The pools table.
    failure_domains : tuple of FailureDomain
        All failure domains.
    """

    routes: tuple[Route, ...] = ()
    pools: tuple[Pool, ...] = ()
    failure_domains: tuple[FailureDomain, ...] = ()


@dataclass(frozen=True, slots=True)
class FormerServers:
    """Backend servers before an edit changed them.

    Attributes
    ----------
    replaced_at : float
        Unix time of the edit, in seconds.
    servers : tuple of str
        Names before the edit, sorted.
    """

    replaced_at: float
    servers: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Configuration:
    """An accepted configuration.

    Attributes
    ----------
    version : int
        Log offset of the accepted edit plus 1; it only rises.
    tables : Tables
        The tables in force.
    former_servers : tuple of FormerServers
        Sets replaced within the key retention time, oldest first.
    settled_orders : tuple of str
        Ids of the newest direct orders that accepted edits recorded or ended.
    """

    version: int
    tables: Tables
    former_servers: tuple[FormerServers, ...] = ()
    settled_orders: tuple[str, ...] = ()


def find_route(tables: Tables, client_account: str, service: str) -> Route | None:
    """Return the route of a client account for a service, or None."""
    for route in tables.routes:
        if route.client_account == client_account and route.service == service:
            return route
    return None


def find_pool(tables: Tables, name: str) -> Pool | None:
    """Return the pool with this name, or None."""
    return next((pool for pool in tables.pools if pool.name == name), None)


def find_failure_domain(tables: Tables, name: str) -> FailureDomain | None:
    """Return the failure domain with this name, or None."""
    return next((d for d in tables.failure_domains if d.name == name), None)


def iterate_servers(tables: Tables) -> Iterator[tuple[Pool, BackendServer]]:
    """Yield every backend server with its pool, in table order."""
    for pool in tables.pools:
        for server in pool.servers:
            yield pool, server
