"""Small pools, jobs and gangs for the placement tests."""

from collections.abc import Sequence

from cardamomdyke.model.jobs import Adjacency, JobSpecification, MemberPlacement
from cardamomdyke.model.tables import BackendServer, CellLevel, Guarantee, Pool
from cardamomdyke.placement.plan import PlacedGang


def make_pool(racks: Sequence[Sequence[int]], *guarantees: Guarantee) -> Pool:
    """Return a pool; each rack lists the accelerators of its backend servers."""
    servers = tuple(
        BackendServer(f"r{rack}s{number}", f"r{rack}", "127.0.0.1:1", accelerators)
        for rack, sizes in enumerate(racks)
        for number, accelerators in enumerate(sizes)
    )
    return Pool("p", "gent", "order-desk", servers, tuple(guarantees))


def make_guarantee(
    account: str, level: str, count: int, accelerators: int = 0
) -> Guarantee:
    """Return a guarantee; `accelerators` is for the level of that name."""
    return Guarantee(account, CellLevel(level), count, accelerators)


def make_specification(
    account: str,
    accelerators: int = 1,
    gang: int = 1,
    adjacency: str = "none",
    urgent: bool = False,
) -> JobSpecification:
    """Return a job specification with `accelerators` per member."""
    return JobSpecification(
        account,
        "order-desk",
        accelerators,
        gang,
        Adjacency(adjacency),
        urgent=urgent,
    )


def make_gang(
    job_id: str,
    account: str,
    places: Sequence[tuple[str, Sequence[int]]],
    borrowed: bool,
    **changes: float,
) -> PlacedGang:
    """Return a placed gang; `places` has each member's server and indices."""
    placements = tuple(MemberPlacement(name, tuple(held)) for name, held in places)
    specification = make_specification(
        account, len(placements[0].accelerators), len(placements)
    )
    gang = PlacedGang(job_id, specification, placements, borrowed, started_at=0.0)
    return PlacedGang(
        gang.job_id,
        gang.specification,
        gang.placements,
        gang.borrowed,
        changes.get("started_at", 0.0),
        changes.get("checkpoint_age_seconds", 0.0),
        bool(changes.get("stopping", 0)),
    )


def list_places(pool: Pool, row: Guarantee) -> list[set[tuple[str, int]]]:
    """Return all places of a guaranteed cell, without `placement.cells`."""
    spots = {s.name: [(s.name, i) for i in range(s.accelerators)] for s in pool.servers}
    if row.level is CellLevel.SERVER:
        return [set(server) for server in spots.values()]
    if row.level is CellLevel.RACK:
        return [
            {spot for s in pool.servers if s.rack == rack for spot in spots[s.name]}
            for rack in sorted({s.rack for s in pool.servers})
        ]
    size = row.accelerators
    return [
        set(server[first : first + size])
        for server in spots.values()
        for first in range(0, len(server) - size + 1, size)
    ]
