"""Quotas: what client accounts may use at the same time over all backend servers."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass

from cardamomdyke.model.orders import Shape
from cardamomdyke.model.queues import Account
from cardamomdyke.planner.endings import may_await_end
from cardamomdyke.planner.members import Member, MemberPhase
from cardamomdyke.planner.state import Job, PlannerState, Unit


@dataclass(slots=True)
class Allowance:
    """What an account may still use; negative once a lower quota is in force.

    Attributes
    ----------
    quota : Shape
        Quota of the account; 0 of a resource for no limit.
    millicores, memory_mb, accelerators : int
        Unused part of the quota; 1000 millicores are a processor core.
    """

    quota: Shape
    millicores: int
    memory_mb: int
    accelerators: int


def make_allowance(quota: Shape) -> Allowance:
    """Return the allowance of an account that uses nothing."""
    return Allowance(quota, quota.millicores, quota.memory_mb, quota.accelerators)


def measure_allowances(state: PlannerState) -> dict[str, Allowance]:
    """Return the allowances of the accounts with a quota, by name.

    Everything that may still run counts: tasks that are being stopped, starts without
    an answer, and runs that no attempt knows.
    """
    if state.tables is None:
        return {}
    allowances = {
        account.name: make_allowance(account.quota)
        for account in state.tables.accounts
        if has_quota(account)
    }
    if not allowances:
        return {}
    for job, unit, _ in list_active_members(state):
        use_allowance(allowances, job.record.account, job.find_step(unit).shape)
    for server in state.servers.values():
        for (task, _), shape in server.unknown_runs.items():
            unknown_job = state.jobs.get(task.job_id)
            if unknown_job is not None:
                use_allowance(allowances, unknown_job.record.account, shape)
    return allowances


def has_quota(account: Account) -> bool:
    """Return whether an account's use of any resource is limited."""
    return account.quota != Shape()


def list_active_members(state: PlannerState) -> Iterator[tuple[Job, Unit, Member]]:
    """Yield the members of all attempts that may hold resources."""
    for job in state.jobs.values():
        for unit in job.units.values():
            if unit.attempt is None:
                continue
            for member in unit.attempt.members.values():
                if member.phase is not MemberPhase.ENDED:
                    yield job, unit, member


def use_allowance(
    allowances: Mapping[str, Allowance], account: str, shape: Shape, count: int = 1
) -> None:
    """Subtract tasks from an account's allowance; a negative count adds them back."""
    allowance = allowances.get(account)
    if allowance is None:
        return
    allowance.millicores -= shape.millicores * count
    allowance.memory_mb -= shape.memory_mb * count
    allowance.accelerators -= shape.accelerators * count


def check_allowance(
    allowances: Mapping[str, Allowance], account: str, shape: Shape, count: int
) -> bool:
    """Check that an account may use `count` more tasks of a shape."""
    allowance = allowances.get(account)
    if allowance is None:
        return True
    quota = allowance.quota
    return all(
        not limit or needed * count <= remaining
        for limit, needed, remaining in (
            (quota.millicores, shape.millicores, allowance.millicores),
            (quota.memory_mb, shape.memory_mb, allowance.memory_mb),
            (quota.accelerators, shape.accelerators, allowance.accelerators),
        )
    )


def measure_expected_allowance(
    state: PlannerState, allowances: Mapping[str, Allowance], account: str, now: float
) -> dict[str, Allowance]:
    """Return an account's allowance plus what stops, or ends as soon, will free."""
    allowance = allowances[account]
    expected = {
        account: Allowance(
            allowance.quota,
            allowance.millicores,
            allowance.memory_mb,
            allowance.accelerators,
        )
    }
    for job, unit, member in list_active_members(state):
        if job.record.account != account:
            continue
        if member.stop_requested or may_await_end(state, job, unit, now):
            use_allowance(expected, account, job.find_step(unit).shape, -1)
    return expected
