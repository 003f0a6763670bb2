"""Forecast of when a step starts and ends on a pool, as a lower bound.

It answers the load of a pool that gets more work than it can run. The bound ignores
fragmentation and arrivals to come, and counts only work that certainly goes first, so
that nobody is refused for a wait that would not have happened.
"""

from bisect import bisect_left, bisect_right
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, replace
from math import inf
from operator import attrgetter
from typing import Protocol

from cardamomdyke.model.orders import Shape, StepOrder
from cardamomdyke.scheduling.placement import (
    PoolCapacity,
    ServerCapacity,
    copy_capacity,
    count_fits,
    list_allowed,
    list_groups,
    take_capacity,
)

# Declared run times are off by up to this factor in either direction.
DECLARED_SPREAD = 1.9
# Volumes below this, in amounts times seconds, are errors of floating-point sums.
ROUNDING = 1e-6

# Read an amount of a shape, or a free amount of a server.
RESOURCES = (
    attrgetter("millicores"),
    attrgetter("memory_mb"),
    attrgetter("accelerators"),
)
ReadAmount = Callable[[Shape | ServerCapacity], int]


class RuntimeEstimate(Protocol):
    """Expected run time of a task.

    Attributes
    ----------
    seconds : float
        Expected run time.
    spread : float
        Factor, at least 1, by which it may be off in either direction.
    """

    @property
    def seconds(self) -> float:
        """Expected run time, in seconds."""

    @property
    def spread(self) -> float:
        """Factor by which it may be off in either direction."""


@dataclass(frozen=True, slots=True)
class DeclaredEstimate:
    """Run time as a caller declared it.

    Attributes
    ----------
    seconds : float
        Declared run time.
    spread : float
        Factor by which it may be off in either direction.
    """

    seconds: float
    spread: float = DECLARED_SPREAD


# Takes a queue and a declared run time in seconds.
EstimateFunction = Callable[[str, float], RuntimeEstimate]


def use_declared(queue: str, declared_seconds: float) -> RuntimeEstimate:
    """Return the estimate for a queue of which nothing was learnt."""
    return DeclaredEstimate(declared_seconds)


@dataclass(frozen=True, slots=True)
class Release:
    """Capacity that running work is expected to release on a server.

    Attributes
    ----------
    at : float
        Expected time, in seconds of the caller's clock.
    server : str
        Name of the server.
    shape : Shape
        Resources of the task.
    spread : float
        Factor by which the time until then may be off in either direction.
    """

    at: float
    server: str
    shape: Shape
    spread: float = DECLARED_SPREAD


@dataclass(frozen=True, slots=True)
class WaitingWork:
    """Equal units of a step that wait: single tasks, or gangs.

    Attributes
    ----------
    step : StepOrder
        Step of the tasks.
    units : int
        Number of single tasks, or of gangs.
    seconds : float
        Expected run time of a task.
    spread : float
        Factor by which it may be off in either direction.
    """

    step: StepOrder
    units: int
    seconds: float
    spread: float = DECLARED_SPREAD

    @property
    def unit_tasks(self) -> int:
        """Number of tasks that start together."""
        return self.step.count if self.step.gang else 1


@dataclass(frozen=True, slots=True)
class Forecast:
    """Earliest time at which a step starts and ends.

    Attributes
    ----------
    start : float
        When its first task or gang starts; infinite if that never fits.
    last_start : float
        When all its tasks have started.
    end : float
        When all its tasks are done.
    spread : float
        Factor by which the times from now on may be off in either direction.
    """

    start: float
    last_start: float
    end: float
    spread: float


def forecast_start(
    pool_capacity: PoolCapacity,
    releases: Iterable[Release],
    ahead: Iterable[WaitingWork],
    work: WaitingWork,
    now: float,
) -> Forecast:
    """Forecast the start and the end of a step's tasks.

    Its cost is in proportion to the number of servers, releases and waiting units, not
    to their products.

    Parameters
    ----------
    pool_capacity : PoolCapacity
        Free capacity by server.
    releases : iterable of Release
        Capacity that running work will release.
    ahead : iterable of WaitingWork
        Work that ranks before the step, in order.
    work : WaitingWork
        The step's units.
    now : float
        Time in seconds, by the clock of the releases.

    Returns
    -------
    Forecast
        The later of two lower bounds: that of the running work by server, and that
        of the pool's total capacity after the work that ranks before.
    """
    ordered = sorted(releases, key=lambda item: item.at)
    own_start, own_last = find_fit(pool_capacity, ordered, work, now)
    blockers = [item for item in ahead if goes_before(item, work)]
    queue_start, queue_last = find_turn(pool_capacity, ordered, blockers, work, now)
    start, last = max(own_start, queue_start), max(own_last, queue_last)
    if start == inf:
        return Forecast(inf, inf, inf, 1.0)
    spread = find_spread([item for item in ordered if item.at <= last], blockers)
    return Forecast(start, last, last + work.seconds, spread)


def goes_before(item: WaitingWork, work: WaitingWork) -> bool:
    """Return whether waiting work of a better rank starts first wherever both fit.

    Larger units may have to wait while smaller ones start, and so may work that needs
    a label, a rack, the rack of its data or different servers.
    """
    step, shape = item.step, item.step.shape
    own = work.step.shape
    needs_rack = step.rack_sensitive and step.gang
    is_same = shape == own and step.count == work.step.count
    is_smaller = (
        shape.millicores <= own.millicores
        and shape.memory_mb <= own.memory_mb
        and shape.accelerators <= own.accelerators
        and item.unit_tasks <= work.unit_tasks
    )
    is_bound = (
        step.required_label not in ("", work.step.required_label)
        or (needs_rack and not (is_same and work.step.rack_sensitive))
        or bool(step.server_limit or step.data_rack)
    )
    return is_smaller and not is_bound


def find_fit(
    pool_capacity: PoolCapacity,
    releases: Sequence[Release],
    work: WaitingWork,
    now: float,
) -> tuple[float, float]:
    """Return when the first unit and all tasks fit beside the running work.

    Parameters
    ----------
    pool_capacity : PoolCapacity
        Free capacity by server; not changed.
    releases : sequence of Release
        Capacity that running work will release, in order of time.
    work : WaitingWork
        The step's units.
    now : float
        Time in seconds.

    Returns
    -------
    (float, float)
        Infinite if even the empty servers do not suffice. More single tasks than fit
        at once are taken for started when the pool is full of them.
    """
    step = work.step
    groups = list_groups(list_allowed(pool_capacity, step), step, work.unit_tasks)
    group_of: dict[str, int] = {}
    free: dict[str, ServerCapacity] = {}
    fits: list[int] = []
    most = 0
    for number, group in enumerate(groups):
        fits.append(0)
        for server in group:
            group_of[server.name] = number
            free[server.name] = copy_capacity(server)
            fits[number] += limit_fits(count_fits(server, step.shape), step)
            most += limit_fits(count_fits(server.total, step.shape), step)
    first_need = work.unit_tasks
    last_need = min(work.units * work.unit_tasks, most)
    if step.gang:
        last_need = first_need
    start = now if max(fits, default=0) >= first_need else inf
    last = now if last_need and max(fits, default=0) >= last_need else inf
    for release in releases:
        if last < inf:
            break
        capacity = free.get(release.server)
        if capacity is None:
            continue
        number = group_of[release.server]
        fits[number] -= limit_fits(count_fits(capacity, step.shape), step)
        take_capacity(capacity, release.shape, -1)
        fits[number] += limit_fits(count_fits(capacity, step.shape), step)
        if fits[number] >= first_need:
            start = min(start, max(now, release.at))
        if fits[number] >= last_need:
            last = max(now, release.at)
    if start < inf and last == inf and not step.gang:
        # Servers that hold something without an end hold it for good.
        last = start
    return start, last


@dataclass(frozen=True, slots=True)
class FreeProfile:
    """Free amount of one resource over time, while nothing more starts.

    Attributes
    ----------
    times : list of float
        Now, and then the times of the releases, in seconds.
    free : list of int
        Free amount from each time on.
    areas : list of float
        Integral of the free amount up to each time.
    """

    times: list[float]
    free: list[int]
    areas: list[float]


@dataclass(frozen=True, slots=True)
class Backlog:
    """Need of waiting work for one resource, the longest run times first.

    Attributes
    ----------
    amounts : list of int
        Sum of the amounts up to each item, from 0.
    volumes : list of float
        Sum of the amounts times run times up to each item, from 0.
    """

    amounts: list[int]
    volumes: list[float]

    def measure_longest(self, amount: int) -> float:
        """Return the volume of the longest work that takes an amount in all."""
        position = bisect_right(self.amounts, amount) - 1
        volume = self.volumes[position]
        if position + 1 < len(self.amounts):
            step = self.amounts[position + 1] - self.amounts[position]
            part = (amount - self.amounts[position]) / step
            volume += part * (self.volumes[position + 1] - volume)
        return volume


def find_turn(
    pool_capacity: PoolCapacity,
    releases: Sequence[Release],
    blockers: Iterable[WaitingWork],
    work: WaitingWork,
    now: float,
) -> tuple[float, float]:
    """Return when a step's first unit and all its tasks can start after other work.

    When a unit starts, all work before it has started. What of that still runs then
    fits beside the unit, and the rest has used free capacity since now. The first time
    at which both are possible, for each resource, is the bound.

    Parameters
    ----------
    pool_capacity : PoolCapacity
        Free capacity by server; not changed.
    releases : sequence of Release
        Capacity that running work will release, in order of time.
    blockers : iterable of WaitingWork
        Work that starts first.
    work : WaitingWork
        The step's units.
    now : float
        Time in seconds.

    Returns
    -------
    (float, float)
        Infinite if the pool is too small for a unit.
    """
    first = sorted(blockers, key=lambda item: -item.seconds)
    others = replace(work, units=work.units - 1)
    last = sorted([*first, others], key=lambda item: -item.seconds)
    times = [now, now]
    for read in RESOURCES:
        need = read(work.step.shape) * work.unit_tasks
        if not need:
            # What goes first needs none of it either.
            continue
        profile = make_profile(pool_capacity, releases, read, now)
        for number, items in enumerate((first, last)):
            room_at = find_room(profile, make_backlog(items, read), need)
            times[number] = max(times[number], room_at)
    return times[0], times[1]


def make_profile(
    pool_capacity: PoolCapacity,
    releases: Iterable[Release],
    read: ReadAmount,
    now: float,
) -> FreeProfile:
    """Return the free amount of one resource in a pool."""
    by_name = pool_capacity.by_name
    free = [sum(max(0, read(item)) for item in by_name.values())]
    times, areas = [now], [0.0]
    for release in releases:
        amount = read(release.shape)
        if release.server not in by_name or not amount:
            continue
        at = max(now, release.at)
        areas.append(areas[-1] + free[-1] * (at - times[-1]))
        times.append(at)
        free.append(free[-1] + amount)
    return FreeProfile(times, free, areas)


def make_backlog(items: Iterable[WaitingWork], read: ReadAmount) -> Backlog:
    """Return the need for one resource, of work in descending order of run times."""
    amounts, volumes = [0], [0.0]
    for item in items:
        amount = read(item.step.shape) * item.units * item.unit_tasks
        if amount:
            amounts.append(amounts[-1] + amount)
            volumes.append(volumes[-1] + amount * item.seconds)
    return Backlog(amounts, volumes)


def find_room(profile: FreeProfile, backlog: Backlog, need: int) -> float:
    """Return when the free capacity suffices for a need after a backlog.

    Returns
    -------
    float
        Seconds by the clock of the profile; infinite for a need that never fits.
    """
    volume = backlog.volumes[-1]

    def find_missing(number: int) -> float:
        room = profile.free[number] - need
        if room < 0:
            return inf
        return volume - backlog.measure_longest(room) - profile.areas[number]

    count = len(profile.times)
    number = bisect_left(
        range(count), True, key=lambda item: find_missing(item) <= ROUNDING
    )
    if number == 0:
        return profile.times[0]
    later = profile.times[number] if number < count else inf
    missing, free = find_missing(number - 1), profile.free[number - 1]
    if missing == inf or not free:
        return later
    return min(later, profile.times[number - 1] + missing / free)


def find_spread(releases: Iterable[Release], blockers: Iterable[WaitingWork]) -> float:
    """Return the mean spread of what a forecast is based on, weighted by work."""
    weight, weighted = 0.0, 0.0
    for item in releases:
        weight += 1.0
        weighted += item.spread
    for blocker in blockers:
        tasks = blocker.units * blocker.unit_tasks
        weight += tasks
        weighted += tasks * blocker.spread
    return weighted / weight if weight else 1.0


def limit_fits(fits: int, step: StepOrder) -> int:
    """Return how many tasks of a step may run on a server that has room for `fits`."""
    return min(fits, step.server_limit) if step.server_limit else fits
