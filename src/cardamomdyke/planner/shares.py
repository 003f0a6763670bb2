"""Shares: jobs that an account submits faster than agreed wait behind the others.

It answers the load of one client account that sends many times its usual. Served in
order of arrival, its jobs would delay those of all other accounts.
"""

from cardamomdyke.planner.inputs import ShareBalance
from cardamomdyke.planner.state import Job, PlannerState

# An account may submit the jobs of this long at once, since jobs arrive in bunches.
BURST_SECONDS = 2.0


def check_share(state: PlannerState, job: Job) -> bool:
    """Count a new job and return whether its account keeps to its share.

    A weight is a number of jobs a second. Accounts without one have no limit.
    """
    if state.tables is None:
        return True
    account = state.tables.accounts_by_name.get(job.record.account)
    if account is None or account.weight <= 0:
        return True
    most = max(1.0, account.weight * BURST_SECONDS)
    balance = state.share_balances.get(account.name)
    if balance is None:
        balance = ShareBalance(most, job.arrived_at)
        state.share_balances[account.name] = balance
    elapsed = job.arrived_at - balance.updated_at
    balance.jobs = min(most, balance.jobs + account.weight * elapsed)
    balance.updated_at = job.arrived_at
    if balance.jobs < 1.0:
        return False
    balance.jobs -= 1.0
    return True
