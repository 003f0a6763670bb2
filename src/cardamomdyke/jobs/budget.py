"""Bounds the memory that accepted jobs take on each VM.

It answers clients that submit valid jobs without end. Every daemon keeps all jobs of
the store, so a job is refused before it is stored once there is no room for it.
"""

from collections import Counter
from dataclasses import dataclass, field

from cardamomdyke.jobs.ledger import Change, ChangeKind, Ledger, find_phase
from cardamomdyke.jobs.records import FINAL_PHASES, JobRecord, encode_job

MEGABYTE = 1_000_000
# Memory of a daemon without jobs. What is above it is shared by jobs and clients.
IDLE_MEMORY_MB = 60
# A daemon does not know the memory of its peers, which keep the same jobs; no VM of the
# users has less than this.
SMALLEST_VM_MB = 200.0
MIN_BUDGET_BYTES = 8 * MEGABYTE
# Memory on the planner of a job beside its record, of each of its tasks, and of a job
# that has ended.
JOB_BYTES = 6000
TASK_BYTES = 2000
ENDED_JOB_BYTES = 2000
# A decoded record takes this many times its bytes, but for the specification.
RECORD_FACTOR = 8
# An append without an answer is settled before this; see `Reservation`.
RESERVATION_SECONDS = 60.0


@dataclass(frozen=True, slots=True)
class Charge:
    """What a job counts for.

    Attributes
    ----------
    account : str
        Client account; empty for an anonymous caller.
    held_bytes : int
        Memory that it takes.
    is_ended : bool
        True if the job has ended.
    """

    account: str
    held_bytes: int
    is_ended: bool = False


@dataclass(frozen=True, slots=True)
class Reservation:
    """Room for a job that is being appended.

    Attributes
    ----------
    charge : Charge
        What the job counts for.
    made_at : float
        Time of the append, in seconds.
    """

    charge: Charge
    made_at: float


@dataclass
class JobBudget:
    """Memory of all jobs in the store.

    Attributes
    ----------
    most_bytes : int
        Most bytes that they take together.
    account_share : float
        Largest part of that for one client account.
    charges : dict of str to Charge
        Jobs in the ledger, by id.
    reservations : dict of str to Reservation
        Jobs that are being appended here, by id; the oldest first.
    held_bytes : Counter of str to int
        Bytes by client account, reservations included.
    full_accounts : set of str
        Client accounts whose newest job found no room.
    """

    most_bytes: int
    account_share: float
    charges: dict[str, Charge] = field(default_factory=dict)
    reservations: dict[str, Reservation] = field(default_factory=dict)
    held_bytes: Counter[str] = field(default_factory=Counter)
    full_accounts: set[str] = field(default_factory=set)

    def has_room(self, record: JobRecord) -> bool:
        """Return whether a job fits; the first of an account needs no share."""
        amount = measure_job(record)
        own_bytes = self.held_bytes[record.account]
        is_within_share = own_bytes + amount <= self.account_share * self.most_bytes
        has_bytes = self.held_bytes.total() + amount <= self.most_bytes
        return has_bytes and (not own_bytes or is_within_share)

    def reserve(self, record: JobRecord, now: float) -> None:
        """Reserve room for a job until it is read from the store."""
        self.cancel(record.job_id)
        self.expire(now)
        if record.job_id in self.charges:
            return
        charge = Charge(record.account, measure_job(record))
        self.reservations[record.job_id] = Reservation(charge, now)
        self.add(charge.account, charge.held_bytes)

    def cancel(self, job_id: str) -> None:
        """Release the reservation of a job, if it has one."""
        reservation = self.reservations.pop(job_id, None)
        if reservation is not None:
            self.add(reservation.charge.account, -reservation.charge.held_bytes)

    def expire(self, now: float) -> None:
        """Release the reservations of appends whose outcome was never learnt."""
        for job_id, reservation in list(self.reservations.items()):
            if now - reservation.made_at <= RESERVATION_SECONDS:
                return
            self.cancel(job_id)

    def handle_change(self, ledger: Ledger, change: Change) -> None:
        """Apply a change of the ledger."""
        job_id = change.job_id
        record = ledger.jobs.get(job_id)
        if change.kind is ChangeKind.ACCEPTED:
            self.cancel(job_id)
        if record is None:
            self.set_charge(job_id, None)
            return
        is_ended = find_phase(ledger, job_id) in FINAL_PHASES
        former = self.charges.get(job_id)
        if former is None or former.is_ended != is_ended:
            amount = measure_ended(record) if is_ended else measure_job(record)
            self.set_charge(job_id, Charge(record.account, amount, is_ended))

    def set_charge(self, job_id: str, charge: Charge | None) -> None:
        """Replace what a job counts for."""
        former = self.charges.pop(job_id, None)
        if former is not None:
            self.add(former.account, -former.held_bytes)
        if charge is not None:
            self.charges[job_id] = charge
            self.add(charge.account, charge.held_bytes)

    def add(self, account: str, amount: int) -> None:
        """Change the bytes of a client account, which is forgotten without any."""
        self.held_bytes[account] += amount
        if not self.held_bytes[account]:
            del self.held_bytes[account]

    def clear(self) -> None:
        """Forget the jobs before a full read; reservations stay."""
        for job_id in list(self.charges):
            self.set_charge(job_id, None)


def measure_job(record: JobRecord) -> int:
    """Return the memory of a job that has not ended, in bytes."""
    tasks = sum(step.count for step in record.order.steps)
    return JOB_BYTES + measure_decoded(record) + TASK_BYTES * tasks


def measure_ended(record: JobRecord) -> int:
    """Return the memory of a job that has ended, in bytes."""
    return ENDED_JOB_BYTES + measure_decoded(record)


def measure_decoded(record: JobRecord) -> int:
    """Return the memory of a decoded record, in bytes."""
    text_bytes = len(record.order.specification.encode())
    return text_bytes + RECORD_FACTOR * (len(encode_job(record)) - text_bytes)


def make_job_budget(
    memory_mb: float = SMALLEST_VM_MB,
    job_share: float = 0.4,
    account_share: float = 0.5,
) -> JobBudget:
    """Create the budget of a daemon.

    Parameters
    ----------
    memory_mb : float
        Memory of the VM, in units of 1,000,000 bytes.
    job_share : float
        Part of the memory above `IDLE_MEMORY_MB` for jobs.
    account_share : float
        Largest part of that for one client account.
    """
    spare_mb = min(memory_mb, SMALLEST_VM_MB) - IDLE_MEMORY_MB
    most_bytes = max(MIN_BUDGET_BYTES, int(spare_mb * MEGABYTE * job_share))
    return JobBudget(most_bytes, account_share)
