"""Free capacity of the backend servers that accept starts."""

from cardamomdyke.planner.crashes import find_watched_servers
from cardamomdyke.planner.polls import measure_free_capacity
from cardamomdyke.planner.servers import Server
from cardamomdyke.planner.state import PlannerState
from cardamomdyke.scheduling.placement import PoolCapacity, ServerCapacity

# Checks outside this repository import it from here.
from cardamomdyke.scheduling.placement import count_fits as count_fits

# A server that has not answered for this long gets no new work.
MAX_CONTACT_AGE_SECONDS = 3.0


def make_pool_capacity(state: PlannerState, pool: str, now: float) -> PoolCapacity:
    """Return the free capacity of a pool's usable servers."""
    return measure_servers(state, pool, now, suspended=False)


def make_suspended_capacity(state: PlannerState, pool: str, now: float) -> PoolCapacity:
    """Return the free capacity of a pool's servers that are usable but suspended."""
    return measure_servers(state, pool, now, suspended=True)


def measure_servers(
    state: PlannerState, pool: str, now: float, suspended: bool
) -> PoolCapacity:
    """Return the free capacity of a pool's servers that are suspended, or are not."""
    pool_capacity = PoolCapacity()
    watched = find_watched_servers(state)
    for name, server in state.servers.items():
        if (server.suspended_until > now) is not suspended:
            continue
        if name not in watched and check_usable(state, server, pool, now):
            free = measure_free_capacity(server)
            pool_capacity.by_name[name] = ServerCapacity(
                name,
                server.entry.rack,
                server.entry.labels,
                server.entry.capacity,
                free.millicores,
                free.memory_mb,
                free.accelerators,
                server.suspect_until > now,
                state.learning.find_slowness(pool, name),
            )
    return pool_capacity


def check_usable(state: PlannerState, server: Server, pool: str, now: float) -> bool:
    """Check that a pool's server is in service, answers and accepts starts.

    Whether it is suspended is left to the caller.
    """
    if not is_in_service(state, server, pool):
        return False
    answering = not server.failing_since and server.reading is not None
    # Starts need a lease.
    answering = answering and server.entry.name not in state.silences
    recent = now - server.last_contact_at <= MAX_CONTACT_AGE_SECONDS
    return answering and recent and server.starts_paused_until <= now


def is_in_service(state: PlannerState, server: Server, pool: str) -> bool:
    """Return whether a pool lists a server that is neither draining nor evacuated."""
    entry = server.entry
    if entry.pool != pool or not server.listed or entry.draining:
        return False
    return entry.failure_domain not in state.evacuated
