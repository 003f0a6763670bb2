"""Decisions of this daemon to accept or refuse jobs."""

from dataclasses import replace

from cardamomdyke.control.answers import (
    NOT_KNOWN,
    NOT_REACHED,
    Refusal,
    make_admission_refusal,
    make_room_refusal,
)
from cardamomdyke.control.clock import read_clock
from cardamomdyke.control.context import Context
from cardamomdyke.jobs.ledger import read_progress
from cardamomdyke.jobs.records import GANG_INDEX, JobProgress, JobRecord
from cardamomdyke.scheduling.admission import (
    MAX_SUMMARY_AGE_SECONDS,
    URGENT_PRIORITY,
    AdmissionRefusal,
    AdmissionRequest,
    decide_admission,
)


def count_needed(record: JobRecord, progress: JobProgress | None) -> int:
    """Return the accelerators that a job's units need at least until they are done.

    A scheduled job may need none between its occurrences.
    """
    if record.order.repetitions:
        return 0
    steps = record.order.steps
    needed = sum(step.count * step.shape.accelerators for step in steps)
    for unit in progress.units if progress is not None else ():
        if unit.done and unit.step < len(steps):
            step = steps[unit.step]
            tasks = step.count if unit.index == GANG_INDEX else 1
            needed -= tasks * step.shape.accelerators
    return max(0, needed)


def is_guaranteed(context: Context, record: JobRecord) -> bool:
    """Return whether an account's guarantee covers a new urgent job.

    As in the planner, the guarantee goes to the account's jobs in order of arrival, and
    one that needs more than is left is passed over.
    """
    tables = context.operator.tables
    if record.priority != URGENT_PRIORITY or tables is None:
        return False
    account = tables.accounts_by_name.get(record.account)
    if account is None:
        return False
    ledger, remaining = context.ledger, account.guaranteed_accelerators
    for job_id in context.admission.urgent.get(record.account, ()):
        if not remaining:
            break
        need = count_needed(ledger.jobs[job_id], read_progress(ledger, job_id))
        if need <= remaining:
            remaining -= need
    return count_needed(record, None) <= remaining


async def find_admission_refusal(context: Context, record: JobRecord) -> Refusal | None:
    """Return why a job is refused for lack of capacity, or None.

    Before a refusal the newest records are read, which costs the store no more than the
    append of the job. The caller's earlier try may have been stored through another
    daemon, and the wait may be over.
    """
    if decide(context, record) is None or not await context.work_feed.catch_up():
        return None
    refusal = None if record.job_id in context.ledger.jobs else decide(context, record)
    if refusal is None:
        return None
    context.journal.count(f"admission.{refusal.reason}")
    return make_admission_refusal(refusal)


async def find_room_refusal(
    context: Context, record: JobRecord, *, is_relayed: bool
) -> Refusal | None:
    """Return why a job is refused for lack of memory, or None.

    Parameters
    ----------
    context : Context
        Shared objects of the daemon.
    record : JobRecord
        The submitted job.
    is_relayed : bool
        True if another VM may have appended the job before.
    """
    budget = context.job_budget
    if budget.has_room(record):
        note_room(context, record.account, has_room=True)
        return None
    may_be_stored = is_relayed or record.job_id in context.admission.uncertain
    if not await context.work_feed.catch_up():
        return NOT_KNOWN if may_be_stored else NOT_REACHED
    if record.job_id in context.ledger.jobs or budget.has_room(record):
        return None
    note_room(context, record.account, has_room=False)
    return NOT_KNOWN if may_be_stored else make_room_refusal(record.account)


def note_room(context: Context, account: str, *, has_room: bool) -> None:
    """Log the begin and the end of refusals of an account for lack of memory."""
    full = context.job_budget.full_accounts
    if has_room == (account not in full):
        return
    if has_room:
        full.discard(account)
    else:
        full.add(account)
    held_bytes = context.job_budget.held_bytes
    context.journal.write(
        "jobs.room_returned" if has_room else "jobs.no_room",
        account,
        account_bytes=held_bytes[account],
        held_bytes=held_bytes.total(),
        most_bytes=context.job_budget.most_bytes,
    )


def decide(context: Context, record: JobRecord) -> AdmissionRefusal | None:
    """Decide on a new job by what is known now."""
    view = context.admission
    summary, age = view.summaries.find(record.pool, read_clock())
    if summary is None or age > MAX_SUMMARY_AGE_SECONDS:
        context.journal.count("admission.without_summary")
        return None
    request = AdmissionRequest(
        record.job_id,
        record.account,
        record.order,
        record.priority,
        record.stretch,
        record.target_seconds,
        may_be_stored=record.job_id in view.uncertain,
    )
    arrivals = view.summaries.arrivals.get(record.pool, ())
    if decide_admission(request, summary, age, arrivals) is None:
        return None
    # Only a refusal depends on the guarantee, for which jobs have to be counted.
    request = replace(request, guaranteed=is_guaranteed(context, record))
    return decide_admission(request, summary, age, arrivals)
