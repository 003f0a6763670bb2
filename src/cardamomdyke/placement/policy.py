"""The placement policy: guaranteed work first, borrowed work on what is left."""

from dataclasses import dataclass, field

from cardamomdyke.model.jobs import JobSpecification
from cardamomdyke.placement.allocation import (
    Allocation,
    hold_cells,
    list_groups,
    make_allocation,
    promise_cells,
    stop_borrower,
)
from cardamomdyke.placement.cells import CellMap, map_pool
from cardamomdyke.placement.plan import (
    PlannedStart,
    PoolPlan,
    PoolState,
    Preemption,
    QueuedJob,
    plan_pool,
)
from cardamomdyke.placement.reclaim import Fit, find_cheapest_fit, find_guaranteed_fit

RESTART_SECONDS = 5.0
RESERVATION_WAIT_SECONDS = 1800.0


@dataclass(frozen=True, slots=True)
class CellPolicy:
    """Places guaranteed work in cells and lends the rest.

    Attributes
    ----------
    restart_seconds : float
        Work that each member loses in a stop and a new start.
    reservation_wait_seconds : float
        Wait after which the oldest job that does not fit may preempt jobs that
        were started ahead of it.
    """

    restart_seconds: float = RESTART_SECONDS
    reservation_wait_seconds: float = RESERVATION_WAIT_SECONDS


@dataclass
class Draft:
    """Decisions of one plan, as they are made."""

    allocation: Allocation
    policy: CellPolicy
    now: float
    starts: list[PlannedStart] = field(default_factory=list)
    preemptions: list[Preemption] = field(default_factory=list)
    misfits: set[tuple[object, ...]] = field(default_factory=set)


def make_default_policy() -> CellPolicy:
    """Return the policy that planners use."""
    return CellPolicy()


@plan_pool.register
def plan_cells(policy: CellPolicy, state: PoolState, now: float) -> PoolPlan:
    """Place guaranteed work, then borrowed work with one reservation."""
    allocation = make_allocation(state, now, policy.restart_seconds)
    draft = Draft(allocation, policy, now)
    queued = sorted(state.queued, key=lambda job: job.queued_at)
    waiting = [
        job
        for job in sorted(queued, key=lambda job: not job.specification.urgent)
        if not plan_guaranteed(draft, job)
    ]
    waiting.sort(key=lambda job: job.queued_at)
    plan_borrowed(draft, waiting)
    return PoolPlan(tuple(draft.starts), tuple(draft.preemptions))


def describe_shape(specification: JobSpecification) -> tuple[object, ...]:
    """Return what decides whether a gang fits."""
    return (
        specification.accelerators_per_task,
        specification.gang_size,
        specification.adjacency,
    )


def plan_guaranteed(draft: Draft, job: QueuedJob) -> bool:
    """Start a job within its account's guarantee or reclaim its cells.

    Returns
    -------
    bool
        False when the job is outside the guarantee.
    """
    specification = job.specification
    account = specification.client_account
    shape = (account, *describe_shape(specification))
    if shape in draft.misfits:
        return False
    fit = find_guaranteed_fit(draft.allocation, specification)
    if fit is None:
        draft.misfits.add(shape)
        return False
    promise_cells(draft.allocation, account, fit.placements)
    if not fit.victims:
        start = PlannedStart(job.job_id, fit.placements, borrowed=False)
        draft.starts.append(start)
        return True
    preempt_victims(draft, job, fit)
    return True


def preempt_victims(draft: Draft, job: QueuedJob, fit: Fit) -> None:
    """Order the victims of a fit to stop, each at most once."""
    for victim in sorted(fit.victims):
        if stop_borrower(draft.allocation, victim):
            draft.preemptions.append(Preemption(victim, job.job_id))


def plan_borrowed(draft: Draft, waiting: list[QueuedJob]) -> None:
    """Start jobs on free cells; the oldest that does not fit gets a reservation."""
    allocation = draft.allocation
    reserved = False
    avoided: frozenset[str] = frozenset()
    for job in waiting:
        shape = describe_shape(job.specification)
        if shape in draft.misfits:
            continue
        fit = find_borrowed_fit(allocation, job.specification, avoided)
        if fit is not None:
            hold_cells(allocation, fit.placements)
            draft.starts.append(PlannedStart(job.job_id, fit.placements, borrowed=True))
            continue
        draft.misfits.add(shape)
        if not reserved and can_ever_fit(allocation, job.specification):
            reserved = True
            avoided = reserve_room(draft, job)


def find_borrowed_fit(
    allocation: Allocation, specification: JobSpecification, avoided: frozenset[str]
) -> Fit | None:
    """Find free cells for a gang, outside the avoided backend servers if it can."""
    groups = list_groups(allocation, specification)
    if avoided:
        kept = [[name for name in group if name not in avoided] for group in groups]
        fit = find_cheapest_fit(allocation, specification, allocation.free, kept)
        if fit is not None:
            return fit
    return find_cheapest_fit(allocation, specification, allocation.free, groups)


def can_ever_fit(allocation: Allocation, specification: JobSpecification) -> bool:
    """Tell whether the usable backend servers could hold a gang when empty."""
    room = map_pool(allocation.pool, allocation.unusable)
    size = specification.accelerators_per_task
    return any(
        sum(room[name].bit_count() // size for name in group) >= specification.gang_size
        for group in list_groups(allocation, specification)
    )


def reserve_room(draft: Draft, job: QueuedJob) -> frozenset[str]:
    """Preempt jobs that were started ahead of a waiting one, when that is enough.

    Declared run times are not used: the wait for older gangs has no estimate, and
    free cells are lent to younger jobs in the meantime.

    Returns
    -------
    frozenset of str
        Backend servers that younger jobs should avoid.
    """
    allocation = draft.allocation
    since = max(job.queued_at, job.requeued_at)
    room = find_younger_room(allocation, job.queued_at, since)
    groups = list_groups(allocation, job.specification)
    fit = find_cheapest_fit(allocation, job.specification, room, groups)
    if fit is None:
        best = max(groups, key=lambda g: sum(room[name].bit_count() for name in g))
        return frozenset(best)
    if draft.now - since >= draft.policy.reservation_wait_seconds:
        hold_cells(allocation, fit.placements)
        preempt_victims(draft, job, fit)
    return frozenset(placement.server for placement in fit.placements)


def find_younger_room(
    allocation: Allocation, queued_at: float, since: float
) -> CellMap:
    """Return the accelerators that are free or held by backfilled gangs.

    A backfilled gang arrived later and started while the other job waited. With
    the start alone, two large jobs would preempt each other in turn.
    """
    room = dict(allocation.free)
    for borrower in allocation.borrowers.values():
        younger = borrower.queued_at > queued_at and borrower.started_at > since
        if borrower.stopping or younger:
            for server, mask in borrower.cells.items():
                if server in room:
                    room[server] |= mask & ~allocation.promised.get(server, 0)
    return room
