"""Records and faults of the platform's store, and the record format."""

from dataclasses import dataclass
from enum import StrEnum
from struct import Struct as Layout

from expression import Error, Ok, Result

# Before each record: its length. Before the records of a read: the end offset of
# the partition and its first retained offset.
RECORD_LENGTH = Layout(">I")
PAGE_OFFSETS = Layout(">QQ")
MAX_KEY_BYTES = 255


class StoreFaultKind(StrEnum):
    """Outcome of a failed call of the store."""

    NOT_DONE = "not_done"
    UNCERTAIN = "uncertain"
    FENCED = "fenced"
    OUT_OF_SEQUENCE = "out_of_sequence"
    TRIMMED = "trimmed"
    FULL = "full"
    REFUSED = "refused"


@dataclass(frozen=True, slots=True)
class StoreFault:
    """A call of the store that failed.

    Attributes
    ----------
    kind : StoreFaultKind
        ``NOT_DONE`` if the call certainly had no effect and never will, ``REFUSED``
        if the same call will not have one later either.
    detail : str
        What happened.
    sequence : int
        Sequence number that the store expects, for ``OUT_OF_SEQUENCE``; else 0.
    """

    kind: StoreFaultKind
    detail: str
    sequence: int = 0


@dataclass(frozen=True, slots=True)
class KeyedRecord:
    """Record of a topic that keeps the newest record of each key.

    Attributes
    ----------
    key : str
        At most 255 bytes of UTF-8.
    value : bytes
        Empty to remove the key.
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
    partition_end : int
        Offset of the partition's next append.
    records : tuple of KeyedRecord
        In offset order.
    malformed : int
        Records without a readable key, left out of `records`.
    """

    next_offset: int
    partition_end: int
    records: tuple[KeyedRecord, ...]
    malformed: int = 0


def encode_record(record: KeyedRecord) -> bytes:
    """Encode a record for an append: length, key length, key, value."""
    key = record.key.encode()
    content = bytes((len(key),)) + key + record.value
    return RECORD_LENGTH.pack(len(content)) + content


def decode_page(data: bytes, offset: int) -> Result[RecordPage, StoreFault]:
    """Decode the answer to a read.

    Parameters
    ----------
    data : bytes
        End offset and first retained offset, then records.
    offset : int
        First offset requested.

    Returns
    -------
    Result of RecordPage or StoreFault
        The page; malformed records are counted, an incomplete last one is left for
        the next read.
    """
    records: list[KeyedRecord] = []
    malformed = 0
    count = 0
    if len(data) < PAGE_OFFSETS.size:
        return Error(
            StoreFault(StoreFaultKind.UNCERTAIN, "the store's answer is truncated")
        )
    partition_end, _ = PAGE_OFFSETS.unpack_from(data)
    position = PAGE_OFFSETS.size
    while position + RECORD_LENGTH.size <= len(data):
        (length,) = RECORD_LENGTH.unpack_from(data, position)
        position += RECORD_LENGTH.size
        content = data[position : position + length]
        if len(content) < length:
            break
        position += length
        count += 1
        record = _decode_record(content)
        if record is None:
            malformed += 1
        else:
            records.append(record)
    return Ok(RecordPage(offset + count, partition_end, tuple(records), malformed))


def _decode_record(content: bytes) -> KeyedRecord | None:
    if not content:
        return None
    size = content[0]
    try:
        key = content[1 : 1 + size].decode()
    except UnicodeDecodeError:
        return None
    return KeyedRecord(key, content[1 + size :])
