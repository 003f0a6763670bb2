"""Placement policy that starts guaranteed work, then lends the free accelerators."""

from dataclasses import dataclass, field, replace

from cardamomdyke.model.jobs import JobSpecification
from cardamomdyke.placement.allocation import (
    Allocation,
    list_server_groups,
    make_allocation,
    mark_stopping,
    reserve_guaranteed_members,
    reserve_members,
)
from cardamomdyke.placement.cells import ServerMasks, make_pool_masks
from cardamomdyke.placement.excess import mark_excess
from cardamomdyke.placement.plan import (
    PlacedGang,
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
        Work that each member loses in a restart.
    reservation_wait_seconds : float
        Wait after which the oldest job that does not fit may preempt backfilled
        jobs.
    """

    restart_seconds: float = RESTART_SECONDS
    reservation_wait_seconds: float = RESERVATION_WAIT_SECONDS


@dataclass
class Draft:
    """Decisions of the current plan so far.

    Later jobs skip ``unplaceable_shapes``, which name the client account for
    guaranteed work. ``now`` is in steady-clock seconds.

    Attributes
    ----------
    delayed : list of QueuedJob
        Jobs within their account's guarantee that wait until victims have stopped.
    unguaranteed : list of QueuedJob
        Jobs that exceed their account's guarantee.
    """

    allocation: Allocation
    policy: CellPolicy
    now: float
    starts: list[PlannedStart] = field(default_factory=list)
    preemptions: list[Preemption] = field(default_factory=list)
    delayed: list[QueuedJob] = field(default_factory=list)
    unguaranteed: list[QueuedJob] = field(default_factory=list)
    unplaceable_shapes: set[tuple[object, ...]] = field(default_factory=set)


def make_default_policy() -> CellPolicy:
    """Return the planner's default policy."""
    return CellPolicy()


@plan_pool.register
def plan_cells(policy: CellPolicy, state: PoolState, now: float) -> PoolPlan:
    """Plan guaranteed work by urgency and arrival, then borrowed work by arrival."""
    state = mark_excess(state, now, policy.restart_seconds)
    draft = plan_guaranteed_jobs(policy, state, now)
    if not draft.delayed:
        plan_borrowed(draft)
        return PoolPlan(tuple(draft.starts), tuple(draft.preemptions))
    # Beside stopping gangs the first victims can be needless: the stops that are
    # under way may free enough by themselves.
    stops = any(gang.stopping for gang in state.placed)
    preemptions = () if stops else tuple(draft.preemptions)
    plan, following = settle_plan(
        policy, state, now, PoolPlan(tuple(draft.starts), preemptions)
    )
    draft = make_settled_draft(policy, state, now, plan, following)
    plan_borrowed(draft)
    extended = PoolPlan(tuple(draft.starts), tuple(draft.preemptions))
    if extended == plan:
        return plan
    return settle_plan(policy, state, now, extended)[0]


def plan_guaranteed_jobs(policy: CellPolicy, state: PoolState, now: float) -> Draft:
    """Plan all jobs within their account's guarantee, by urgency and arrival."""
    allocation = make_allocation(state, now, policy.restart_seconds)
    draft = Draft(allocation, policy, now)
    for job in sorted(
        state.queued, key=lambda job: (not job.specification.urgent, job.queued_at)
    ):
        plan_guaranteed(draft, job)
    return draft


def settle_plan(
    policy: CellPolicy, state: PoolState, now: float, plan: PoolPlan
) -> tuple[PoolPlan, Draft]:
    """Change a plan until the next one starts all guaranteed jobs without a stop.

    The next plan chooses places anew, and the starts of this one can make other
    places the tightest or cheapest. So it is planned here on the state expected once
    all victims have stopped. What it would preempt is preempted by this plan, or
    does not start.

    Parameters
    ----------
    policy : CellPolicy
        Placement policy.
    state : PoolState
        Queue, placed gangs and capacity.
    now : float
        Steady-clock time, in seconds.
    plan : PoolPlan
        Starts and preemptions so far.

    Returns
    -------
    plan : PoolPlan
        Starts and preemptions to carry out now.
    following : Draft
        Guaranteed part of the next plan.
    """
    while True:
        started = expect_state(state, plan, now)
        running = tuple(gang for gang in started.placed if not gang.stopping)
        following = plan_guaranteed_jobs(policy, replace(started, placed=running), now)
        if not following.preemptions:
            return plan, following
        victims = {preemption.job_id for preemption in following.preemptions}
        starting = {start.job_id for start in plan.starts}
        further = [p for p in following.preemptions if p.job_id not in starting]
        plan = PoolPlan(
            tuple(start for start in plan.starts if start.job_id not in victims),
            (*plan.preemptions, *further),
        )


def make_settled_draft(
    policy: CellPolicy, state: PoolState, now: float, plan: PoolPlan, following: Draft
) -> Draft:
    """Return the draft of a plan, with the starts of the next plan reserved."""
    started = expect_state(state, plan, now)
    allocation = make_allocation(started, now, policy.restart_seconds)
    for start in following.starts:
        reserve_members(allocation, start.placements)
    return Draft(
        allocation,
        policy,
        now,
        starts=list(plan.starts),
        preemptions=list(plan.preemptions),
        unguaranteed=following.unguaranteed,
    )


def expect_state(state: PoolState, plan: PoolPlan, now: float) -> PoolState:
    """Return the state after a plan's starts, with its victims stopping."""
    queued = {job.job_id: job for job in state.queued}
    victims = {preemption.job_id for preemption in plan.preemptions}
    placed = [
        replace(gang, stopping=gang.stopping or gang.job_id in victims)
        for gang in state.placed
    ]
    for start in plan.starts:
        job = queued.pop(start.job_id)
        placed.append(
            PlacedGang(
                job.job_id,
                job.specification,
                start.placements,
                start.borrowed,
                now,
                queued_at=job.queued_at,
            )
        )
    return replace(state, queued=tuple(queued.values()), placed=tuple(placed))


def make_shape_key(specification: JobSpecification) -> tuple[object, ...]:
    """Return what decides where a gang fits."""
    return (
        specification.accelerators_per_task,
        specification.gang_size,
        specification.adjacency,
    )


def plan_guaranteed(draft: Draft, job: QueuedJob) -> None:
    """Start a job within its account's guarantee, or reclaim cells for it."""
    specification = job.specification
    account = specification.client_account
    shape = (account, *make_shape_key(specification))
    if shape in draft.unplaceable_shapes:
        draft.unguaranteed.append(job)
        return
    fit = find_guaranteed_fit(draft.allocation, specification)
    if fit is None:
        draft.unplaceable_shapes.add(shape)
        draft.unguaranteed.append(job)
        return
    reserve_guaranteed_members(draft.allocation, account, fit.placements)
    if fit.victims:
        draft.delayed.append(job)
        preempt_victims(draft, job, fit)
        return
    draft.starts.append(PlannedStart(job.job_id, fit.placements, borrowed=False))


def preempt_victims(draft: Draft, job: QueuedJob, fit: Fit) -> None:
    """Preempt a fit's victims that are not yet stopping."""
    for victim in sorted(fit.victims):
        if mark_stopping(draft.allocation, victim):
            draft.preemptions.append(Preemption(victim, job.job_id))


def plan_borrowed(draft: Draft) -> None:
    """Start other jobs on free accelerators; reserve for the oldest that does not fit.

    Jobs too large for an empty pool get no reservation.
    """
    allocation = draft.allocation
    reserved = False
    avoided: frozenset[str] = frozenset()
    for job in sorted(draft.unguaranteed, key=lambda job: job.queued_at):
        shape = make_shape_key(job.specification)
        if shape in draft.unplaceable_shapes:
            continue
        fit = find_borrowed_fit(allocation, job.specification, avoided)
        if fit is not None:
            reserve_members(allocation, fit.placements)
            draft.starts.append(PlannedStart(job.job_id, fit.placements, borrowed=True))
            continue
        draft.unplaceable_shapes.add(shape)
        if not reserved and can_ever_fit(allocation, job.specification):
            reserved = True
            avoided = reserve_servers(draft, job)


def find_borrowed_fit(
    allocation: Allocation, specification: JobSpecification, avoided: frozenset[str]
) -> Fit | None:
    """Find free accelerators for a gang, off the avoided servers if possible."""
    groups = list_server_groups(allocation, specification)
    if avoided:
        kept = [[name for name in group if name not in avoided] for group in groups]
        fit = find_cheapest_fit(allocation, specification, allocation.free, kept)
        if fit is not None:
            return fit
    return find_cheapest_fit(allocation, specification, allocation.free, groups)


def can_ever_fit(allocation: Allocation, specification: JobSpecification) -> bool:
    """Return whether the usable servers would hold a gang when empty."""
    available = make_pool_masks(allocation.pool, allocation.unusable)
    size = specification.accelerators_per_task
    return any(
        sum(available[name].bit_count() // size for name in group)
        >= specification.gang_size
        for group in list_server_groups(allocation, specification)
    )


def reserve_servers(draft: Draft, job: QueuedJob) -> frozenset[str]:
    """Reserve backend servers for the oldest job that does not fit.

    Backfilled gangs are preempted after the reservation wait, if that is enough.
    Declared run times are not used: the end of older gangs has no estimate, and
    younger jobs may borrow free accelerators meanwhile.

    Returns
    -------
    frozenset of str
        Backend servers that younger jobs should avoid.
    """
    allocation = draft.allocation
    since = max(job.queued_at, job.requeued_at)
    available = find_reservable(allocation, job.queued_at, since)
    groups = list_server_groups(allocation, job.specification)
    fit = find_cheapest_fit(allocation, job.specification, available, groups)
    if fit is None:
        best = max(groups, key=lambda g: sum(available[name].bit_count() for name in g))
        return frozenset(best)
    if draft.now - since >= draft.policy.reservation_wait_seconds:
        reserve_members(allocation, fit.placements)
        preempt_victims(draft, job, fit)
    return frozenset(placement.server for placement in fit.placements)


def find_reservable(
    allocation: Allocation, queued_at: float, since: float
) -> ServerMasks:
    """Return the accelerators that are free or held by backfilled or stopping gangs.

    A backfilled gang arrived after `queued_at` and started after `since`. By the
    start alone, two large jobs would preempt each other in turn.
    """
    available = dict(allocation.free)
    for gang in allocation.borrowers.values():
        younger = gang.queued_at > queued_at and gang.started_at > since
        if gang.stopping or younger:
            for server, mask in gang.masks.items():
                if server in available:
                    available[server] |= mask & ~allocation.reserved_masks.get(
                        server, 0
                    )
    return available
