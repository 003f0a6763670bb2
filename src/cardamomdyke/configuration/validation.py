"""Validation of the tables that operators edit."""

from collections import Counter
from collections.abc import Iterable, Iterator

from cardamomdyke.model.tables import Tables
from cardamomdyke.placement.guarantees import find_missing_guarantees

# Accelerators of a server are held as a bit mask, and the guaranteed cells are assigned
# one by one, so larger numbers would use up the memory of the daemon.
MAX_SERVER_ACCELERATORS = 1024
MAX_GUARANTEED_CELLS = 1_000_000


def find_table_faults(tables: Tables) -> list[str]:
    """Describe the faults that make the tables invalid.

    Parameters
    ----------
    tables : Tables
        All tables after an edit.

    Returns
    -------
    list of str
        One message per fault; empty for valid tables.
    """
    number_faults = list(find_number_faults(tables))
    return [
        *find_duplicates("failure domain", (d.name for d in tables.failure_domains)),
        *find_duplicates("pool", (pool.name for pool in tables.pools)),
        *find_duplicates(
            "backend server", (s.name for pool in tables.pools for s in pool.servers)
        ),
        *find_duplicates(
            "route", (f"{r.client_account}/{r.service}" for r in tables.routes)
        ),
        *find_dangling_references(tables),
        *number_faults,
        # Cells cannot be assigned to servers whose numbers are invalid.
        *(
            fault
            for pool in tables.pools
            if not number_faults
            for fault in find_missing_guarantees(pool)
        ),
    ]


def find_duplicates(noun: str, names: Iterable[str]) -> Iterator[str]:
    """Yield one message per name that is empty or appears more than once."""
    for name, count in Counter(names).items():
        if not name:
            yield f"a {noun} has an empty name"
        if count > 1:
            yield f"{noun} {name!r} appears {count} times"


def find_dangling_references(tables: Tables) -> Iterator[str]:
    """Yield one message per missing or unfit row that another refers to."""
    pools = {pool.name: pool for pool in tables.pools}
    domains = {domain.name for domain in tables.failure_domains}
    for pool in tables.pools:
        if pool.failure_domain not in domains:
            yield (
                f"pool {pool.name!r} is in the unknown failure domain "
                f"{pool.failure_domain!r}"
            )
    for route in tables.routes:
        row = f"route {route.client_account!r}/{route.service!r}"
        if not route.pools:
            yield f"{row} names no pool"
        for name in route.pools:
            if name not in pools:
                yield f"{row} names the unknown pool {name!r}"
            elif pools[name].service != route.service:
                yield f"{row} names pool {name!r} of service {pools[name].service!r}"


def find_number_faults(tables: Tables) -> Iterator[str]:
    """Yield one message per number with which guarantees cannot be checked."""
    for pool in tables.pools:
        for server in pool.servers:
            if not 0 <= server.accelerators <= MAX_SERVER_ACCELERATORS:
                yield (
                    f"backend server {server.name!r} has {server.accelerators} "
                    f"accelerators; use 0 to {MAX_SERVER_ACCELERATORS}"
                )
        for row in pool.guarantees:
            if max(row.count, row.accelerators) > MAX_GUARANTEED_CELLS:
                yield (
                    f"guarantee of {row.client_account!r} in pool {pool.name!r} has "
                    f"a number over {MAX_GUARANTEED_CELLS}"
                )
