"""Follows topics of the platform's store."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from math import inf

from cardamomdyke.control.clock import read_clock
from cardamomdyke.control.journal import Journal
from cardamomdyke.control.supervision import log_crash
from cardamomdyke.platform.records import (
    KeyedRecord,
    RecordPage,
    StoreFault,
    StoreFaultKind,
)
from cardamomdyke.platform.store import NewestPage, StoreClient

# Pause after a failed read. Much less than the 1 s after which a daemon that
# cannot read reports not ready.
RETRY_WAIT_SECONDS = 0.15


@dataclass
class TopicFeed:
    """Follows one topic that keeps the newest record of each key.

    Attributes
    ----------
    store : StoreClient
        The platform's store.
    topic : str
        Name of the topic.
    journal : Journal
        Log of the daemon.
    apply : callable
        Takes each record, in order.
    reset : callable
        Discards all records before a full read.
    notify : callable
        Called after each page with records and each full read.
    wait_seconds : float
        Longest long poll; 0 to return at once.
    pause_seconds : float
        Pause between reads, so that each brings more records.
    next_offset : int or None
        Offset of the next record; None before the first read.
    at_end : bool
        True when the last page reached the end of the topic.
    current_since : float
        Records that were not applied yet were appended after this time, in seconds of
        `read_clock`; minus infinity during a full read.
    failing_since : float
        When reads began to fail, in seconds of `read_clock`; 0 while they succeed.
    regained_at : float
        When reads last succeeded after a failure, by the same clock; 0 for never.
    """

    store: StoreClient
    topic: str
    journal: Journal
    apply: Callable[[KeyedRecord], None]
    reset: Callable[[], None]
    notify: Callable[[], None]
    wait_seconds: float
    pause_seconds: float = 0.0
    next_offset: int | None = None
    failing_since: float = 0.0
    regained_at: float = 0.0
    at_end: bool = False
    current_since: float = -inf
    full_read_lock: asyncio.Lock = field(default_factory=asyncio.Lock)

    async def follow_forever(self) -> None:
        """Read and apply records, until cancelled."""
        while True:
            if await self.read_once(self.wait_seconds):
                await asyncio.sleep(self.pause_seconds)
            else:
                await asyncio.sleep(RETRY_WAIT_SECONDS)

    async def catch_up(self) -> bool:
        """Apply everything in the topic at the call."""
        while await self.read_once(0.0):
            if self.at_end:
                return True
        return False

    async def read_once(self, wait_seconds: float) -> bool:
        """Read a page, or the whole topic at first; False on failure."""
        if self.next_offset is None:
            return await self.read_newest()
        offset, began_at = self.next_offset, read_clock()
        result = await self.store.read_records(self.topic, offset, wait_seconds)
        if result.is_ok():
            self.record_success()
            self.apply_page(offset, result.ok)
            if self.at_end:
                self.current_since = max(self.current_since, began_at)
            return True
        if result.error.kind is StoreFaultKind.TRIMMED:
            self.journal.write("feed.trimmed", self.topic, offset=offset)
            return await self.read_newest()
        self.record_failure(result.error)
        return False

    def apply_page(self, offset: int, page: RecordPage) -> None:
        """Apply records that no concurrent read has applied."""
        if self.next_offset is None:
            return
        self.at_end = page.next_offset >= page.partition_end
        if page.malformed:
            self.journal.count("store.record_malformed", page.malformed)
        if page.next_offset <= self.next_offset:
            return
        # The offsets of malformed records are unknown, so a page with some is
        # applied whole; applying a record twice changes nothing.
        applied_count = 0 if page.malformed else max(0, self.next_offset - offset)
        records = page.records[applied_count:]
        self.next_offset = page.next_offset
        for record in records:
            self.apply_safely(record)
        if records:
            self.notify()

    def apply_safely(self, record: KeyedRecord) -> None:
        """Apply one record; one that raises an unexpected error is left out."""
        try:
            self.apply(record)
        except Exception as error:
            log_crash(self.journal, f"{self.topic}/{record.key}", error)

    async def read_newest(self) -> bool:
        """Replace all records by the newest of each key."""
        known_offset = self.next_offset
        async with self.full_read_lock:
            if self.next_offset != known_offset:
                # Another call has read them meanwhile.
                return True
            began_at = read_clock()
            pages: list[NewestPage] = []
            after = ""
            while True:
                result = await self.store.read_newest(self.topic, after)
                if result.is_error():
                    self.record_failure(result.error)
                    return False
                pages.append(result.ok)
                if not result.ok.has_next or not result.ok.records:
                    break
                after = result.ok.records[-1].key
            self.record_success()
            self.current_since = -inf
            self.reset()
            for page in pages:
                for record in page.records:
                    self.apply_safely(record)
            # Later pages may contain records from beyond the first page's end, which
            # are applied again.
            self.next_offset = pages[0].partition_end
            self.at_end = False
            self.current_since = began_at
            self.notify()
            return True

    def record_success(self) -> None:
        """Record a successful read; log the end of an outage."""
        if self.failing_since:
            self.regained_at = read_clock()
            outage_seconds = round(read_clock() - self.failing_since, 3)
            self.journal.write("feed.regained", self.topic, silent=outage_seconds)
        self.failing_since = 0.0

    def record_failure(self, fault: StoreFault) -> None:
        """Record a failed read; log the start of an outage."""
        self.journal.count("store.read_failed")
        if not self.failing_since:
            self.failing_since = read_clock()
            self.journal.write("feed.lost", self.topic, detail=fault.detail)
