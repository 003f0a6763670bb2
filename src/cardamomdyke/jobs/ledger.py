"""Ledger of jobs that every daemon folds from the records."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import StrEnum

from expression import Error, Ok, Result
from msgspec.structs import replace

from cardamomdyke.jobs.layout import (
    StoredProgress,
    make_fragment_keys,
    read_fragment_list,
)
from cardamomdyke.jobs.records import (
    CANCELLATION_PREFIX,
    FINAL_PHASES,
    FRAGMENT_PREFIX,
    JOB_PREFIX,
    PROGRESS_PREFIX,
    UNIT_PREFIX,
    WITHDRAWAL_PREFIX,
    JobPhase,
    JobProgress,
    JobRecord,
    UnitRecord,
    decode_job,
    decode_progress,
    decode_unit,
)


class ChangeKind(StrEnum):
    """What a record changed."""

    ACCEPTED = "accepted"
    CANCELLED = "cancelled"
    PROGRESSED = "progressed"
    REMOVED = "removed"
    WITHDRAWN = "withdrawn"
    WITHDRAWAL_REMOVED = "withdrawal_removed"
    IGNORED = "ignored"
    MALFORMED = "malformed"


@dataclass(frozen=True, slots=True)
class Change:
    """Effect of one record.

    Attributes
    ----------
    kind : ChangeKind
        What changed.
    job_id : str
        Id of the job; the whole key when its prefix is unknown.
    detail : str
        Why a record is malformed; else empty.
    """

    kind: ChangeKind
    job_id: str
    detail: str = ""


@dataclass
class ProgressParts:
    """Records of a job's progress beside the one of the job.

    Attributes
    ----------
    units : dict of str to UnitRecord
        Units with records of their own, by key.
    values : dict of str to bytes
        Fragments, by key.
    fragments : dict of str to tuple of str
        Keys of the fragments in use, by the key of the record that lists them.
    """

    units: dict[str, UnitRecord] = field(default_factory=dict)
    values: dict[str, bytes] = field(default_factory=dict)
    fragments: dict[str, tuple[str, ...]] = field(default_factory=dict)


@dataclass
class Ledger:
    """All jobs that the store keeps.

    Attributes
    ----------
    jobs : dict of str to JobRecord
        Accepted jobs by id; the first record of an id counts.
    cancelled : set of str
        Ids of cancelled jobs.
    progress : dict of str to JobProgress
        What a planner last recorded, by job id; see `read_progress` for the units.
    parts : dict of str to ProgressParts
        Further records of the progress, by id of the jobs that have some.
    withdrawals : dict of str to int
        Epoch of the newest withdrawal of each id that was cancelled without a job.
    """

    jobs: dict[str, JobRecord] = field(default_factory=dict)
    cancelled: set[str] = field(default_factory=set)
    progress: dict[str, JobProgress] = field(default_factory=dict)
    parts: dict[str, ProgressParts] = field(default_factory=dict)
    withdrawals: dict[str, int] = field(default_factory=dict)

    def clear(self) -> None:
        """Forget everything before a full read."""
        self.jobs.clear()
        self.cancelled.clear()
        self.progress.clear()
        self.parts.clear()
        self.withdrawals.clear()


def apply_record(ledger: Ledger, key: str, value: bytes) -> Change:
    """Fold one record into the ledger.

    Parameters
    ----------
    ledger : Ledger
        Changed in place.
    key : str
        A one-letter prefix and the job's id; more in those of units and fragments.
    value : bytes
        Encoded record; empty when the key was removed.

    Returns
    -------
    Change
        What changed.
    """
    prefix, job_id = key[:1], key[1:]
    if prefix in (UNIT_PREFIX, FRAGMENT_PREFIX):
        return apply_part(ledger, prefix, key, value)
    if not value:
        return remove_record(ledger, prefix, job_id)
    if prefix == JOB_PREFIX:
        return add_job(ledger, job_id, value)
    if prefix == CANCELLATION_PREFIX:
        ledger.cancelled.add(job_id)
        return Change(ChangeKind.CANCELLED, job_id)
    if prefix == PROGRESS_PREFIX:
        return set_progress(ledger, job_id, value)
    if prefix == WITHDRAWAL_PREFIX:
        return add_withdrawal(ledger, job_id, value)
    return Change(ChangeKind.MALFORMED, key, "the key has an unknown prefix")


def find_part_owner(prefix: str, key: str) -> str:
    """Return the id of the job to which a unit or fragment belongs."""
    # The key of a fragment holds that of the value, with the prefix of that.
    start = len(prefix) if prefix == UNIT_PREFIX else len(prefix) + 1
    return key[start:].partition(".")[0]


def apply_part(ledger: Ledger, prefix: str, key: str, value: bytes) -> Change:
    """Fold the record of a unit or of a fragment into the ledger.

    Its removal is not that of the job, which goes on.
    """
    job_id = find_part_owner(prefix, key)
    parts = ledger.parts.setdefault(job_id, ProgressParts())
    if value and prefix == UNIT_PREFIX:
        return set_unit(parts, job_id, key, value)
    if value:
        parts.values[key] = value
    else:
        parts.units.pop(key, None)
        parts.values.pop(key, None)
        parts.fragments.pop(key, None)
        if not (parts.units or parts.values):
            del ledger.parts[job_id]
    return Change(ChangeKind.IGNORED, job_id)


def set_unit(parts: ProgressParts, job_id: str, key: str, value: bytes) -> Change:
    """Replace the recorded progress of a unit."""
    result = join_value(parts, key, value).bind(decode_unit)
    if result.is_error():
        return Change(ChangeKind.MALFORMED, job_id, result.error)
    parts.units[key] = result.ok
    return Change(ChangeKind.PROGRESSED, job_id)


def join_value(parts: ProgressParts, key: str, value: bytes) -> Result[bytes, str]:
    """Return a value that may be stored in fragments.

    Fragments are appended before the record that lists them. A full read may meet that
    record first; it then follows again, after its fragments.
    """
    result = read_fragment_list(value)
    if result.is_error():
        return Error(result.error)
    if result.ok is None:
        parts.fragments.pop(key, None)
        return Ok(value)
    if result.ok.count > len(parts.values):
        return Error("some of its fragments are missing")
    names = make_fragment_keys(key, result.ok)
    if any(name not in parts.values for name in names):
        return Error("some of its fragments are missing")
    parts.fragments[key] = names
    return Ok(b"".join(parts.values[name] for name in names))


def remove_record(ledger: Ledger, prefix: str, job_id: str) -> Change:
    """Remove the entry of a removed key."""
    if prefix == JOB_PREFIX:
        ledger.jobs.pop(job_id, None)
    elif prefix == CANCELLATION_PREFIX:
        ledger.cancelled.discard(job_id)
    elif prefix == PROGRESS_PREFIX:
        ledger.progress.pop(job_id, None)
    elif prefix == WITHDRAWAL_PREFIX:
        ledger.withdrawals.pop(job_id, None)
        return Change(ChangeKind.WITHDRAWAL_REMOVED, job_id)
    return Change(ChangeKind.REMOVED, job_id)


def add_job(ledger: Ledger, job_id: str, value: bytes) -> Change:
    """Add an accepted job; ignore a known id."""
    if job_id in ledger.jobs:
        return Change(ChangeKind.IGNORED, job_id)
    result = decode_job(value)
    if result.is_error():
        return Change(ChangeKind.MALFORMED, job_id, result.error)
    ledger.jobs[job_id] = result.ok
    return Change(ChangeKind.ACCEPTED, job_id)


def set_progress(ledger: Ledger, job_id: str, value: bytes) -> Change:
    """Replace a job's recorded progress."""
    parts = ledger.parts.get(job_id, ProgressParts())
    result = join_value(parts, PROGRESS_PREFIX + job_id, value).bind(decode_progress)
    if result.is_error():
        return Change(ChangeKind.MALFORMED, job_id, result.error)
    ledger.progress[job_id] = result.ok
    return Change(ChangeKind.PROGRESSED, job_id)


def read_progress(ledger: Ledger, job_id: str) -> JobProgress | None:
    """Return a job's recorded progress with its units; None if nothing is recorded."""
    progress = ledger.progress.get(job_id)
    if progress is None or not progress.split:
        return progress
    parts = ledger.parts.get(job_id, ProgressParts())
    return replace(progress, units=tuple(parts.units.values()))


def find_stored(ledger: Ledger, job_id: str) -> StoredProgress:
    """Return what the store holds of a job's progress.

    Records of units beside an unsplit progress come from a planner that did not finish
    splitting it.
    """
    progress = ledger.progress.get(job_id)
    parts = ledger.parts.get(job_id, ProgressParts())
    split = progress is not None and progress.split
    units = dict(parts.units) if split else {}
    fragments = {
        key: names
        for key, names in parts.fragments.items()
        if key in units or key == PROGRESS_PREFIX + job_id
    }
    in_use = {*units, *(name for names in fragments.values() for name in names)}
    surplus = frozenset({*parts.units, *parts.values} - in_use)
    return StoredProgress(split, units, fragments, surplus)


def add_withdrawal(ledger: Ledger, job_id: str, value: bytes) -> Change:
    """Add the withdrawal of an id; the highest epoch counts."""
    if not value.isdigit():
        return Change(ChangeKind.MALFORMED, job_id, f"{value!r} is not an epoch")
    known = ledger.withdrawals.get(job_id, 0)
    ledger.withdrawals[job_id] = max(known, int(value))
    return Change(ChangeKind.WITHDRAWN, job_id)


def find_phase(ledger: Ledger, job_id: str) -> JobPhase | None:
    """Return the phase that callers see, or None for an unknown job.

    A final phase stands despite a recorded cancellation.
    """
    if job_id not in ledger.jobs:
        return None
    progress = ledger.progress.get(job_id)
    if progress is not None and progress.phase in FINAL_PHASES:
        return progress.phase
    if job_id in ledger.cancelled:
        return JobPhase.CANCELLED
    return JobPhase.QUEUED if progress is None else progress.phase


def count_waiting(ledger: Ledger, queues: Iterable[str]) -> int:
    """Count the jobs of some queues that wait for their first start."""
    names = set(queues)
    return sum(
        record.queue in names and is_waiting(ledger, record.job_id)
        for record in ledger.jobs.values()
    )


def is_waiting(ledger: Ledger, job_id: str) -> bool:
    """Return whether a job is neither started, ended nor cancelled."""
    if job_id in ledger.cancelled:
        return False
    progress = ledger.progress.get(job_id)
    return progress is None or not (progress.begun or progress.phase in FINAL_PHASES)
