"""What a daemon decides admissions by, folded from the records that it reads."""

from dataclasses import dataclass, field

from cardamomdyke.jobs.ledger import Change, ChangeKind, Ledger, find_phase
from cardamomdyke.jobs.records import FINAL_PHASES
from cardamomdyke.planner.summaries import SummaryLedger
from cardamomdyke.scheduling.admission import URGENT_PRIORITY

# An append without an answer is settled long before; callers give up after 3 s.
UNCERTAIN_SECONDS = 60.0
# As many as a busy daemon appends in that time at most.
MAX_UNCERTAIN_IDS = 20_000


@dataclass
class UncertainIds:
    """Ids of jobs whose append may have been stored.

    Attributes
    ----------
    added_at : dict of str to float
        Steady-clock time of the newest append, by id; the oldest first.
    """

    added_at: dict[str, float] = field(default_factory=dict)

    def add(self, job_id: str, now: float) -> None:
        """Add an id, and forget old ones."""
        self.added_at.pop(job_id, None)
        self.added_at[job_id] = now
        while self.added_at:
            oldest = next(iter(self.added_at))
            is_old = now - self.added_at[oldest] > UNCERTAIN_SECONDS
            if not is_old and len(self.added_at) <= MAX_UNCERTAIN_IDS:
                return
            del self.added_at[oldest]

    def discard(self, job_id: str) -> None:
        """Remove an id whose append has a certain outcome."""
        self.added_at.pop(job_id, None)

    def __contains__(self, job_id: str) -> bool:
        return job_id in self.added_at


@dataclass
class AdmissionView:
    """Summaries and jobs that admissions depend on.

    Attributes
    ----------
    summaries : SummaryLedger
        Summaries of the planner.
    urgent : dict of str to dict of str to None
        Ids of the urgent jobs that have not ended, in order of arrival, by account.
    uncertain : UncertainIds
        Ids of jobs whose append may have been stored.
    """

    summaries: SummaryLedger = field(default_factory=SummaryLedger)
    urgent: dict[str, dict[str, None]] = field(default_factory=dict)
    uncertain: UncertainIds = field(default_factory=UncertainIds)

    def clear(self) -> None:
        """Forget what was read, before a full read."""
        self.summaries.clear()
        self.urgent.clear()

    def handle_change(self, ledger: Ledger, change: Change) -> None:
        """Apply a change of the ledger to the list of urgent jobs."""
        job_id = change.job_id
        if change.kind is ChangeKind.REMOVED and job_id not in ledger.jobs:
            for account in [name for name, ids in self.urgent.items() if job_id in ids]:
                self.forget(account, job_id)
            return
        record = ledger.jobs.get(job_id)
        if record is not None and change.kind is ChangeKind.ACCEPTED:
            self.summaries.record_arrival(record)
        if record is None or record.priority != URGENT_PRIORITY:
            return
        if find_phase(ledger, job_id) in FINAL_PHASES:
            self.forget(record.account, job_id)
        elif change.kind is ChangeKind.ACCEPTED:
            self.urgent.setdefault(record.account, {})[job_id] = None

    def forget(self, account: str, job_id: str) -> None:
        """Remove an urgent job that has ended."""
        ids = self.urgent.get(account, {})
        ids.pop(job_id, None)
        if not ids:
            self.urgent.pop(account, None)
