"""Appended bytes and takeover time of a job, by tasks and length of checkpoints."""

import time
from dataclasses import asdict, dataclass

from fire import Fire
from msgspec.json import encode

from cardamomdyke.jobs.layout import (
    NOTHING_STORED,
    RECORD_LENGTH_BYTES,
    Entry,
    measure_append,
    plan_records,
)
from cardamomdyke.jobs.ledger import Ledger, apply_record, read_progress
from cardamomdyke.jobs.records import (
    JobPhase,
    JobProgress,
    MemberRecord,
    UnitRecord,
)

JOB = "00000000000000a1"
INSTANCE = 1_781_794_038_002
# Limit of the store of all deployments.
RECORD_BYTES = 262_144
# Tasks whose starts or ends are recorded together.
BATCH_TASKS = 8
# Largest page of newest records.
PAGE_RECORDS = 500
PAGE_BYTES = 1_000_000
BASE64_FACTOR = 4 / 3


@dataclass(frozen=True, slots=True)
class RecordCost:
    """Cost of the records of one job.

    Attributes
    ----------
    tasks : int
        Tasks of its only step.
    checkpoint_characters : int
        Length of each checkpoint.
    layout : str
        ``one record``, as if the store had no limit, or ``limited``.
    largest_record_bytes : int
        Largest record.
    appends : int
        Appends of the size of the largest allowed record, or one a batch.
    appended_kb : float
        All that is appended until the job has ended, in thousands of bytes.
    keys : int
        Keys in the store while all tasks run.
    pages : int
        Pages of newest records that a new planner reads for them.
    restore_ms : float
        Processor time to apply these records.
    """

    tasks: int
    checkpoint_characters: int
    layout: str
    largest_record_bytes: int
    appends: int
    appended_kb: float
    keys: int
    pages: int
    restore_ms: float


def make_unit(index: int, run: int, ended: bool, length: int) -> UnitRecord:
    """Return the record of a task that runs or has ended."""
    members = () if ended else (MemberRecord(index, "i-0123456789", INSTANCE),)
    checkpoint = str(run) * length
    return UnitRecord(0, 0, index, ended, run, (), checkpoint, members, 1e9)


def measure_records(tasks: int, length: int, limited: bool) -> RecordCost:
    """Record the starts and ends of all tasks, a few at a time."""
    limit = RECORD_BYTES if limited else 1 << 40
    stored = NOTHING_STORED
    newest: dict[str, bytes] = {}
    units: dict[int, UnitRecord] = {}
    appends = appended = largest = 0
    restored: tuple[int, int, float] = (0, 0, 0.0)
    for ended in (False, True):
        for first in range(0, tasks, BATCH_TASKS):
            for index in range(first, min(tasks, first + BATCH_TASKS)):
                units[index] = make_unit(index, 1, ended, length)
            progress = JobProgress(JobPhase.RUNNING, True, 0.0, tuple(units.values()))
            version = f"1.{appends}"
            entries, stored = plan_records(JOB, progress, stored, version, limit)
            size = measure_append(entries)
            appended += size
            appends += -(-size // (RECORD_LENGTH_BYTES + RECORD_BYTES))
            largest = max(largest, *(len(value) for _, value in entries))
            newest.update(entries)
        if not ended:
            restored = measure_restore([item for item in newest.items() if item[1]])
    layout = "limited" if limited else "one record"
    return RecordCost(
        tasks, length, layout, largest, appends, round(appended / 1000, 1), *restored
    )


def measure_restore(entries: list[Entry]) -> tuple[int, int, float]:
    """Return the number of keys and pages, and the time to apply them, in ms."""
    size = sum(len(value) for _, value in entries) * BASE64_FACTOR
    pages = max(-(-len(entries) // PAGE_RECORDS), -(-round(size) // PAGE_BYTES))
    began_at = time.process_time()
    ledger = Ledger()
    for key, value in sorted(entries):
        apply_record(ledger, key, value)
    read_progress(ledger, JOB)
    took = time.process_time() - began_at
    return len(entries), pages, round(took * 1000, 2)


def main() -> None:
    """Print one line for each job and layout."""
    for tasks, length in (
        (94, 16),
        (3000, 16),
        (94, 3000),
        (3000, 100),
        (3000, 3000),
        (4, 300_000),
    ):
        for limited in (False, True):
            cost = measure_records(tasks, length, limited)
            print(encode(asdict(cost)).decode())


if __name__ == "__main__":
    Fire(main)
