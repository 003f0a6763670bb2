"""Processor time and memory of one placement decision, by number of servers."""

from resource import RUSAGE_SELF, getrusage
from time import process_time
from tracemalloc import get_traced_memory, start, stop

from fire import Fire
from msgspec.json import encode
from numpy import array, polyfit, polyval, sqrt
from numpy.random import default_rng

from cardamomdyke.model.jobs import JobSpecification, MemberPlacement
from cardamomdyke.model.tables import BackendServer, CellLevel, Guarantee, Pool
from cardamomdyke.placement.plan import PlacedGang, PoolState, QueuedJob, plan_pool
from cardamomdyke.placement.policy import make_default_policy

SIZES = (24, 106, 740)
SERVERS_PER_RACK = 8
# 740 backend servers then hold 14,060 tasks of 1 accelerator.
ACCELERATORS_PER_SERVER = 19
USED_SHARE = 0.99
GANG_SIZES = (1, 1, 4, 16, 64)
CLIENT_ACCOUNTS = 26
GUARANTEED_SHARE = 0.5
QUEUED_JOBS = 20
REPETITIONS = 9


def make_state(servers: int, seed: int) -> PoolState:
    """Return a pool with 99 % of its accelerators in use and 20 queued jobs."""
    random = default_rng(seed)
    rows = tuple(
        BackendServer(
            f"w{number}",
            f"r{number // SERVERS_PER_RACK}",
            "127.0.0.1:1",
            ACCELERATORS_PER_SERVER,
        )
        for number in range(servers)
    )
    guaranteed_servers = max(1, int(servers * GUARANTEED_SHARE / CLIENT_ACCOUNTS))
    account_count = min(CLIENT_ACCOUNTS, int(servers * GUARANTEED_SHARE))
    guarantees = tuple(
        Guarantee(f"account-{number}", CellLevel.SERVER, guaranteed_servers)
        for number in range(account_count)
    )
    pool = Pool("p", "d", "s", rows, guarantees)
    slots = [(row.name, i) for row in rows for i in range(ACCELERATORS_PER_SERVER)]
    slots = slots[: int(len(slots) * USED_SHARE)]
    placed: list[PlacedGang] = []
    while slots:
        size = int(random.choice(GANG_SIZES))
        members, slots = slots[:size], slots[size:]
        placed.append(
            PlacedGang(
                f"gang-{len(placed)}",
                JobSpecification("lender", "s", 1, len(members)),
                tuple(MemberPlacement(name, (index,)) for name, index in members),
                borrowed=True,
                started_at=0.0,
                checkpoint_age_seconds=float(random.uniform(0, 600)),
            )
        )
    queued = tuple(
        QueuedJob(
            f"job-{number}",
            JobSpecification(f"account-{number % account_count}", "s", 1, 1),
            float(number),
        )
        for number in range(QUEUED_JOBS)
    )
    return PoolState(pool, queued, tuple(placed))


def time_plan(state: PoolState) -> float:
    """Return the median processor seconds of one decision."""
    policy = make_default_policy()
    times = []
    for _ in range(REPETITIONS):
        started_at = process_time()
        plan_pool(policy, state, 1000.0)
        times.append(process_time() - started_at)
    return sorted(times)[REPETITIONS // 2]


def measure_memory(servers: int) -> int:
    """Return the bytes allocated for a pool state of this size."""
    start()
    state = make_state(servers, 0)
    allocated_bytes, _ = get_traced_memory()
    stop()
    assert state.placed
    return allocated_bytes


def measure_capacity() -> None:
    """Print processor time, memory and their linear fits as JSON."""
    points = []
    for servers in SIZES:
        state = make_state(servers, 0)
        idle_state = PoolState(state.pool, (), state.placed)
        tasks = sum(len(gang.placements) for gang in state.placed)
        points.append(
            {
                "servers": servers,
                "tasks": tasks,
                "plan_idle_ms": 1000 * time_plan(idle_state),
                "plan_20_queued_ms": 1000 * time_plan(state),
                "state_kb": measure_memory(servers) / 1000,
            }
        )
    fits = {
        name: fit_line([p["servers"] for p in points], [p[name] for p in points])
        for name in ("plan_idle_ms", "plan_20_queued_ms", "state_kb")
    }
    peak = getrusage(RUSAGE_SELF).ru_maxrss / 1000
    print(encode({"points": points, "fits": fits, "peak_mb": peak}).decode())


def fit_line(sizes: list[float], values: list[float]) -> dict[str, float]:
    """Fit a line; return slope per server, intercept and RMS residual."""
    slope, intercept = polyfit(array(sizes), array(values), 1)
    residuals = array(values) - polyval([slope, intercept], array(sizes))
    return {
        "per_server": float(slope),
        "intercept": float(intercept),
        "residual": float(sqrt((residuals**2).mean())),
    }


if __name__ == "__main__":
    Fire(measure_capacity)
