"""Routes, pools and client accounts from the platform's configuration."""

from dataclasses import dataclass, field

from cardamomdyke.model.orders import Shape


@dataclass(frozen=True, slots=True)
class QueueRoute:
    """A row of the routes table: the queue for a host and a path prefix.

    Attributes
    ----------
    name : str
        Name of the queue.
    host : str
        Host of the request, without a port.
    prefix : str
        Prefix of the request's path, with its final slash.
    pool : str
        Pool whose backend servers run the tasks.
    priority : int
        0 is the highest.
    attempt_limit : int
        Failed runs of one task after which its job fails.
    stretch : float
        Accepted completion time, as a multiple of the job's critical path.
    target_seconds : float
        Completion time accepted in addition to that.
    anonymous : bool
        True when callers need no key.
    needs_advice : bool
        True when tasks may run only on servers that the advice service names.
    """

    name: str
    host: str
    prefix: str
    pool: str
    priority: int
    attempt_limit: int
    stretch: float
    target_seconds: float
    anonymous: bool = False
    needs_advice: bool = False


@dataclass(frozen=True, slots=True)
class QueuePool:
    """A row of the pools table: the backend servers of one service.

    Attributes
    ----------
    name : str
        Name that routes refer to.
    enforces_capacity : bool
        True when its backend servers refuse tasks that exceed their capacity.
    standby : bool
        True when its machines are switched off.
    """

    name: str
    enforces_capacity: bool = False
    standby: bool = False


@dataclass(frozen=True, slots=True)
class Account:
    """A client account, its guarantee and its quota.

    Attributes
    ----------
    name : str
        Name of the account.
    keys : frozenset of str
        API keys of its callers.
    guaranteed_accelerators : int
        Number of accelerators always available to its jobs of priority 0.
    quota : Shape
        Most that its tasks may use at the same time; 0 of a resource for no limit.
    weight : float
        Share of a full pool, relative to the other accounts; 0 for none agreed.
    """

    name: str
    keys: frozenset[str]
    guaranteed_accelerators: int = 0
    quota: Shape = Shape()
    weight: float = 0.0


@dataclass(frozen=True, slots=True)
class QueueTables:
    """One version of the platform's configuration.

    Attributes
    ----------
    version : int
        Increases with every change.
    routes : tuple of QueueRoute
        All queues.
    pools : dict of str to QueuePool
        Pools by name.
    accounts : tuple of Account
        All client accounts.
    body_limit_bytes : int
        Maximum size of a request body.
    header_limit_bytes : int
        Maximum size of a request's headers; 0 for the daemon's own limit.
    header_timeout_seconds : float
        Longest time to send headers; 0 for the daemon's own limit.
    idle_timeout_seconds : float
        Longest time between requests; 0 for the daemon's own limit.
    routes_by_name : dict of str to QueueRoute
        Index of ``routes``.
    accounts_by_key, accounts_by_name : dict of str to Account
        Indices of ``accounts``.
    """

    version: int
    routes: tuple[QueueRoute, ...]
    pools: dict[str, QueuePool]
    accounts: tuple[Account, ...]
    body_limit_bytes: int
    header_limit_bytes: int = 0
    header_timeout_seconds: float = 0.0
    idle_timeout_seconds: float = 0.0
    routes_by_name: dict[str, QueueRoute] = field(default_factory=dict)
    accounts_by_key: dict[str, Account] = field(default_factory=dict)
    accounts_by_name: dict[str, Account] = field(default_factory=dict)


def make_queue_tables(
    version: int,
    routes: tuple[QueueRoute, ...],
    pools: dict[str, QueuePool],
    accounts: tuple[Account, ...],
    body_limit_bytes: int,
    header_limit_bytes: int = 0,
    header_timeout_seconds: float = 0.0,
    idle_timeout_seconds: float = 0.0,
) -> QueueTables:
    """Create the tables and their indices by name and by key."""
    return QueueTables(
        version=version,
        routes=routes,
        pools=pools,
        accounts=accounts,
        body_limit_bytes=body_limit_bytes,
        header_limit_bytes=header_limit_bytes,
        header_timeout_seconds=header_timeout_seconds,
        idle_timeout_seconds=idle_timeout_seconds,
        routes_by_name={route.name: route for route in routes},
        accounts_by_key={key: item for item in accounts for key in item.keys},
        accounts_by_name={account.name: account for account in accounts},
    )


def is_superseded(former: QueueTables, tables: QueueTables) -> bool:
    """Return whether daemons with a former version put another one in force."""
    return tables.version > former.version


def find_route(tables: QueueTables, host: str, path: str) -> QueueRoute | None:
    """Return the host's route with the longest prefix of the path, or None."""
    matches = (
        route
        for route in tables.routes
        if route.host == host and path.startswith(route.prefix)
    )
    return max(matches, key=lambda route: len(route.prefix), default=None)
