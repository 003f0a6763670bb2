"""Client of the platform's store: a log with partitions, keys and groups."""

import asyncio
from base64 import b64decode
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from urllib.parse import urlencode

from expression import Error, Ok, Result
from msgspec import Struct
from msgspec.json import Decoder, encode
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPResponse

from cardamomdyke.adapters.http import HttpCall, TransportFaultKind, send_call
from cardamomdyke.model.errors import DECODE_ERRORS
from cardamomdyke.platform.records import (
    KeyedRecord,
    RecordPage,
    StoreFault,
    StoreFaultKind,
    decode_page,
    encode_record,
)

# Topics that the operator and the backend servers append to.
OPERATOR_TOPIC = "keyed.op"
SERVERS_TOPIC = "keyed.servers"
# Topic of the daemons: jobs, their progress, and the daemons' announcements.
WORK_TOPIC = "keyed.work"
CALL_TIMEOUT_SECONDS = 0.8
# A read of newest records is abandoned when no data arrives for this long. Checked once
# a second, it leaves a slow store 2 s for the first byte.
PAGE_STALL_TIMEOUT_SECONDS = 1.5
# A page has up to 1 MB, which takes 1.7 s on a link of 5 Mbit/s.
PAGE_TIMEOUT_SECONDS = 6.0
# Largest answer to a read of records below this size; 0.4 s on a link of 5 Mbit/s.
MAX_READ_KB = 256
KILOBYTE = 1024
# Answers in the range of a caller's faults that a later try need not get: a timeout, a
# conflict, a condition that does not hold, and too many calls.
PASSING_CODES = frozenset({408, 409, 412, 425, 429})
# Offset of an append that the store confirmed without naming one.
UNKNOWN_OFFSET = -1
# Timeout of a long poll, beyond its wait.
POLL_MARGIN_SECONDS = 0.8


@dataclass(frozen=True, slots=True)
class Producer:
    """Identity of an append, for fencing and recognising repeats.

    Attributes
    ----------
    name : str
        Name of the producer.
    epoch : int
        Fencing epoch; one below the highest seen is refused.
    sequence : int
        Number of this append in its epoch.
    """

    name: str
    epoch: int
    sequence: int


@dataclass(frozen=True, slots=True)
class NewestPage:
    """Newest records of a range of keys.

    Attributes
    ----------
    partition_end : int
        Offset of the partition's next append.
    records : tuple of KeyedRecord
        In the order of their keys, not of their offsets.
    has_next : bool
        True if keys after the last one are left.
    """

    partition_end: int
    records: tuple[KeyedRecord, ...]
    has_next: bool


@dataclass(frozen=True, slots=True)
class Membership:
    """Answer to a join of a group.

    Attributes
    ----------
    generation : int
        Increases with each change of the group.
    partitions : frozenset of int
        Partitions assigned to the member.
    """

    generation: int
    partitions: frozenset[int]


class _Refusal(Struct):
    reason: str = ""
    sequence: int = 0


class _Appended(Struct):
    offset: int = UNKNOWN_OFFSET


class _Item(Struct):
    key: str
    value: str | None = None


class _Newest(Struct):
    items: list[_Item]
    end_offset: int
    has_more: bool = False


class _Joined(Struct):
    generation: int
    parts: list[tuple[str, int, int]]


_REFUSAL_DECODER = Decoder(_Refusal)
_APPENDED_DECODER = Decoder(_Appended)
_NEWEST_DECODER = Decoder(_Newest)
_JOINED_DECODER = Decoder(_Joined)


# Weight of an answer in the mean; two or three joins, 0.2 s apart, show a change.
ANSWER_WEIGHT = 0.4
# A process that did not run for this long may read answers that are as old.
PAUSE_SECONDS = 0.5


@dataclass
class StoreContact:
    """When and how fast the store last served this daemon.

    Attributes
    ----------
    clock : callable
        Steady clock, in seconds; counts suspended time.
    observe : callable
        Takes the path and the duration in seconds of each call.
    answered_at : float
        Time of the last answer other than 429 and 5xx, in seconds of `clock`; 0 for
        none.
    answer_seconds : float
        Moving average of call durations.
    ran_at : float
        When the process last ran, in seconds of `clock`; 0 before the first time.
    resumed_at : float
        End of the process's last pause, in seconds of `clock`; 0 for none.
    """

    clock: Callable[[], float]
    observe: Callable[[str, float], None]
    answered_at: float = 0.0
    answer_seconds: float = 0.0
    ran_at: float = 0.0
    resumed_at: float = 0.0

    def record_running(self) -> None:
        """Record that the process runs, and whether it was paused before."""
        now = self.clock()
        if self.ran_at and now - self.ran_at > PAUSE_SECONDS:
            self.resumed_at = now
        self.ran_at = now

    def was_paused(self, seconds: float) -> bool:
        """Return whether the process was paused, until at most `seconds` ago."""
        self.record_running()
        return bool(self.resumed_at) and self.clock() - self.resumed_at < seconds

    def record_answer(self, seconds: float, counts_for_mean: bool) -> None:
        """Record an answer; long polls and pages do not count for the mean duration.

        An answer to a call from before a pause may have waited since the pause began,
        so it does not show that the store can be reached now.
        """
        self.record_running()
        now = self.clock()
        if now - seconds < self.resumed_at:
            return
        self.answered_at = now
        if counts_for_mean:
            self.answer_seconds += ANSWER_WEIGHT * (seconds - self.answer_seconds)

    async def watch_pauses_forever(self) -> None:
        """Notice pauses of the process, until cancelled."""
        while True:
            self.record_running()
            await asyncio.sleep(PAUSE_SECONDS / 5)


@dataclass(frozen=True)
class StoreClient:
    """Client of the store.

    Attributes
    ----------
    http : CurlAsyncHTTPClient
        HTTP client of the event loop.
    address : str
        ``host:port`` of the store.
    contact : StoreContact
        Contact with the store.
    record_limit_bytes : int
        Largest record; a read asks for as much at least.
    """

    http: CurlAsyncHTTPClient
    address: str
    contact: StoreContact
    record_limit_bytes: int = 0

    async def append_records(
        self,
        topic: str,
        records: Sequence[KeyedRecord],
        producer: Producer | None = None,
        timeout_seconds: float = CALL_TIMEOUT_SECONDS,
    ) -> Result[int, StoreFault]:
        """Append records to partition 0 of a topic, all or none.

        Parameters
        ----------
        topic : str
            A topic that keeps the newest record of each key.
        records : sequence of KeyedRecord
            Empty to announce the producer's epoch only.
        producer : Producer or None
            For fencing and recognising repeats; None for neither.
        timeout_seconds : float
            Timeout of the call.

        Returns
        -------
        Result of int or StoreFault
            Offset of the first record, also if the append repeats an earlier one;
            `UNKNOWN_OFFSET` if the store does not say. The fault says whether the
            records may have been or may still be appended.
        """
        query: dict[str, str | int] = {"topic": topic, "part": 0}
        if producer is not None:
            query["producer"] = producer.name
            query["epoch"] = producer.epoch
            query["sequence"] = producer.sequence
        body = b"".join(encode_record(record) for record in records)
        result = await self._call("POST", "/log-append", query, body, timeout_seconds)
        if result.is_error():
            return Error(result.error)
        try:
            return Ok(_APPENDED_DECODER.decode(result.ok.body).offset)
        except DECODE_ERRORS:
            # The records are stored all the same.
            return Ok(UNKNOWN_OFFSET)

    async def read_records(
        self, topic: str, offset: int, wait_seconds: float = 0.0
    ) -> Result[RecordPage, StoreFault]:
        """Read records of partition 0, waiting if there are none.

        Parameters
        ----------
        topic : str
            A topic that keeps the newest record of each key.
        offset : int
            Offset to read from.
        wait_seconds : float
            Longest wait for a record; 0 to return at once.

        Returns
        -------
        Result of RecordPage or StoreFault
            ``TRIMMED`` if the offset is no longer retained.
        """
        query: dict[str, str | int] = {
            "topic": topic,
            "part": 0,
            "from": offset,
            "wait_ms": round(wait_seconds * 1000),
            "max_kb": max(MAX_READ_KB, self.record_limit_bytes // KILOBYTE + 1),
        }
        timeout = wait_seconds + (
            POLL_MARGIN_SECONDS if wait_seconds else CALL_TIMEOUT_SECONDS
        )
        result = await self._call("GET", "/log-read", query, None, timeout)
        if result.is_error():
            return Error(result.error)
        return decode_page(result.ok.body, offset)

    async def read_newest(
        self, topic: str, after: str = ""
    ) -> Result[NewestPage, StoreFault]:
        """Read a page of the newest records of all keys of partition 0.

        Parameters
        ----------
        topic : str
            A topic that keeps the newest record of each key.
        after : str
            Last key of the previous page; empty for the first.

        Returns
        -------
        Result of NewestPage or StoreFault
            The page.
        """
        query: dict[str, str | int] = {"topic": topic, "part": 0}
        if after:
            query["after"] = after
        result = await self._call(
            "GET",
            "/log-newest",
            query,
            None,
            PAGE_TIMEOUT_SECONDS,
            PAGE_STALL_TIMEOUT_SECONDS,
        )
        if result.is_error():
            return Error(result.error)
        try:
            wire = _NEWEST_DECODER.decode(result.ok.body)
            records = tuple(
                KeyedRecord(item.key, b64decode(item.value or "", validate=True))
                for item in wire.items
            )
        except (*DECODE_ERRORS, ValueError) as error:
            return Error(_make_malformed(error))
        return Ok(NewestPage(wire.end_offset, records, wire.has_more))

    async def join_group(
        self,
        group: str,
        member: str,
        topic: str,
        ttl_seconds: float,
        generation: int,
        timeout_seconds: float = CALL_TIMEOUT_SECONDS,
    ) -> Result[Membership, StoreFault]:
        """Join a group, or renew a membership.

        Parameters
        ----------
        group : str
            Name of the group.
        member : str
            Name of this member.
        topic : str
            Topic whose partitions the members share.
        ttl_seconds : float
            Time after which a silent member loses its partitions.
        generation : int
            That of the last answer; releases the partitions not listed there.
        timeout_seconds : float
            Timeout of the call.

        Returns
        -------
        Result of Membership or StoreFault
            Generation and assigned partitions.
        """
        body = {
            "group": group,
            "member": member,
            "topics": [topic],
            "ttl_ms": round(ttl_seconds * 1000),
            "generation": generation,
        }
        result = await self._call(
            "POST", "/log-join", {}, encode(body), timeout_seconds
        )
        if result.is_error():
            return Error(result.error)
        try:
            wire = _JOINED_DECODER.decode(result.ok.body)
        except DECODE_ERRORS as error:
            return Error(_make_malformed(error))
        partitions = frozenset(part for name, part, _ in wire.parts if name == topic)
        return Ok(Membership(wire.generation, partitions))

    async def leave_group(self, group: str, member: str) -> Result[None, StoreFault]:
        """Leave a group; its partitions are reassigned."""
        body = encode({"group": group, "member": member})
        result = await self._call("POST", "/log-leave", {}, body)
        return result.map(lambda response: None)

    async def _call(
        self,
        method: str,
        path: str,
        query: dict[str, str | int],
        body: bytes | None,
        timeout_seconds: float = CALL_TIMEOUT_SECONDS,
        stall_timeout_seconds: float = 0.0,
    ) -> Result[HTTPResponse, StoreFault]:
        url = f"http://{self.address}{path}"
        if query:
            url = f"{url}?{urlencode(query)}"
        began_at = self.contact.clock()
        call = HttpCall(
            method,
            url,
            body=body,
            timeout_seconds=timeout_seconds,
            stall_timeout_seconds=stall_timeout_seconds,
        )
        result = await send_call(self.http, call)
        seconds = self.contact.clock() - began_at
        self.contact.observe(path, seconds)
        if result.is_error():
            fault = result.error
            not_sent = fault.kind is TransportFaultKind.NOT_SENT
            kind = StoreFaultKind.NOT_DONE if not_sent else StoreFaultKind.UNCERTAIN
            return Error(StoreFault(kind, fault.detail))
        response = result.ok
        if response.code < 500 and response.code != 429:
            # A page's duration depends on its size.
            counts_for_mean = "wait_ms" not in query and not stall_timeout_seconds
            self.contact.record_answer(seconds, counts_for_mean)
        if response.code == 200:
            return Ok(response)
        return Error(_convert_refusal(response.code, response.body or b""))


def _make_malformed(error: Exception) -> StoreFault:
    detail = f"the store's answer is malformed: {error}"
    return StoreFault(StoreFaultKind.UNCERTAIN, detail)


def _convert_refusal(code: int, body: bytes) -> StoreFault:
    detail = f"the store answered {code}"
    if code == 410:
        return StoreFault(StoreFaultKind.TRIMMED, detail)
    if code == 507:
        return StoreFault(StoreFaultKind.FULL, detail)
    if code == 409:
        try:
            refusal = _REFUSAL_DECODER.decode(body)
        except DECODE_ERRORS:
            return StoreFault(StoreFaultKind.NOT_DONE, detail)
        if refusal.reason == "fenced":
            return StoreFault(StoreFaultKind.FENCED, f"{detail}, fenced")
        if refusal.reason == "seq":
            return StoreFault(
                StoreFaultKind.OUT_OF_SEQUENCE,
                f"{detail}, expects sequence {refusal.sequence}",
                refusal.sequence,
            )
    # After any 5xx but 503, an append may have taken effect.
    if code >= 500 and code != 503:
        return StoreFault(StoreFaultKind.UNCERTAIN, detail)
    if 400 <= code < 500 and code not in PASSING_CODES:
        return StoreFault(StoreFaultKind.REFUSED, detail)
    return StoreFault(StoreFaultKind.NOT_DONE, detail)
