"""Decides when the records of ended jobs and of withdrawals leave the store."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from cardamomdyke.jobs.ledger import Change, ChangeKind, Ledger
from cardamomdyke.jobs.records import (
    CANCELLATION_PREFIX,
    FINAL_PHASES,
    JOB_PREFIX,
    PROGRESS_PREFIX,
    WITHDRAWAL_PREFIX,
)

# Callers can read a job's state until `status_s` after its end. One more minute
# covers the longest delay until the store applies a submission.
RETENTION_MARGIN_SECONDS = 60.0
# Limits one append; at the users' rates a few jobs fall due per second.
MAX_BATCH_REMOVALS = 100
# Beyond this many, the oldest withdrawals are removed early; each takes about 200 bytes
# on every VM.
MAX_WITHDRAWALS = 10_000


@dataclass
class Retention:
    """Ended jobs and withdrawals, with the time when this VM read them.

    Times are seconds on this VM's steady clock, so that a jump of a clock, here or
    on another VM, removes nothing early. A restart resets them.

    Attributes
    ----------
    retention_seconds : float
        Time that an ended job is kept.
    ended : dict of str to float
        Time when the end was read or a removal last tried, by job id; earliest
        first.
    withdrawn : dict of str to float
        Time when the newest withdrawal of an id was read; earliest first.
    """

    retention_seconds: float
    ended: dict[str, float] = field(default_factory=dict)
    withdrawn: dict[str, float] = field(default_factory=dict)

    def handle_change(self, ledger: Ledger, change: Change, now: float) -> None:
        """Add a job whose end was recorded, or a withdrawal; discard removed ones."""
        if change.kind in (ChangeKind.WITHDRAWN, ChangeKind.WITHDRAWAL_REMOVED):
            self.withdrawn.pop(change.job_id, None)
        if change.kind is ChangeKind.WITHDRAWN:
            self.withdrawn[change.job_id] = now
        if change.kind is ChangeKind.REMOVED:
            self.ended.pop(change.job_id, None)
        progress = ledger.progress.get(change.job_id)
        if change.kind is ChangeKind.PROGRESSED and progress is not None:
            if progress.phase in FINAL_PHASES:
                self.ended.setdefault(change.job_id, now)

    def take_due(self, now: float) -> list[str]:
        """Return at most `MAX_BATCH_REMOVALS` jobs to remove.

        If the removal fails, they are due again after the retention.
        """
        return self.take_oldest(self.ended, 0, now)

    def take_due_withdrawals(self, now: float) -> list[str]:
        """Return at most `MAX_BATCH_REMOVALS` ids whose withdrawals to remove."""
        surplus = len(self.withdrawn) - MAX_WITHDRAWALS
        return self.take_oldest(self.withdrawn, surplus, now)

    def take_oldest(
        self, times: dict[str, float], surplus: int, now: float
    ) -> list[str]:
        """Take ids past the retention, and a surplus; they are due again later."""
        due: list[str] = []
        for job_id, at in times.items():
            expired = now - at >= self.retention_seconds
            if not (expired or len(due) < surplus) or len(due) == MAX_BATCH_REMOVALS:
                break
            due.append(job_id)
        for job_id in due:
            del times[job_id]
            times[job_id] = now
        return due

    def clear(self) -> None:
        """Forget everything before a full read."""
        self.ended.clear()
        self.withdrawn.clear()


def make_retention(status_seconds: float) -> Retention:
    """Create the retention for the platform's `status_s`, in seconds."""
    return Retention(status_seconds + RETENTION_MARGIN_SECONDS)


def list_keys(ledger: Ledger, job_id: str) -> list[str]:
    """Return a job's keys in the store, in the order of removal.

    The accepted job goes first, so that it never lacks its progress. The record of the
    progress goes last: while it is there, the removal of the others is tried again.
    """
    keys = [JOB_PREFIX + job_id] if job_id in ledger.jobs else []
    if job_id in ledger.cancelled:
        keys.append(CANCELLATION_PREFIX + job_id)
    parts = ledger.parts.get(job_id)
    if parts is not None:
        keys += [*parts.units, *parts.values]
    if job_id in ledger.progress:
        keys.append(PROGRESS_PREFIX + job_id)
    return keys


def list_withdrawal_keys(job_ids: Iterable[str]) -> list[str]:
    """Return the keys in the store of the withdrawals of some ids."""
    return [WITHDRAWAL_PREFIX + job_id for job_id in job_ids]
