"""Routes, pools and client accounts as the platform's operators publish them."""

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class QueueRoute:
    """A row of the routes table: the queue that a host and path prefix select.

    Attributes
    ----------
    name : str
        Name of the queue.
    host : str
        Host that callers name, without a port.
    prefix : str
        Start of the path, with its final slash.
    pool : str
        Name of the pool whose backend servers run its tasks.
    priority : int
        0 comes first.
    attempt_limit : int
        Failed runs of a task after which its job has failed.
    stretch : float
        Accepted completion time, in multiples of the job's longest chain of work.
    target_seconds : float
        Completion time that is accepted beyond that.
    anonymous : bool
        True when callers need no key.
    needs_advice : bool
        True when only servers that the advice service names may run its tasks.
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
    """A row of the pools table: backend servers of one service.

    Attributes
    ----------
    name : str
        Name that routes refer to.
    enforces_capacity : bool
        True when its backend servers refuse what does not fit.
    standby : bool
        True when its machines are switched off.
    """

    name: str
    enforces_capacity: bool = False
    standby: bool = False


@dataclass(frozen=True, slots=True)
class Account:
    """A client account.

    Attributes
    ----------
    name : str
        Name of the account.
    keys : frozenset of str
        Keys that its callers may present.
    guaranteed_accelerators : int
        Accelerators that its jobs of priority 0 can always have.
    """

    name: str
    keys: frozenset[str]
    guaranteed_accelerators: int = 0


@dataclass(frozen=True, slots=True)
class QueueTables:
    """One version of the configuration.

    Attributes
    ----------
    version : int
        Rises with every change.
    routes : tuple of QueueRoute
        All queues.
    pools : dict of str to QueuePool
        Pools by name.
    accounts : tuple of Account
        All client accounts.
    body_limit_bytes : int
        Largest request body.
    """

    version: int
    routes: tuple[QueueRoute, ...]
    pools: dict[str, QueuePool]
    accounts: tuple[Account, ...]
    body_limit_bytes: int
    routes_by_name: dict[str, QueueRoute] = field(default_factory=dict)
    accounts_by_key: dict[str, Account] = field(default_factory=dict)
    accounts_by_name: dict[str, Account] = field(default_factory=dict)


def make_queue_tables(
    version: int,
    routes: tuple[QueueRoute, ...],
    pools: dict[str, QueuePool],
    accounts: tuple[Account, ...],
    body_limit_bytes: int,
) -> QueueTables:
    """Build the tables with their look-ups by name and by key."""
    return QueueTables(
        version=version,
        routes=routes,
        pools=pools,
        accounts=accounts,
        body_limit_bytes=body_limit_bytes,
        routes_by_name={route.name: route for route in routes},
        accounts_by_key={key: item for item in accounts for key in item.keys},
        accounts_by_name={account.name: account for account in accounts},
    )


def find_route(tables: QueueTables, host: str, path: str) -> QueueRoute | None:
    """Return the route of the longest prefix of a path on a host."""
    matches = (
        route
        for route in tables.routes
        if route.host == host and path.startswith(route.prefix)
    )
    return max(matches, key=lambda route: len(route.prefix), default=None)
