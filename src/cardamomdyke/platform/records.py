"""Records of the platform's store, their encoding, and what failed calls mean."""

from dataclasses import dataclass
from enum import StrEnum
from struct import Struct as Layout

from expression import Error, Ok, Result

# Before each record: its length. Before the records of a read: the end of the
# partition and its first retained offset.
RECORD_LENGTH = Layout(">I")
READ_BOUNDS = Layout(">QQ")
MAX_KEY_BYTES = 255


class StoreFaultKind(StrEnum):
    """What a failed call of the store means."""

    NOT_DONE = "not_done"
    UNCERTAIN = "uncertain"
    FENCED = "fenced"
    OUT_OF_SEQUENCE = "out_of_sequence"
    TRIMMED = "trimmed"
    FULL = "full"


@dataclass(frozen=True, slots=True)
class StoreFault:
    """A call of the store that failed.

    Attributes
    ----------
    kind : StoreFaultKind
        ``NOT_DONE`` when the call certainly had no effect and never will.
    detail : str
        What happened.
    sequence : int
        Sequence number that the store expects, for ``OUT_OF_SEQUENCE``.
    """

    kind: StoreFaultKind
    detail: str
    sequence: int = 0


@dataclass(frozen=True, slots=True)
class KeyedRecord:
    """A record of a topic that keeps the newest record of each key.

    Attributes
    ----------
    key : str
        At most 255 bytes.
    value : bytes
        Empty to drop the key.
    """

    key: str
    value: bytes


@dataclass(frozen=True, slots=True)
class RecordPage:
    """Records of a partition from an offset on.

    Attributes
    ----------
    next_offset : int
        Offset after the last record of this page.
    end : int
        Offset that the next append gets.
    records : tuple of KeyedRecord
        In offset order.
    malformed : int
        Records whose key cannot be read; they are left out.
    """

    next_offset: int
    end: int
    records: tuple[KeyedRecord, ...]
    malformed: int = 0


def frame_record(record: KeyedRecord) -> bytes:
    """Encode a record as an append takes it."""
    key = record.key.encode()
    content = bytes((len(key),)) + key + record.value
    return RECORD_LENGTH.pack(len(content)) + content


def split_page(data: bytes, offset: int) -> Result[RecordPage, StoreFault]:
    """Split the answer to a read into its records.

    Parameters
    ----------
    data : bytes
        End and first kept offset, then records.
    offset : int
        First offset wanted.

    Returns
    -------
    Result of RecordPage or StoreFault
        The page; a record that cannot be read is counted.
    """
    records: list[KeyedRecord] = []
    malformed = 0
    count = 0
    if len(data) < READ_BOUNDS.size:
        return Error(StoreFault(StoreFaultKind.UNCERTAIN, "the store's page is cut"))
    end, _ = READ_BOUNDS.unpack_from(data)
    position = READ_BOUNDS.size
    while position + RECORD_LENGTH.size <= len(data):
        (length,) = RECORD_LENGTH.unpack_from(data, position)
        position += RECORD_LENGTH.size
        content = data[position : position + length]
        if len(content) < length:
            break
        position += length
        count += 1
        record = _read_record(content)
        if record is None:
            malformed += 1
        else:
            records.append(record)
    return Ok(RecordPage(offset + count, end, tuple(records), malformed))


def _read_record(content: bytes) -> KeyedRecord | None:
    if not content:
        return None
    size = content[0]
    try:
        key = content[1 : 1 + size].decode()
    except UnicodeDecodeError:
        return None
    return KeyedRecord(key, content[1 + size :])
