"""Records of the log stream ``config`` and their encoding."""

from dataclasses import dataclass, replace
from enum import StrEnum

from expression import Error, Ok, Result
from msgspec import DecodeError, ValidationError
from msgspec.json import Decoder, encode
from xxhash import xxh3_128_hexdigest

from cardamomdyke.model.tables import Configuration, Tables

CONFIGURATION_STREAM = "config"


class RecordKind(StrEnum):
    """Kind of a record on the stream."""

    EDIT = "edit"
    SNAPSHOT = "snapshot"


class Verdict(StrEnum):
    """What the fold did with a record.

    ``DUPLICATE``: an edit with a known record id. ``BEHIND``: an edit that cannot be
    decided after a gap. ``IGNORED``: a snapshot that fills no gap, or any record that
    was folded before.
    """

    ACCEPTED = "accepted"
    LOST_RACE = "lost_race"
    INVALID = "invalid"
    DUPLICATE = "duplicate"
    BEHIND = "behind"
    ADOPTED = "adopted"
    IGNORED = "ignored"


@dataclass(frozen=True, slots=True)
class Decision:
    """What the fold did with one edit.

    Attributes
    ----------
    record_id : str
        Id of the edit.
    verdict : Verdict
        ``ACCEPTED``, ``LOST_RACE`` or ``INVALID``.
    version : int
        Version in force after the edit.
    detail : str
        Why the edit is invalid; otherwise empty.
    """

    record_id: str
    verdict: Verdict
    version: int
    detail: str = ""


@dataclass(frozen=True, slots=True)
class Edit:
    """Change of the tables; accepted if its base version is in force.

    Attributes
    ----------
    record_id : str
        Unique id, by which an append without an answer is found again.
    base_version : int
        Version that the edit was made from; 0 for the first.
    tables : Tables
        All tables after the edit.
    written_at : float
        Unix time of the append, in seconds.
    author : str
        VM that appended it.
    order_ids : tuple of str
        Ids of the direct orders that this edit records or ends.
    kind : RecordKind
        Always ``edit``.
    """

    record_id: str
    base_version: int
    tables: Tables
    written_at: float
    author: str = ""
    order_ids: tuple[str, ...] = ()
    kind: RecordKind = RecordKind.EDIT


@dataclass(frozen=True, slots=True)
class Snapshot:
    """The configuration in force, appended before its record is trimmed.

    Attributes
    ----------
    configuration : Configuration
        Configuration in force.
    folded_to : int
        The configuration is the fold of all records before this offset.
    decisions : tuple of Decision
        On the newest edits before that offset. Without them, a VM that adopts the
        snapshot could accept an edit that others drop as a duplicate.
    written_at : float
        Unix time of the append, in seconds.
    digest : str
        Digest of the other attributes.
    kind : RecordKind
        Always ``snapshot``.
    """

    configuration: Configuration
    folded_to: int
    decisions: tuple[Decision, ...]
    written_at: float
    digest: str = ""
    kind: RecordKind = RecordKind.SNAPSHOT


ConfigurationRecord = Edit | Snapshot


@dataclass(frozen=True, slots=True)
class _KindOnly:
    kind: RecordKind


_KIND_DECODER = Decoder(_KindOnly)
_EDIT_DECODER = Decoder(Edit)
_SNAPSHOT_DECODER = Decoder(Snapshot)
# Deep nesting raises RecursionError, broken UTF-8 UnicodeDecodeError.
DECODE_ERRORS = (DecodeError, ValidationError, RecursionError, UnicodeDecodeError)


def digest_snapshot(snapshot: Snapshot) -> str:
    """Return the digest of a snapshot's other attributes."""
    return xxh3_128_hexdigest(encode(replace(snapshot, digest="")))


def add_snapshot_digest(snapshot: Snapshot) -> Snapshot:
    """Return the snapshot with its digest set."""
    return replace(snapshot, digest=digest_snapshot(snapshot))


def encode_record(record: ConfigurationRecord) -> bytes:
    """Encode a record as JSON for the stream."""
    return encode(record)


def decode_record(data: bytes) -> Result[ConfigurationRecord, str]:
    """Decode a record; the error says why it is malformed."""
    try:
        kind = _KIND_DECODER.decode(data).kind
        if kind is RecordKind.EDIT:
            return Ok(_EDIT_DECODER.decode(data))
        return Ok(_SNAPSHOT_DECODER.decode(data))
    except DECODE_ERRORS as error:
        return Error(str(error))
