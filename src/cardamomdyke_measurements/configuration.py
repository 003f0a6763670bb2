"""Record size and processor time of one configuration edit, by number of servers."""

import time
from dataclasses import asdict, dataclass
from typing import Any

from fire import Fire
from msgspec.json import encode
from numpy import polyfit

from cardamomdyke.configuration.fold import FoldState, fold_record
from cardamomdyke.configuration.records import Edit, encode_record
from cardamomdyke.model.tables import (
    BackendServer,
    CellLevel,
    FailureDomain,
    Guarantee,
    Pool,
    Route,
    Tables,
)

FAILURE_DOMAINS = 7
CLIENT_ACCOUNTS = 26
SERVERS_PER_RACK = 16
SIZES = (24, 106, 740)
REPETITIONS = 20
EDITS_PER_DAY = 2_400
DAY_SECONDS = 86_400


@dataclass(frozen=True, slots=True)
class EditCost:
    """Cost of one edit on one VM.

    Attributes
    ----------
    servers : int
        Backend servers in the tables.
    record_bytes : int
        Size of the edit's record.
    fold_ms : float
        Processor time to decode, check and fold it, in milliseconds.
    bytes_per_second : float
        Mean received rate at 2,400 edits a day.
    cpu_percent : float
        Percentage of one core at 2,400 edits a day.
    """

    servers: int
    record_bytes: int
    fold_ms: float
    bytes_per_second: float
    cpu_percent: float


def make_tables(servers: int) -> Tables:
    """Return tables with the target's failure domains and client accounts."""
    domains = tuple(
        FailureDomain(f"domain-{number}", f"region-{number % 2}")
        for number in range(FAILURE_DOMAINS)
    )
    pools = []
    for number, domain in enumerate(domains):
        names = range(number, servers, FAILURE_DOMAINS)
        rows = tuple(
            BackendServer(
                f"worker-{n:04}",
                f"rack-{i // SERVERS_PER_RACK}",
                f"10.{number}.0.1:{n}",
                1,
            )
            for i, n in enumerate(names)
        )
        guarantees = tuple(
            Guarantee(f"account-{n}", CellLevel.SERVER, 1)
            for n in range(min(CLIENT_ACCOUNTS, len(rows)))
        )
        pools.append(Pool(f"pool-{number}", domain.name, "service", rows, guarantees))
    routes = tuple(
        Route(f"account-{n}", "service", tuple(pool.name for pool in pools))
        for n in range(CLIENT_ACCOUNTS)
    )
    return Tables(routes, tuple(pools), domains)


def measure_edit(servers: int) -> EditCost:
    """Return the mean cost of one edit over 20 repetitions."""
    edit = Edit("0" * 32, 0, make_tables(servers), time.time())
    data = encode_record(edit)
    started_at = time.process_time()
    for _ in range(REPETITIONS):
        state, verdict, detail = fold_record(FoldState(), 0, data)
        if state.configuration is None:
            raise RuntimeError(f"{verdict}: {detail}")
    seconds = (time.process_time() - started_at) / REPETITIONS
    edits_per_second = EDITS_PER_DAY / DAY_SECONDS
    return EditCost(
        servers,
        len(data),
        round(seconds * 1000, 3),
        round(len(data) * edits_per_second, 1),
        round(100 * seconds * edits_per_second, 4),
    )


def main() -> None:
    """Print the costs and linear fits over servers as JSON."""
    costs = [measure_edit(servers) for servers in SIZES]
    report: dict[str, Any] = {"runs": [asdict(cost) for cost in costs]}
    for name in ("record_bytes", "fold_ms"):
        values = [getattr(cost, name) for cost in costs]
        slope, intercept = polyfit(SIZES, values, 1)
        residual = max(
            abs(value - intercept - slope * size)
            for size, value in zip(SIZES, values, strict=True)
        )
        report[f"{name}_by_server"] = {
            "intercept": round(float(intercept), 3),
            "slope": round(float(slope), 4),
            "residual": round(float(residual), 3),
        }
    print(encode(report).decode())


if __name__ == "__main__":
    Fire(main)
