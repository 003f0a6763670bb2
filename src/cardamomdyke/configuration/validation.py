"""Validation of the tables that operators edit."""

from collections import Counter
from collections.abc import Iterable, Iterator

from cardamomdyke.model.tables import Tables
from cardamomdyke.placement.guarantees import find_missing_guarantees


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
        *(fault for pool in tables.pools for fault in find_missing_guarantees(pool)),
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
