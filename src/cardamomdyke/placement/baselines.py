"""Baseline placement policies to compare the cell policy with."""

from dataclasses import dataclass
from typing import TypeVar

from xxhash import xxh3_64_intdigest

from cardamomdyke.model.jobs import Adjacency, JobSpecification, MemberPlacement
from cardamomdyke.model.tables import BackendServer, Pool
from cardamomdyke.placement.plan import PlannedStart, PoolPlan, PoolState, plan_pool

Choice = TypeVar("Choice")


@dataclass(frozen=True, slots=True)
class FirstFit:
    """First fit in arrival order; a job that does not fit blocks those behind it."""


@dataclass(frozen=True, slots=True)
class LeastLoadedRandom:
    """Power of two choices: the less loaded of two random servers for each member.

    Jobs that do not fit are skipped.

    Attributes
    ----------
    seed : int
        Seed of the random choices.
    """

    seed: int = 0


@plan_pool.register
def plan_first_fit(policy: FirstFit, state: PoolState, now: float) -> PoolPlan:
    """Start queued jobs in arrival order until one does not fit."""
    in_use = list_in_use(state)
    starts = []
    for job in state.queued:
        placements = choose_placements(state, job.specification, in_use)
        if placements is None:
            break
        for placement in placements:
            in_use[placement.server].update(placement.accelerators)
        starts.append(PlannedStart(job.job_id, placements, borrowed=False))
    return PoolPlan(tuple(starts))


def list_in_use(state: PoolState) -> dict[str, set[int]]:
    """Return the accelerator indices in use, by backend server."""
    in_use: dict[str, set[int]] = {server.name: set() for server in state.pool.servers}
    for gang in state.placed:
        for placement in gang.placements:
            in_use.get(placement.server, set()).update(placement.accelerators)
    return in_use


def list_server_groups(
    pool: Pool, adjacency: Adjacency
) -> list[tuple[BackendServer, ...]]:
    """Return the server groups that may hold a whole gang."""
    if adjacency is Adjacency.SERVER:
        return [(server,) for server in pool.servers]
    if adjacency is Adjacency.NONE:
        return [pool.servers]
    racks = sorted({server.rack for server in pool.servers})
    return [tuple(s for s in pool.servers if s.rack == rack) for rack in racks]


def choose_placements(
    state: PoolState, specification: JobSpecification, in_use: dict[str, set[int]]
) -> tuple[MemberPlacement, ...] | None:
    """Choose accelerators by first fit; None when not all members fit."""
    size = specification.accelerators_per_task
    for group in list_server_groups(state.pool, specification.adjacency):
        placements: list[MemberPlacement] = []
        for server in group:
            if server.name in state.unusable:
                continue
            indices = range(server.accelerators)
            free = [index for index in indices if index not in in_use[server.name]]
            while len(free) >= size and len(placements) < specification.gang_size:
                placements.append(MemberPlacement(server.name, tuple(free[:size])))
                free = free[size:]
        if len(placements) == specification.gang_size:
            return tuple(placements)
    return None


@plan_pool.register
def plan_least_loaded(
    policy: LeastLoadedRandom, state: PoolState, now: float
) -> PoolPlan:
    """Start each queued job that fits, at random places."""
    in_use = list_in_use(state)
    starts = []
    for job in state.queued:
        seed = xxh3_64_intdigest(f"{job.job_id}/{now!r}".encode(), policy.seed)
        placements = draw_placements(state, job.specification, in_use, seed)
        if placements is None:
            continue
        for placement in placements:
            in_use[placement.server].update(placement.accelerators)
        starts.append(PlannedStart(job.job_id, placements, borrowed=False))
    return PoolPlan(tuple(starts))


def draw_placements(
    state: PoolState,
    specification: JobSpecification,
    in_use: dict[str, set[int]],
    seed: int,
) -> tuple[MemberPlacement, ...] | None:
    """Draw from the less loaded of two random groups with room; None if none has."""
    size = specification.accelerators_per_task
    candidates = []
    for group in list_server_groups(state.pool, specification.adjacency):
        free = {
            server.name: [
                i for i in range(server.accelerators) if i not in in_use[server.name]
            ]
            for server in group
            if server.name not in state.unusable
        }
        if sum(len(f) // size for f in free.values()) >= specification.gang_size:
            candidates.append(free)
    if not candidates:
        return None
    free = max(draw_two(candidates, seed), key=lambda f: sum(map(len, f.values())))
    placements = []
    for member in range(specification.gang_size):
        names = [name for name, indices in free.items() if len(indices) >= size]
        member_seed = xxh3_64_intdigest(member.to_bytes(4), seed)
        name = max(draw_two(names, member_seed), key=lambda n: len(free[n]))
        placements.append(MemberPlacement(name, tuple(free[name][:size])))
        free[name] = free[name][size:]
    return tuple(placements)


def draw_two(choices: list[Choice], seed: int) -> tuple[Choice, Choice]:
    """Draw two entries, which may be the same one."""
    return choices[seed % len(choices)], choices[(seed >> 32) % len(choices)]
