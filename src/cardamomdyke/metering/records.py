"""Records of the log stream ``usage`` and their encoding."""

from dataclasses import dataclass
from enum import StrEnum

from expression import Error, Ok, Result
from msgspec.json import Decoder, encode

from cardamomdyke.model.errors import DECODE_ERRORS

USAGE_STREAM = "usage"


class UsageRecordKind(StrEnum):
    """Kind of a record on the stream."""

    BATCH = "batch"
    SUMMARY = "summary"


@dataclass(frozen=True, slots=True)
class PricedReport:
    """Usage of one interval, with the cost set by the VM that read it.

    Amounts are integers, so that sums do not depend on their order.

    Attributes
    ----------
    server : str
        Reporting backend server.
    boot_id : str
        Its boot.
    sequence : int
        Number within the boot, from 1 without gaps.
    client_account : str
        Client account that pays.
    pool : str
        Pool whose price applies; empty if no pool contains the backend server.
    accelerator_ms : int
        Accelerators held times milliseconds.
    requests : int
        Short requests finished.
    ended_at : float
        Unix time of the interval's end, in seconds.
    cost_micros : int
        Cost in millionths of the operators' currency.
    """

    server: str
    boot_id: str
    sequence: int
    client_account: str
    pool: str
    accelerator_ms: int
    requests: int
    ended_at: float
    cost_micros: int


@dataclass(frozen=True, slots=True)
class UsageBatch:
    """Reports that a planner read from its backend servers.

    Attributes
    ----------
    author : str
        VM that appended it.
    written_at : float
        Unix time of the append, in seconds.
    reports : tuple of PricedReport
        Any of them may be in other batches as well.
    kind : UsageRecordKind
        Always ``batch``.
    """

    author: str
    written_at: float
    reports: tuple[PricedReport, ...]
    kind: UsageRecordKind = UsageRecordKind.BATCH


@dataclass(frozen=True, slots=True)
class TotalRow:
    """Usage of one client account in one pool in one month.

    Attributes
    ----------
    month : str
        ``YYYY-MM``, in UTC.
    client_account : str
        Client account that pays.
    pool : str
        Pool whose price applies.
    accelerator_ms : int
        Accelerators held times milliseconds.
    requests : int
        Short requests finished.
    cost_micros : int
        Cost in millionths of the operators' currency.
    """

    month: str
    client_account: str
    pool: str
    accelerator_ms: int
    requests: int
    cost_micros: int


@dataclass(frozen=True, slots=True)
class DayRow:
    """Cost of one client account on one day, for the forecast.

    Attributes
    ----------
    day : str
        ``YYYY-MM-DD``, in UTC.
    client_account : str
        Client account that pays.
    cost_micros : int
        Cost in millionths of the operators' currency.
    """

    day: str
    client_account: str
    cost_micros: int


@dataclass(frozen=True, slots=True)
class Span:
    """Range of consecutive sequence numbers.

    Attributes
    ----------
    first, last : int
        Both inclusive.
    """

    first: int
    last: int


@dataclass(frozen=True, slots=True)
class ChainRow:
    """Sequence numbers of a boot's counted reports.

    Attributes
    ----------
    server : str
        Reporting backend server.
    boot_id : str
        Its boot.
    month : str
        Newest month of the reports.
    spans : tuple of Span
        Ascending, with at least one number between two spans.
    """

    server: str
    boot_id: str
    month: str
    spans: tuple[Span, ...]


@dataclass(frozen=True, slots=True)
class Summary:
    """Totals of all records before an offset, appended before they are trimmed.

    Attributes
    ----------
    covers_until : int
        All records before this offset are counted.
    written_at : float
        Unix time of the append, in seconds.
    author : str
        VM that appended it.
    incomplete : bool
        True if the author may have missed records.
    totals : tuple of TotalRow
        Usage by month, client account and pool.
    days : tuple of DayRow
        Cost by day and client account.
    chains : tuple of ChainRow
        Counted reports by boot.
    kind : UsageRecordKind
        Always ``summary``.
    """

    covers_until: int
    written_at: float
    author: str
    incomplete: bool
    totals: tuple[TotalRow, ...]
    days: tuple[DayRow, ...]
    chains: tuple[ChainRow, ...]
    kind: UsageRecordKind = UsageRecordKind.SUMMARY


UsageRecord = UsageBatch | Summary


@dataclass(frozen=True, slots=True)
class StoredRecord:
    """Record read from the log.

    Attributes
    ----------
    offset : int
        Position in the stream.
    data : bytes
        Encoded usage record.
    """

    offset: int
    data: bytes


@dataclass(frozen=True, slots=True)
class _KindOnly:
    kind: UsageRecordKind


_KIND_DECODER = Decoder(_KindOnly)
_BATCH_DECODER = Decoder(UsageBatch)
_SUMMARY_DECODER = Decoder(Summary)


def encode_usage_record(record: UsageRecord) -> bytes:
    """Encode a record as JSON for the stream."""
    return encode(record)


def decode_usage_record(data: bytes) -> Result[UsageRecord, str]:
    """Decode a record; the error says why it is malformed."""
    try:
        if _KIND_DECODER.decode(data).kind is UsageRecordKind.BATCH:
            return Ok(_BATCH_DECODER.decode(data))
        return Ok(_SUMMARY_DECODER.decode(data))
    except DECODE_ERRORS as error:
        return Error(str(error))
