"""Appends submissions, and the withdrawals that fence off earlier ones.

A cancellation may overtake the submission of its job, which lies at a paused VM, on its
way, or in the store. Each job id is a producer of the store, so that a withdrawal of
the id fences off every submission that was sent before it.
"""

import asyncio
from collections.abc import Callable, Coroutine

from cardamomdyke.control.answers import (
    NOT_KNOWN,
    Refusal,
    make_append_refusal,
    make_unknown_job,
)
from cardamomdyke.control.appends import APPEND_TIMEOUT_SECONDS, AppendResult
from cardamomdyke.control.context import Context
from cardamomdyke.jobs.records import (
    JOB_PREFIX,
    WITHDRAWAL_PREFIX,
    JobRecord,
    encode_job,
)
from cardamomdyke.platform.records import KeyedRecord, StoreFaultKind
from cardamomdyke.platform.store import UNKNOWN_OFFSET, WORK_TOPIC, Producer

# Epoch of the submissions of an id that was not withdrawn. Withdrawals use the Unix
# time in milliseconds.
FIRST_EPOCH = 1
# The sequence number of a submission follows that of the withdrawal before it.
WITHDRAWAL_SEQUENCE = 0
SUBMISSION_SEQUENCE = 1


async def withdraw_id(context: Context, job_id: str) -> Refusal | None:
    """Keep submissions out that were sent before the cancellation of their job.

    Such a submission may still lie at a paused VM, or in the store.

    Returns
    -------
    Refusal or None
        410 once no earlier submission can be accepted; None if a job was accepted
        meanwhile.
    """
    known = context.ledger.withdrawals.get(job_id, 0)
    epoch = max(known + 1, make_epoch(context))
    record = KeyedRecord(WITHDRAWAL_PREFIX + job_id, str(epoch).encode())
    result = await context.store.append_records(
        WORK_TOPIC, [record], Producer(job_id, epoch, WITHDRAWAL_SEQUENCE)
    )
    # A higher epoch is that of another withdrawal, or of a submission after one.
    if result.is_error() and result.error.kind is not StoreFaultKind.FENCED:
        return make_append_refusal(result.error)
    if not await context.work_feed.catch_up():
        return NOT_KNOWN
    if job_id in context.ledger.jobs:
        return None
    context.journal.write("job.withdrawn", job_id, epoch=epoch)
    return make_unknown_job(job_id)


def make_epoch(context: Context) -> int:
    """Return an epoch above those of withdrawals that are no longer known."""
    return round(context.unix_clock.read() * 1000)


async def append_job(context: Context, record: JobRecord, epoch: int) -> AppendResult:
    """Append a job, unless its id was withdrawn at a higher epoch.

    The store remembers an id for longer than its records are kept. Where it takes the
    job for a repeat of a removed one, or fences it off by a removed withdrawal, the job
    is appended in an epoch of its own.
    """
    result = await append_in_epoch(context, record, epoch)
    if result.is_error() and result.error.kind is not StoreFaultKind.FENCED:
        return result
    if result.is_error() and not await context.work_feed.catch_up():
        return result
    ledger = context.ledger
    if record.job_id in ledger.jobs or record.job_id in ledger.withdrawals:
        return result
    if result.is_ok() and not repeats_removed(context, record, result.ok):
        return result
    context.journal.write("job.resubmitted", record.job_id, epoch=epoch)
    epoch = make_epoch(context)
    result = await append_in_epoch(context, record, epoch)
    if result.is_ok() and repeats_removed(context, record, result.ok):
        # The removed withdrawal is of the same millisecond.
        result = await append_in_epoch(context, record, epoch + 1)
    return result


def repeats_removed(context: Context, record: JobRecord, offset: int) -> bool:
    """Return whether the store took a job for the repeat of a removed one."""
    return record.job_id not in context.ledger.jobs and was_read(context, offset)


def was_read(context: Context, offset: int) -> bool:
    """Return whether the ledger has applied a record of the work topic."""
    next_offset = context.work_feed.next_offset
    if next_offset is None or offset == UNKNOWN_OFFSET:
        return False
    return offset < next_offset


async def append_in_epoch(
    context: Context, record: JobRecord, epoch: int
) -> AppendResult:
    """Append a job in one epoch of its id."""
    return await context.store.append_records(
        WORK_TOPIC,
        [KeyedRecord(JOB_PREFIX + record.job_id, encode_job(record))],
        Producer(record.job_id, epoch, SUBMISSION_SEQUENCE),
        APPEND_TIMEOUT_SECONDS,
    )


async def await_append(
    context: Context,
    coroutine: Coroutine[object, object, AppendResult],
    is_stored: Callable[[], bool],
) -> Refusal | None:
    """Await the append of a record; return why that failed or may have failed.

    Parameters
    ----------
    coroutine : coroutine
        Appends the record; goes on if the record is read back before it returns.
    is_stored : callable
        Returns True once the record was read back from the store, which
        confirms the append even if its answer is lost.

    Returns
    -------
    Refusal or None
        None once the record is stored.
    """
    append = asyncio.ensure_future(coroutine)
    while not append.done() and not is_stored():
        change = asyncio.ensure_future(context.ledger_changed.wait())
        await asyncio.wait({append, change}, return_when=asyncio.FIRST_COMPLETED)
        change.cancel()
    if is_stored():
        return None
    result = append.result()
    return None if result.is_ok() else make_append_refusal(result.error)
