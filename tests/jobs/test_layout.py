"""Layout of a job's progress over records of limited size."""

from dataclasses import dataclass, field

import pytest
from hypothesis import example, given
from hypothesis import strategies as st
from msgspec.msgpack import encode
from msgspec.structs import replace

from cardamomdyke.jobs.layout import (
    NOTHING_STORED,
    Entry,
    StoredProgress,
    forget_written,
    measure_record,
    plan_records,
)
from cardamomdyke.jobs.ledger import (
    ChangeKind,
    Ledger,
    apply_record,
    find_stored,
    read_progress,
)
from cardamomdyke.jobs.records import (
    GANG_INDEX,
    JOB_PREFIX,
    PROGRESS_PREFIX,
    JobPhase,
    JobProgress,
    JobRecord,
    MemberRecord,
    UnitRecord,
    encode_job,
    encode_progress,
)
from cardamomdyke.jobs.retention import list_keys
from cardamomdyke.model.orders import JobOrder, Shape, StepOrder

JOB = "00000000000000a1"
LIMIT_BYTES = 1024
INSTANCE = 1_781_794_038_002


def make_unit(index: int, checkpoint: str = "") -> UnitRecord:
    members = (MemberRecord(index, "i-0123456789", INSTANCE),)
    return UnitRecord(0, 0, index, False, 1, (), checkpoint, members, 1.5)


def make_progress(units: tuple[UnitRecord, ...]) -> JobProgress:
    return JobProgress(JobPhase.RUNNING, True, 0.0, units)


def make_gang_unit(members: int, crashes: int = 0) -> UnitRecord:
    return UnitRecord(
        0,
        0,
        GANG_INDEX,
        run=9,
        members=tuple(
            MemberRecord(index, f"i-{index:010x}", INSTANCE) for index in range(members)
        ),
        crashes=tuple((index, 1) for index in range(crashes)),
        later_crashes=tuple((index, 2) for index in range(crashes)),
    )


@dataclass
class Journal:
    """The store's records of one job, and a ledger that follows them."""

    entries: list[Entry] = field(default_factory=list)
    ledger: Ledger = field(default_factory=Ledger)

    def append(self, entries: list[Entry]) -> None:
        self.entries += entries
        for key, value in entries:
            change = apply_record(self.ledger, key, value)
            assert change.kind is not ChangeKind.MALFORMED, change.detail

    def read_newest(self) -> Ledger:
        """Read the newest record of each key, as after a loss of the history."""
        ledger = Ledger()
        for key, value in sorted(dict(self.entries).items()):
            if value:
                apply_record(ledger, key, value)
        return ledger


def list_units(progress: JobProgress | None) -> dict[tuple[int, int, int], UnitRecord]:
    units = progress.units if progress is not None else ()
    return {(unit.occurrence, unit.step, unit.index): unit for unit in units}


def check_stored(journal: Journal, progress: JobProgress) -> None:
    """Check that a planner would restore exactly this progress."""
    for ledger in (journal.ledger, journal.read_newest()):
        restored = read_progress(ledger, JOB)
        assert restored is not None
        assert replace(restored, units=(), split=False) == replace(progress, units=())
        assert list_units(restored) == list_units(progress)


def record(
    journal: Journal, progress: JobProgress, version: str, limit: int = LIMIT_BYTES
) -> list[Entry]:
    stored = find_stored(journal.ledger, JOB)
    entries, _ = plan_records(JOB, progress, stored, version, limit)
    assert max(map(measure_record, entries)) <= limit
    journal.append(entries)
    return entries


def pad_to(size: int) -> JobProgress:
    """Return progress whose single record has a size, by the length of a checkpoint."""
    for length in range(size):
        progress = make_progress((make_unit(0, "0" * length), make_unit(1)))
        entry = (PROGRESS_PREFIX + JOB, encode_progress(progress))
        if measure_record(entry) == size:
            return progress
    raise AssertionError(f"no progress has {size} bytes")


def test_progress_at_the_limit_is_one_record() -> None:
    """Guards against a layout that costs more records for jobs below the limit."""
    journal = Journal()
    progress = pad_to(LIMIT_BYTES)
    entries = record(journal, progress, "1.1")
    assert entries == [(PROGRESS_PREFIX + JOB, encode_progress(progress))]
    check_stored(journal, progress)


@pytest.mark.parametrize(
    "progress",
    [
        pytest.param(pad_to(LIMIT_BYTES + 1), id="one byte above"),
        pytest.param(make_progress(tuple(map(make_unit, range(200)))), id="width"),
        pytest.param(
            make_progress(tuple(make_unit(i, "x" * 300) for i in range(20))),
            id="checkpoints",
        ),
        pytest.param(
            make_progress((make_unit(0, "x" * 10_000), make_unit(1))),
            id="one checkpoint",
        ),
        pytest.param(make_progress((make_gang_unit(500),)), id="members"),
        pytest.param(make_progress((make_gang_unit(8, 400),)), id="crashes"),
        pytest.param(
            JobProgress(JobPhase.RUNNING, True, closed=tuple(range(5, 2000, 2))),
            id="closed occurrences",
        ),
    ],
)
def test_progress_above_the_limit_is_kept_whole(progress: JobProgress) -> None:
    """Guards against a record that the store refuses, and against lost progress."""
    journal = Journal()
    entries = record(journal, progress, "1.1")
    assert len(entries) > 1
    check_stored(journal, progress)
    # A planner that takes over writes only what differs.
    entries = record(journal, progress, "2.1")
    units = [key for key, _ in entries if not key.endswith(JOB)]
    assert [key for key in units if key.startswith("u")] == []
    check_stored(journal, progress)


def test_only_changed_units_are_written_again() -> None:
    """Guards against a wide job that writes its whole progress for each task."""
    journal = Journal()
    units = list(map(make_unit, range(200)))
    record(journal, make_progress(tuple(units)), "1.1")
    units[7] = replace(units[7], done=True, members=())
    entries = record(journal, make_progress(tuple(units)), "1.2")
    assert len(entries) == 2
    check_stored(journal, make_progress(tuple(units)))


def test_replaced_fragments_are_removed() -> None:
    """Guards against checkpoints that stay in the store after they were replaced."""
    journal = Journal()
    for number in range(4):
        unit = make_unit(0, str(number) * 5000)
        record(journal, make_progress((unit, make_unit(1))), f"1.{number}")
    values = journal.ledger.parts[JOB].values
    assert sum(map(len, values.values())) < 6000


def test_records_of_the_last_version_are_read_and_split() -> None:
    """Guards against jobs that are lost or repeated at an upgrade.

    The last version recorded a job without the field `split`.
    """
    units = tuple(make_unit(index, "x" * 300) for index in range(20))
    progress = make_progress(units[:2])
    old = encode(
        ["running", True, 0.0, [list(unit_fields(unit)) for unit in units[:2]], 0, []]
    )
    journal = Journal()
    journal.append([(PROGRESS_PREFIX + JOB, old)])
    check_stored(journal, progress)
    record(journal, make_progress(units), "1.1")
    check_stored(journal, make_progress(units))


def unit_fields(unit: UnitRecord) -> tuple[object, ...]:
    return tuple(getattr(unit, name) for name in unit.__struct_fields__)


def test_removal_leaves_no_record() -> None:
    """Guards against records of ended jobs that stay in the store for good."""
    journal = Journal()
    order = JobOrder("x", (StepOrder(2, Shape(1)),))
    job = JobRecord(JOB, "q", "a", "p", 1, 1, 1.0, 0.0, 0.0, order)
    journal.append([(JOB_PREFIX + JOB, encode_job(job))])
    units = (make_unit(0, "x" * 5000), make_unit(1))
    record(journal, make_progress(units), "1.1")
    keys = list_keys(journal.ledger, JOB)
    # The removal of the others can be tried again while the progress is there.
    assert keys[0] == JOB_PREFIX + JOB
    assert keys[-1] == PROGRESS_PREFIX + JOB
    journal.append([(key, b"") for key in keys])
    assert journal.ledger == Ledger()
    assert journal.read_newest() == Ledger()


LONG = "y" * 500
CHECKPOINTS = st.sampled_from(["", "x" * 20, LONG, "z" * 3000])
UNITS = st.dictionaries(st.integers(0, 5), CHECKPOINTS, min_size=1)


@given(
    versions=st.lists(
        st.tuples(UNITS, st.booleans(), st.floats(0.0, 1.0)), min_size=1, max_size=6
    )
)
@example(versions=[({1: LONG}, False, 1.0), ({0: ""}, False, 0.75), ({0: ""}, True, 1)])
def test_interrupted_writes_lose_nothing(
    versions: list[tuple[dict[int, str], bool, float]],
) -> None:
    """Guards against progress that a planner loses which ends between two appends.

    Each unit is restored as it was recorded last, or as it was being recorded. The same
    holds for a planner whose records are refused and that goes on.
    """
    journal = Journal()
    stored: StoredProgress = NOTHING_STORED
    allowed: dict[int, set[str]] = {}
    kept: set[int] = set()
    for number, (checkpoints, takes_over, share) in enumerate(versions):
        units = tuple(make_unit(index, text) for index, text in checkpoints.items())
        progress = make_progress(units)
        if takes_over:
            stored = find_stored(journal.read_newest(), JOB)
        version = f"{number}.1"
        entries, finished = plan_records(JOB, progress, stored, version, 400)
        count = round(share * len(entries))
        journal.append(entries[:count])
        if count == len(entries):
            stored = finished
            check_stored(journal, progress)
            allowed = {index: {text} for index, text in checkpoints.items()}
            kept = set(checkpoints)
            continue
        stored = forget_written(stored, entries)
        for index, text in checkpoints.items():
            allowed.setdefault(index, set()).add(text)
        kept &= set(checkpoints)
        restored = list_units(read_progress(journal.read_newest(), JOB))
        assert {(0, 0, index) for index in kept} <= set(restored)
        for unit in restored.values():
            assert unit.checkpoint in allowed[unit.index]
