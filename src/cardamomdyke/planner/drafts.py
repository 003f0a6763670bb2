"""Working state and caches of one planning pass."""

from dataclasses import dataclass, field

from cardamomdyke.model.orders import Shape, StepOrder
from cardamomdyke.planner.endings import may_await_end
from cardamomdyke.planner.headroom import Headroom, make_headroom
from cardamomdyke.planner.inputs import UnitKey
from cardamomdyke.planner.placement import make_pool_capacity, make_suspended_capacity
from cardamomdyke.planner.preemption import make_victim_index
from cardamomdyke.planner.quotas import Allowance
from cardamomdyke.planner.state import PlannerState, list_holders
from cardamomdyke.scheduling.ordering import Rank
from cardamomdyke.scheduling.placement import (
    PoolCapacity,
    ServerCapacity,
    copy_capacity,
    take_capacity,
)
from cardamomdyke.scheduling.preemption import Requester
from cardamomdyke.scheduling.victims import Victim, VictimIndex


@dataclass(frozen=True, slots=True)
class Requirements:
    """What decides whether a unit fits, except its number of tasks.

    Attributes
    ----------
    pool : str
        Pool of the job.
    shape : Shape
        Resources of each task.
    rack_sensitive : bool
        True if all tasks must run in one rack.
    required_label : str
        Label that the servers must have; empty for any.
    """

    pool: str
    shape: Shape
    rack_sensitive: bool
    required_label: str


@dataclass
class Draft:
    """Working state of one planning pass.

    What did not fit is not retried until a reservation is released, since capacity
    only shrinks before.

    Attributes
    ----------
    state : PlannerState
        State of the planner.
    now : float
        Steady-clock seconds.
    capacities : dict of str to PoolCapacity
        Free capacity by pool.
    headrooms : dict of str to Headroom or None
        Headroom by pool; None for a pool without servers.
    guaranteed : frozenset of str
        Ids of jobs covered by client accounts' guarantees.
    ranks : dict of str to Rank
        Ranks of the jobs, by id.
    allowances : dict of str to Allowance
        Unused quotas by client account; accounts without a quota are left out.
    unplaceable : dict of Requirements to int
        Smallest number of tasks that did not fit.
    unreclaimable : dict of (Requester, Requirements) to int
        Smallest number of tasks that did not fit even with preemption.
    victim_indexes : dict of Requester to VictimIndex
        Attempts that each kind of requester may preempt.
    stopping : dict of str to list of (Shape, int), or None
        Tasks that are being stopped or end as soon by themselves, by server; None until
        first used.
    suspended : dict of str to PoolCapacity
        Free capacity on suspended servers by pool, measured at first use.
    used_shares : dict of str to float
        Used share of each pool, measured at first use.
    rooms : dict of Requirements to int
        Number of tasks for which a pool has room, measured at first use.
    closures : dict of (str, UnitKey) to tuple of str
        Servers that are closed to all but a suspect unit, by job id and unit.
    pending_lines : int
        Lines written for waiting units in this pass.
    settled : set of str or None
        Servers on which every run has outlived its start; None until first used.
    """

    state: PlannerState
    now: float
    capacities: dict[str, PoolCapacity] = field(default_factory=dict)
    headrooms: dict[str, Headroom | None] = field(default_factory=dict)
    guaranteed: frozenset[str] = frozenset()
    ranks: dict[str, Rank] = field(default_factory=dict)
    allowances: dict[str, Allowance] = field(default_factory=dict)
    unplaceable: dict[Requirements, int] = field(default_factory=dict)
    unreclaimable: dict[tuple[Requester, Requirements], int] = field(
        default_factory=dict
    )
    victim_indexes: dict[Requester, VictimIndex] = field(default_factory=dict)
    stopping: dict[str, list[tuple[Shape, int]]] | None = None
    suspended: dict[str, PoolCapacity] = field(default_factory=dict)
    used_shares: dict[str, float] = field(default_factory=dict)
    rooms: dict[Requirements, int] = field(default_factory=dict)
    closures: dict[tuple[str, UnitKey], tuple[str, ...]] = field(default_factory=dict)
    pending_lines: int = 0
    settled: set[str] | None = None


def make_requirements(pool: str, step: StepOrder) -> Requirements:
    """Create the requirements of a step's tasks in a pool."""
    return Requirements(pool, step.shape, step.rack_sensitive, step.required_label)


def find_pool_capacity(draft: Draft, pool: str) -> PoolCapacity:
    """Return the free capacity of a pool, computed once per pass."""
    if pool not in draft.capacities:
        draft.capacities[pool] = make_pool_capacity(draft.state, pool, draft.now)
    return draft.capacities[pool]


def find_capacity_with_suspended(draft: Draft, pool: str) -> PoolCapacity:
    """Return the free capacity of a pool, also on its suspended servers."""
    if pool not in draft.suspended:
        draft.suspended[pool] = make_suspended_capacity(draft.state, pool, draft.now)
    usable = find_pool_capacity(draft, pool)
    return PoolCapacity({**draft.suspended[pool].by_name, **usable.by_name})


def find_server_capacity(draft: Draft, pool: str, name: str) -> ServerCapacity:
    """Return the free capacity of a usable or suspended server of a pool."""
    by_name = find_pool_capacity(draft, pool).by_name
    return by_name[name] if name in by_name else draft.suspended[pool].by_name[name]


def find_headroom(draft: Draft, pool: str) -> Headroom | None:
    """Return the headroom of a pool, computed for the first unit of batch work."""
    if pool not in draft.headrooms:
        pool_capacity = find_pool_capacity(draft, pool)
        draft.headrooms[pool] = make_headroom(
            draft.state, pool, pool_capacity, draft.now
        )
    return draft.headrooms[pool]


def clear_unplaceable(draft: Draft) -> None:
    """Clear what is known not to fit, after capacity was added back."""
    draft.unplaceable.clear()
    draft.unreclaimable.clear()


def find_victim_index(draft: Draft, requester: Requester) -> VictimIndex:
    """Return the attempts that a unit may preempt, computed once per pass."""
    if requester not in draft.victim_indexes:
        draft.victim_indexes[requester] = make_victim_index(
            draft.state, requester, draft.now
        )
    return draft.victim_indexes[requester]


def find_expected_capacity(draft: Draft, pool_capacity: PoolCapacity) -> PoolCapacity:
    """Return the free capacity plus what stops, or ends as soon, will free."""
    if draft.stopping is None:
        draft.stopping = list_stopping(draft.state, draft.now)
    expected: dict[str, ServerCapacity] = {}
    for name, capacity in pool_capacity.by_name.items():
        expected[name] = copy_capacity(capacity)
        for shape, count in draft.stopping.get(name, ()):
            take_capacity(expected[name], shape, -count)
    return PoolCapacity(expected)


def list_stopping(
    state: PlannerState, now: float
) -> dict[str, list[tuple[Shape, int]]]:
    """Return the tasks that are being stopped or end as soon by themselves, by server.

    These are shapes and numbers of tasks.
    """
    stopping: dict[str, list[tuple[Shape, int]]] = {}
    for name, server in state.servers.items():
        for job, unit, member in list_holders(state, server):
            if member.stop_requested or may_await_end(state, job, unit, now):
                stopping.setdefault(name, []).append((job.find_step(unit).shape, 1))
    return stopping


def mark_stopping(draft: Draft, victim: Victim) -> None:
    """Move a victim from the preemption candidates to the tasks being stopped."""
    for victim_index in draft.victim_indexes.values():
        if victim_index.victims.pop(victim.key, None) is None:
            continue
        for name in victim.tasks:
            victims = victim_index.by_server[name]
            victim_index.by_server[name] = [x for x in victims if x.key != victim.key]
        if victim.limited_step is not None:
            victim_index.allowed_stops[victim.limited_step] -= victim.task_count
    if draft.stopping is not None:
        for name, tasks in victim.tasks.items():
            draft.stopping.setdefault(name, []).append(tasks)
