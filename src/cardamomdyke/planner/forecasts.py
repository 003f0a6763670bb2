"""Expected waits by pool and priority, for the summaries that entry VMs decide by."""

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field, replace
from math import ceil, inf

from cardamomdyke.jobs.layout import Entry
from cardamomdyke.model.orders import Shape, StepOrder
from cardamomdyke.planner.pending import PendingReason
from cardamomdyke.planner.placement import is_in_service
from cardamomdyke.planner.preemption import may_preempt
from cardamomdyke.planner.servers import Server
from cardamomdyke.planner.state import URGENT_PRIORITY, PlannerState, list_holders
from cardamomdyke.planner.summaries import SUMMARY_PREFIX, encode_summary
from cardamomdyke.scheduling.admission import ExpectedWait, PoolSummary
from cardamomdyke.scheduling.forecast import (
    EstimateFunction,
    Release,
    WaitingWork,
    forecast_start,
    use_declared,
)
from cardamomdyke.scheduling.placement import PoolCapacity, ServerCapacity
from cardamomdyke.scheduling.preemption import Requester

# Reasons for which a unit takes the next capacity that suffices.
CAPACITY_REASONS = frozenset(
    {PendingReason.PLACEMENT, PendingReason.RESERVATION, PendingReason.HEADROOM}
)
# Kinds of work in a summary, for each priority; the one with the most work first.
MAX_KINDS = 3
# No objective is so short that a shorter wait would make its job worthless.
MIN_WAIT_SECONDS = 1.0
# A wait that has changed by less than this factor is not published again. The spread of
# a published one allows for it, so that nobody is refused by a wait that is over.
CHANGE_FACTOR = 1.1
# Bounds of the records beside a heartbeat, which one append takes with progress.
MAX_APPEND_BYTES = 16_384
MAX_POOLS = 50
MAX_WAITS = 12
MAX_ACCOUNTS = 10
# The store's keys have 255 bytes at most, this one with its prefix.
MAX_NAME_BYTES = 254
# Waits come and go with each gang on a pool that is just full.
LOG_PERIOD_SECONDS = 5.0
# A server that restarts is not listed for a while, so a new planner claims only after
# this time to know the largest one.
LISTING_SECONDS = 10.0
MILLICORES = 1000.0
CORES_PER_ACCELERATOR = 8.0


@dataclass(frozen=True, slots=True)
class Kind:
    """What units have in common that wait for the same.

    Attributes
    ----------
    shape : Shape
        Resources of each task.
    unit_tasks : int
        Number of tasks that start together.
    one_rack : bool
        True if all tasks need the same rack.
    """

    shape: Shape
    unit_tasks: int
    one_rack: bool


@dataclass(slots=True)
class WaitingGroup:
    """Waiting units of one kind, rank and expected run time.

    Attributes
    ----------
    step : StepOrder
        Step of some of the units; the one with the fewest tasks.
    seconds : float
        Expected run time.
    spread : float
        Factor by which it may be off in either direction.
    runtime_factor : float
        Largest ratio of a run time to the declared one.
    units : int
        Number of units.
    """

    step: StepOrder
    seconds: float
    spread: float
    runtime_factor: float
    units: int = 0

    @property
    def volume(self) -> float:
        """Work of the units, in core seconds."""
        shape = self.step.shape
        cores = shape.millicores / MILLICORES
        cores += shape.accelerators * CORES_PER_ACCELERATOR
        tasks = self.units * (self.step.count if self.step.gang else 1)
        return tasks * cores * self.seconds


# Priority, beyond its share, kind, queue, declared run time, label, server limit, and
# whether its data lies in a rack.
GroupKey = tuple[int, bool, Kind, str, float, str, int, bool]


def make_kind(step: StepOrder) -> Kind:
    """Return the kind of a step's units."""
    return Kind(
        step.shape,
        step.count if step.gang else 1,
        step.gang and step.rack_sensitive and step.count > 1,
    )


def list_waiting(
    state: PlannerState, estimate: EstimateFunction
) -> dict[str, dict[GroupKey, WaitingGroup]]:
    """Return the units that wait for capacity, by pool."""
    pools: dict[str, dict[GroupKey, WaitingGroup]] = {}
    for job in state.jobs.values():
        if job.is_final:
            continue
        record = job.record
        for unit in job.units.values():
            if unit.done or unit.attempt is not None:
                continue
            if unit.pending_reason not in CAPACITY_REASONS:
                continue
            step = job.find_step(unit)
            key = (
                record.priority,
                job.beyond_share,
                make_kind(step),
                record.queue,
                step.estimated_seconds,
                step.required_label,
                step.server_limit,
                bool(step.data_rack),
            )
            groups = pools.setdefault(record.pool, {})
            group = groups.get(key)
            if group is None:
                group = groups[key] = make_group(record.queue, step, estimate)
            elif step.count < group.step.count:
                group.step = step
            group.units += 1
    return pools


def make_group(queue: str, step: StepOrder, estimate: EstimateFunction) -> WaitingGroup:
    """Create an empty group for units of a step."""
    declared = step.estimated_seconds
    expected = estimate(queue, declared)
    factor = expected.seconds * expected.spread / declared if declared else 1.0
    return WaitingGroup(step, expected.seconds, expected.spread, max(1.0, factor))


def make_capacity(state: PlannerState, pool: str) -> PoolCapacity:
    """Return the free capacity of a pool's servers that are in service.

    Those that do not answer now are counted too: a new planner has heard of none yet,
    and a wait must not be taken for longer than it is.
    """
    capacity = PoolCapacity()
    for name, server in state.servers.items():
        if not is_in_service(state, server, pool):
            continue
        used = server.holders.values()
        entry = server.entry
        capacity.by_name[name] = ServerCapacity(
            name,
            entry.rack,
            entry.labels,
            entry.capacity,
            entry.capacity.millicores - sum(item.millicores for item in used),
            entry.capacity.memory_mb - sum(item.memory_mb for item in used),
            entry.capacity.accelerators - sum(item.accelerators for item in used),
        )
    return capacity


def list_releases(
    state: PlannerState,
    pool_capacity: PoolCapacity,
    priority: int,
    now: float,
    estimate: EstimateFunction,
) -> Iterator[Release]:
    """Yield when running work releases its capacity to work of a priority.

    Urgent work gets what it may preempt after the time of a stop.
    """
    requester = Requester(priority, False, False)
    stopped_at = now + state.limits.stop_seconds
    for name in pool_capacity.by_name:
        for job, unit, member in list_holders(state, state.servers[name]):
            step, attempt = job.find_step(unit), unit.attempt
            at, spread = inf, 1.0
            if not step.long_running and attempt is not None:
                expected = estimate(job.record.queue, step.estimated_seconds)
                at = max(now, attempt.started_at + expected.seconds)
                spread = expected.spread
            if priority == URGENT_PRIORITY and attempt is not None:
                if may_preempt(requester, job, step, attempt):
                    at, spread = min(at, stopped_at), 1.0
            if member.stop_requested:
                at, spread = now, 1.0
            if at < inf:
                yield Release(at, name, step.shape, spread)


def find_waits(
    state: PlannerState,
    pool: str,
    groups: Mapping[GroupKey, WaitingGroup],
    now: float,
    estimate: EstimateFunction,
) -> tuple[ExpectedWait, ...]:
    """Return the expected wait of new work, for each kind that waits now.

    New work is taken to be within its account's share.
    """
    capacity = make_capacity(state, pool)
    ranked = sorted(groups.items(), key=lambda item: item[0][:2])
    waits: list[ExpectedWait] = []
    for priority in sorted({key[0] for key in groups}):
        releases = list(list_releases(state, capacity, priority, now, estimate))
        ahead = [
            WaitingWork(group.step, group.units, group.seconds, group.spread)
            for key, group in ranked
            if key[0] < priority or (key[0] == priority and not key[1])
        ]
        own = [(key[2], group) for key, group in ranked if key[0] == priority]
        for kind, members in choose_kinds(own):
            probe = make_probe(kind, members)
            forecast = forecast_start(capacity, releases, ahead, probe, now)
            seconds = forecast.last_start - now
            if MIN_WAIT_SECONDS <= seconds < inf:
                waits.append(
                    ExpectedWait(
                        priority,
                        kind.shape,
                        kind.unit_tasks,
                        probe.step.count,
                        kind.one_rack,
                        round(seconds, 2),
                        round(forecast.spread * CHANGE_FACTOR, 2),
                        # In steps, so that learning changes few summaries.
                        ceil(max(group.runtime_factor for group in members) * 10) / 10,
                    )
                )
    return tuple(waits[:MAX_WAITS])


def choose_kinds(
    groups: Iterable[tuple[Kind, WaitingGroup]],
) -> list[tuple[Kind, list[WaitingGroup]]]:
    """Return the kinds with the most waiting work, and their groups."""
    by_kind: dict[Kind, list[WaitingGroup]] = {}
    for kind, group in groups:
        by_kind.setdefault(kind, []).append(group)
    volumes = {
        kind: sum(group.volume for group in members)
        for kind, members in by_kind.items()
    }
    chosen = sorted(by_kind, key=lambda kind: -volumes[kind])[:MAX_KINDS]
    return [(kind, by_kind[kind]) for kind in chosen]


def make_probe(kind: Kind, groups: Iterable[WaitingGroup]) -> WaitingWork:
    """Return new work of a kind, with the fewest tasks and shortest run time of it."""
    members = list(groups)
    smallest = min((group.step for group in members), key=lambda step: step.count)
    step = replace(
        smallest,
        required_label="",
        server_limit=0,
        data_rack="",
        rack_sensitive=kind.one_rack,
    )
    seconds = min(group.seconds for group in members)
    return WaitingWork(step, 1 if step.gang else step.count, seconds)


def find_largest(shapes: Iterable[Shape]) -> Shape:
    """Return the largest amount of each resource in any shape."""
    largest = Shape()
    for shape in shapes:
        largest = Shape(
            max(largest.millicores, shape.millicores),
            max(largest.memory_mb, shape.memory_mb),
            max(largest.accelerators, shape.accelerators),
        )
    return largest


def list_racks(servers: Iterable[Server]) -> list[Shape]:
    """Return the total capacity of each rack."""
    racks: dict[str, Shape] = {}
    for server in servers:
        entry, total = server.entry, racks.get(server.entry.rack, Shape())
        racks[entry.rack] = Shape(
            total.millicores + entry.capacity.millicores,
            total.memory_mb + entry.capacity.memory_mb,
            total.accelerators + entry.capacity.accelerators,
        )
    return list(racks.values())


@dataclass
class SummaryPublisher:
    """Makes the records of summaries that have changed.

    Attributes
    ----------
    estimate : EstimateFunction
        Returns the expected run time of a queue's tasks.
    published : dict of str to PoolSummary
        Summary in the store, by pool.
    largest : dict of str to Shape
        Largest amount of each resource that a server of a pool had in this term. A
        server that restarts is not listed for a while.
    logged_at : dict of str to float
        When a change of a pool's waits was last logged, in steady-clock seconds.
    logged : dict of str to tuple of int
        Priorities with a wait, as last logged, by pool.
    """

    estimate: EstimateFunction = use_declared
    published: dict[str, PoolSummary] = field(default_factory=dict)
    largest: dict[str, Shape] = field(default_factory=dict)
    logged_at: dict[str, float] = field(default_factory=dict)
    logged: dict[str, tuple[int, ...]] = field(default_factory=dict)

    def list_records(
        self, state: PlannerState, known_pools: Iterable[str], now: float
    ) -> list[Entry]:
        """Return the records to append with a heartbeat.

        Parameters
        ----------
        state : PlannerState
            State of the planner; gets the log lines.
        known_pools : iterable of str
            Pools of which the store holds a summary.
        now : float
            Steady-clock seconds.

        Returns
        -------
        list of Entry
            Summaries that changed, and removals of those that are out of use.
        """
        pools = list_pools(state)
        waiting = list_waiting(state, self.estimate)
        entries: list[Entry] = [
            (SUMMARY_PREFIX + pool, b"") for pool in known_pools if pool not in pools
        ]
        for pool in set(self.published) - set(pools):
            del self.published[pool]
        room = MAX_APPEND_BYTES
        for pool in pools:
            summary = self.make_summary(state, pool, waiting.get(pool, {}), now)
            self.log_change(state, pool, summary, now)
            former = self.published.get(pool)
            if former is not None and not is_changed(former, summary):
                continue
            self.published[pool] = summary
            value = encode_summary(summary)
            room -= len(value)
            if room < 0:
                # It follows with a later heartbeat; this one must not confirm the old.
                del self.published[pool]
                value = b""
            entries.append((SUMMARY_PREFIX + pool, value))
        return entries

    def list_withdrawals(self) -> list[Entry]:
        """Return the removal of all summaries, which are published anew afterwards."""
        entries = [(SUMMARY_PREFIX + pool, b"") for pool in self.published]
        self.published.clear()
        return entries

    def make_summary(
        self,
        state: PlannerState,
        pool: str,
        groups: Mapping[GroupKey, WaitingGroup],
        now: float,
    ) -> PoolSummary:
        """Return the summary of a pool."""
        servers = [
            server
            for server in state.servers.values()
            if server.listed and server.entry.pool == pool
        ]
        known = self.largest.get(pool, Shape())
        shapes = [server.entry.capacity for server in servers]
        self.largest[pool] = find_largest([known, *shapes])
        accounts = sorted(
            {
                job.record.account
                for job in state.jobs.values()
                if job.beyond_share and not job.begun and job.record.pool == pool
                if len(job.record.account) <= MAX_NAME_BYTES
            }
        )
        return PoolSummary(
            state.fence,
            round(now + state.unix_offset, 3),
            len(servers) if now - state.took_over_at >= LISTING_SECONDS else 0,
            self.largest[pool],
            find_largest(list_racks(servers)),
            find_waits(state, pool, groups, now, self.estimate),
            tuple(accounts[:MAX_ACCOUNTS]),
        )

    def log_change(
        self, state: PlannerState, pool: str, summary: PoolSummary, now: float
    ) -> None:
        """Write a line when work of a priority begins to wait, or no longer does."""
        priorities = tuple(sorted({wait.priority for wait in summary.waits}))
        if priorities == self.logged.get(pool, ()):
            return
        if now - self.logged_at.get(pool, -inf) < LOG_PERIOD_SECONDS:
            return
        self.logged[pool], self.logged_at[pool] = priorities, now
        waits = {
            str(priority): max(
                wait.seconds for wait in summary.waits if wait.priority == priority
            )
            for priority in priorities
        }
        state.note("forecast.changed", pool, waits=waits)


def list_pools(state: PlannerState) -> list[str]:
    """Return the pools with a summary: those of routes whose machines are on."""
    if state.tables is None:
        return []
    pools = state.tables.pools
    names = dict.fromkeys(route.pool for route in state.tables.routes)
    usable = [
        name
        for name in names
        if len(name.encode()) <= MAX_NAME_BYTES
        and not (name in pools and pools[name].standby)
    ]
    return usable[:MAX_POOLS]


def is_changed(former: PoolSummary, summary: PoolSummary) -> bool:
    """Return whether a summary differs from the published one by enough to matter."""
    same = replace(summary, made_at=former.made_at, waits=former.waits)
    if same != former or len(summary.waits) != len(former.waits):
        return True
    for old, new in zip(former.waits, summary.waits, strict=True):
        level = replace(new, seconds=old.seconds, spread=old.spread)
        ratios = (new.seconds / old.seconds, new.least_seconds / old.least_seconds)
        if level != old or not all(
            1 / CHANGE_FACTOR <= ratio <= CHANGE_FACTOR for ratio in ratios
        ):
            return True
    return False
