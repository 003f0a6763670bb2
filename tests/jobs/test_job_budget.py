"""The budget of jobs agrees with the ledger, and keeps its bounds."""

from dataclasses import replace

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from cardamomdyke.jobs.budget import (
    RESERVATION_SECONDS,
    JobBudget,
    make_job_budget,
    measure_ended,
    measure_job,
)
from cardamomdyke.jobs.ledger import Ledger, apply_record, find_phase
from cardamomdyke.jobs.records import (
    CANCELLATION_PREFIX,
    FINAL_PHASES,
    JOB_PREFIX,
    PROGRESS_PREFIX,
    JobPhase,
    JobProgress,
    JobRecord,
    encode_job,
    encode_progress,
)
from cardamomdyke.model.orders import JobOrder, Shape, StepOrder

IDS = [f"{number:016x}" for number in range(6)]
ACCOUNTS = ("koffie-invoer", "graan-unie")
MOST_BYTES = 100_000


def make_record(job_id: str, account: str, tasks: int) -> JobRecord:
    step = StepOrder(count=tasks, shape=Shape(100, 0, 0))
    order = JobOrder(specification="x", steps=(step,))
    return JobRecord(job_id, "orders", account, "pool", 1, 2, 3.0, 1.0, 0.0, order)


class BudgetHistory(RuleBasedStateMachine):
    """Submissions, records in any order, and full reads."""

    def __init__(self) -> None:
        super().__init__()
        self.ledger = Ledger()
        self.budget = JobBudget(MOST_BYTES, 0.5)
        self.now = 0.0

    def apply(self, key: str, value: bytes) -> None:
        change = apply_record(self.ledger, key, value)
        self.budget.handle_change(self.ledger, change)

    @rule(
        job_id=st.sampled_from(IDS),
        account=st.sampled_from(ACCOUNTS),
        tasks=st.integers(1, 40),
        is_stored=st.booleans(),
    )
    def submit(self, job_id: str, account: str, tasks: int, is_stored: bool) -> None:
        record = make_record(job_id, account, tasks)
        if job_id in self.ledger.jobs or not self.budget.has_room(record):
            return
        self.budget.reserve(record, self.now)
        assert self.budget.held_bytes.total() <= MOST_BYTES
        if is_stored:
            self.apply(JOB_PREFIX + job_id, encode_job(record))

    @rule(job_id=st.sampled_from(IDS))
    def cancel_append(self, job_id: str) -> None:
        self.budget.cancel(job_id)

    @rule(job_id=st.sampled_from(IDS), phase=st.sampled_from(list(JobPhase)))
    def record_progress(self, job_id: str, phase: JobPhase) -> None:
        self.apply(PROGRESS_PREFIX + job_id, encode_progress(JobProgress(phase)))

    @rule(job_id=st.sampled_from(IDS))
    def record_cancellation(self, job_id: str) -> None:
        self.apply(CANCELLATION_PREFIX + job_id, b"1")

    @rule(job_id=st.sampled_from(IDS))
    def remove(self, job_id: str) -> None:
        for prefix in (JOB_PREFIX, CANCELLATION_PREFIX, PROGRESS_PREFIX):
            self.apply(prefix + job_id, b"")

    @rule()
    def read_again(self) -> None:
        jobs = dict(self.ledger.jobs)
        self.ledger.clear()
        self.budget.clear()
        for job_id, record in jobs.items():
            self.apply(JOB_PREFIX + job_id, encode_job(record))

    @rule(seconds=st.floats(0.0, 2 * RESERVATION_SECONDS))
    def wait(self, seconds: float) -> None:
        self.now += seconds
        self.budget.expire(self.now)

    @invariant()
    def agrees_with_the_ledger(self) -> None:
        """Guards against charges that stay after their job, or that are missing."""
        expected = dict.fromkeys(ACCOUNTS, 0)
        for job_id, record in self.ledger.jobs.items():
            is_ended = find_phase(self.ledger, job_id) in FINAL_PHASES
            amount = measure_ended(record) if is_ended else measure_job(record)
            expected[record.account] += amount
        for reservation in self.budget.reservations.values():
            charge = reservation.charge
            expected[charge.account] += charge.held_bytes
            assert self.now - reservation.made_at <= RESERVATION_SECONDS
        assert dict(self.budget.held_bytes) == {k: v for k, v in expected.items() if v}


TestBudgetHistory = BudgetHistory.TestCase
TestBudgetHistory.settings = settings(max_examples=300, deadline=None)


def test_one_account_leaves_room_for_others() -> None:
    """Guards against an account that takes the room of all jobs."""
    budget = make_job_budget()
    submitted = 0
    while budget.has_room(record := make_record(f"{submitted:x}", ACCOUNTS[0], 3000)):
        budget.reserve(record, 0.0)
        submitted += 1
    assert submitted > 1
    assert budget.has_room(make_record("f" * 16, ACCOUNTS[1], 3000))


def test_smallest_vm_takes_the_jobs_of_the_target_size() -> None:
    """Guards against a bound that clients inside the users' sizes meet.

    14,000 tasks run, and one account submits four of the widest jobs at a time.
    """
    budget = make_job_budget()
    for number in range(4):
        record = make_record(f"{number:x}", ACCOUNTS[0], 2950)
        assert budget.has_room(record)
        budget.reserve(record, 0.0)
    for number in range(44):
        record = make_record(f"a{number:x}", f"account {number % 4}", 50)
        assert budget.has_room(record)
        budget.reserve(record, 0.0)


def test_larger_vm_keeps_to_the_smallest() -> None:
    """Guards against jobs that a smaller VM of the fleet cannot keep."""
    assert make_job_budget(552.0).most_bytes == make_job_budget().most_bytes
    assert make_job_budget(110.0).most_bytes < make_job_budget().most_bytes


def test_first_job_of_an_account_needs_no_share() -> None:
    """Guards against a job inside the limits that is never accepted."""
    budget = replace(make_job_budget(20.0), account_share=0.01)
    assert budget.has_room(make_record(IDS[0], ACCOUNTS[0], 3000))
