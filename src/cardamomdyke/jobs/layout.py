"""Layout of a job's progress over records of limited size.

Progress that fits into one record is one record. Otherwise each unit has a record of
its own, and only those that changed are written again. A value that is still larger
than a record is stored in fragments, and its own record lists them.
"""

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field

from expression import Error, Ok, Result
from msgspec import Struct
from msgspec.msgpack import Decoder, encode
from msgspec.structs import replace

from cardamomdyke.jobs.records import (
    FRAGMENT_PREFIX,
    PROGRESS_PREFIX,
    UNIT_PREFIX,
    JobProgress,
    UnitRecord,
    encode_progress,
    encode_unit,
)
from cardamomdyke.model.errors import DECODE_ERRORS

# Key and value of a record; an empty value removes the key.
Entry = tuple[str, bytes]
# The store precedes each record by its length, and each key by its own.
RECORD_LENGTH_BYTES = 4
KEY_LENGTH_BYTES = 1
# Begins a list of fragments. MessagePack does not use this byte.
FRAGMENT_MARK = b"\xc1"
# Digits of the highest number of a fragment.
MAX_NUMBER_DIGITS = 6


@dataclass(frozen=True, slots=True)
class RecordLimits:
    """Limits of the store for what is appended, in bytes.

    Attributes
    ----------
    record_bytes : int
        Largest record, without its length.
    append_bytes : int
        Largest total of the records of one append, with their lengths.
    """

    record_bytes: int
    append_bytes: int


class FragmentList(Struct, frozen=True, array_like=True):
    """Value of a record whose content is stored in fragments.

    Attributes
    ----------
    version : str
        Part of the fragments' keys; differs each time that the value is written.
    count : int
        Number of fragments.
    """

    version: str
    count: int


_FRAGMENT_LIST_DECODER = Decoder(FragmentList)


@dataclass(frozen=True, slots=True)
class StoredProgress:
    """What the store holds of a job's progress.

    Attributes
    ----------
    split : bool
        True if each unit has a record of its own.
    units : mapping of str to UnitRecord
        Units with records of their own, by key.
    fragments : mapping of str to tuple of str
        Keys of the fragments in use, by the key of the record that lists them.
    surplus : frozenset of str
        Keys that may be in the store and are no longer used.
    """

    split: bool = False
    units: Mapping[str, UnitRecord] = field(default_factory=dict)
    fragments: Mapping[str, tuple[str, ...]] = field(default_factory=dict)
    surplus: frozenset[str] = frozenset()


NOTHING_STORED = StoredProgress()


def measure_record(entry: Entry) -> int:
    """Return the size of a record, in the bytes that the store's limit counts."""
    key, value = entry
    return KEY_LENGTH_BYTES + len(key.encode()) + len(value)


def measure_append(entries: Collection[Entry]) -> int:
    """Return the size of an append of some records, in bytes."""
    return sum(RECORD_LENGTH_BYTES + measure_record(entry) for entry in entries)


def make_unit_key(job_id: str, unit: UnitRecord) -> str:
    """Return the key of the record of one unit."""
    return f"{UNIT_PREFIX}{job_id}.{unit.occurrence}.{unit.step}.{unit.index}"


def make_fragment_keys(key: str, fragments: FragmentList) -> tuple[str, ...]:
    """Return the keys of the fragments of a record's value."""
    prefix = f"{FRAGMENT_PREFIX}{key}.{fragments.version}"
    return tuple(f"{prefix}.{number}" for number in range(fragments.count))


def split_value(key: str, value: bytes, version: str, limit_bytes: int) -> list[Entry]:
    """Return the records of a value, none larger than the limit.

    Parameters
    ----------
    key : str
        Key of the value.
    value : bytes
        Value to store, of any size.
    version : str
        Version of the fragments, never used before for this key.
    limit_bytes : int
        Largest record.

    Returns
    -------
    list of Entry
        The value itself if it fits; else its fragments, and last the record that
        lists them.
    """
    if measure_record((key, value)) <= limit_bytes:
        return [(key, value)]
    longest_key = f"{FRAGMENT_PREFIX}{key}.{version}.{'9' * MAX_NUMBER_DIGITS}"
    room = limit_bytes - measure_record((longest_key, b""))
    parts = [value[start : start + room] for start in range(0, len(value), room)]
    fragments = FragmentList(version, len(parts))
    keys = make_fragment_keys(key, fragments)
    return [
        *zip(keys, parts, strict=True),
        (key, FRAGMENT_MARK + encode(fragments)),
    ]


def read_fragment_list(value: bytes) -> Result[FragmentList | None, str]:
    """Return the list of a value's fragments; None if the value is not split."""
    if not value.startswith(FRAGMENT_MARK):
        return Ok(None)
    try:
        return Ok(_FRAGMENT_LIST_DECODER.decode(value[len(FRAGMENT_MARK) :]))
    except DECODE_ERRORS as error:
        return Error(f"the list of fragments cannot be read: {error}")


def plan_records(
    job_id: str,
    progress: JobProgress,
    stored: StoredProgress,
    version: str,
    limit_bytes: int,
) -> tuple[list[Entry], StoredProgress]:
    """Plan the records that bring a job's stored progress up to date.

    Until the last of them is stored, what is restored is the former progress of each
    unit or the new one. A unit is recorded before the job, so that no job that has
    ended lacks a unit, and what the job's record still needs is removed after it.

    Parameters
    ----------
    job_id : str
        Id of the job.
    progress : JobProgress
        Progress to store.
    stored : StoredProgress
        What the store holds.
    version : str
        Never used before for this job.
    limit_bytes : int
        Largest record.

    Returns
    -------
    list of Entry
        Records to append, in this order, in one append or several.
    StoredProgress
        What the store holds afterwards.
    """
    key = PROGRESS_PREFIX + job_id
    entries: list[Entry] = []
    units: dict[str, UnitRecord] = {}
    fragments: dict[str, tuple[str, ...]] = {}

    def add_value(value_key: str, value: bytes) -> None:
        parts = split_value(value_key, value, version, limit_bytes)
        entries.extend(parts)
        if len(parts) > 1:
            fragments[value_key] = tuple(name for name, _ in parts[:-1])

    # Once split, a job stays so: at the limit, each change could move all its units.
    whole = b"" if stored.split else encode_progress(progress)
    split = stored.split or measure_record((key, whole)) > limit_bytes
    if split:
        for unit in progress.units:
            unit_key = make_unit_key(job_id, unit)
            units[unit_key] = unit
            if stored.units.get(unit_key) != unit:
                add_value(unit_key, encode_unit(unit))
            elif unit_key in stored.fragments:
                fragments[unit_key] = stored.fragments[unit_key]
        whole = encode_progress(replace(progress, units=(), split=True))
    add_value(key, whole)
    in_use = {*units, *(name for names in fragments.values() for name in names)}
    surplus = list_keys(stored) - in_use
    # Units go before their fragments: a record that lists fragments which are gone
    # cannot be read, so its key would not be known any more.
    entries += [(name, b"") for name in sorted(surplus, reverse=True)]
    return entries, StoredProgress(split, units, fragments)


def list_keys(stored: StoredProgress) -> frozenset[str]:
    """Return the keys of a job's progress but for that of the job itself."""
    fragments = {name for names in stored.fragments.values() for name in names}
    return stored.surplus | fragments | frozenset(stored.units)


def forget_written(
    stored: StoredProgress, entries: Collection[Entry]
) -> StoredProgress:
    """Return what is known of the store after an append of some records failed.

    They may be stored or not, so their units are written again.
    """
    keys = {key for key, _ in entries if not key.startswith(PROGRESS_PREFIX)}
    units = {key: unit for key, unit in stored.units.items() if key not in keys}
    return StoredProgress(stored.split, units, stored.fragments, stored.surplus | keys)
