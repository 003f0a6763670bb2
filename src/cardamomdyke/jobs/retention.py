"""When the records of ended jobs are dropped from the store."""

from dataclasses import dataclass, field

from cardamomdyke.jobs.ledger import Change, ChangeKind, Ledger
from cardamomdyke.jobs.records import (
    CANCELLATION_PREFIX,
    FINAL_PHASES,
    JOB_PREFIX,
    PROGRESS_PREFIX,
)

# Callers read a state until `status_s` after the end. A minute more covers the
# longest delay of a submission that the store carries out late.
MARGIN_SECONDS = 60.0
# Bounds one append; at the users' rates a few jobs fall due each second.
MAX_BATCH_REMOVALS = 100


@dataclass
class Retention:
    """Ended jobs by the time at which this VM learnt of their end.

    Times are those of this VM's steady clock, so that a clock that jumps, here or
    on another VM, drops nothing early. After a start they count anew.

    Attributes
    ----------
    keep_seconds : float
        Time that an ended job is kept.
    ended : dict of str to float
        Time of the end by job id, the earliest first.
    """

    keep_seconds: float
    ended: dict[str, float] = field(default_factory=dict)

    def handle_change(self, ledger: Ledger, change: Change, now: float) -> None:
        """Remember a job whose end has been recorded, or forget a dropped one."""
        if change.kind is ChangeKind.REMOVED:
            self.ended.pop(change.job_id, None)
        progress = ledger.progress.get(change.job_id)
        if change.kind is ChangeKind.PROGRESSED and progress is not None:
            if progress.phase in FINAL_PHASES:
                self.ended.setdefault(change.job_id, now)

    def take_due(self, now: float) -> list[str]:
        """Return jobs to drop; they fall due again if that does not happen."""
        due: list[str] = []
        for job_id, ended_at in self.ended.items():
            if now - ended_at < self.keep_seconds or len(due) == MAX_BATCH_REMOVALS:
                break
            due.append(job_id)
        for job_id in due:
            del self.ended[job_id]
            self.ended[job_id] = now
        return due


def make_retention(status_seconds: float) -> Retention:
    """Build the retention for a deployment's `status_s`, in seconds."""
    return Retention(status_seconds + MARGIN_SECONDS)


def list_keys(ledger: Ledger, job_id: str) -> list[str]:
    """Return the keys that the store holds for a job."""
    keys = [JOB_PREFIX + job_id] if job_id in ledger.jobs else []
    if job_id in ledger.cancelled:
        keys.append(CANCELLATION_PREFIX + job_id)
    if job_id in ledger.progress:
        keys.append(PROGRESS_PREFIX + job_id)
    return keys
