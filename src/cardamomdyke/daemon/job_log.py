"""The log stream ``jobs``: accepted and ended jobs, shared by all VMs."""

import asyncio
import random
from collections import deque
from dataclasses import dataclass, field
from enum import StrEnum

from msgspec.json import Decoder, encode

from cardamomdyke.daemon.node import Node
from cardamomdyke.model.errors import DECODE_ERRORS
from cardamomdyke.model.jobs import JobSpecification, JobStatus

JOBS_STREAM = "jobs"
POLL_PERIOD_SECONDS = 1.0
# At most 4 appends a second: the VM's budget of 5 also covers other streams.
APPEND_PERIOD_SECONDS = 0.25
MAX_BATCH_ENTRIES = 200
INITIAL_BACKOFF_SECONDS = 0.5
MAX_BACKOFF_SECONDS = 30.0
MAX_RECORD_WAIT_SECONDS = 0.5
RETAINED_ENDED_JOBS = 2000
# Jobs in this oldest share of the log are recorded again.
EXPIRING_SHARE = 0.25


class EntryKind(StrEnum):
    """Kinds of entries in the stream."""

    ACCEPTED = "accepted"
    ENDED = "ended"


@dataclass(frozen=True, slots=True)
class JobEntry:
    """One event of a job in the log.

    Attributes
    ----------
    kind : EntryKind
        Kind of the event.
    status : JobStatus
        State of the job at the event.
    specification : JobSpecification or None
        The caller's request; None once the job has ended.
    accepted_at : float
        Unix time of the submission, in seconds.
    """

    kind: EntryKind
    status: JobStatus
    specification: JobSpecification | None = None
    accepted_at: float = 0.0


@dataclass(frozen=True, slots=True)
class JobBatch:
    """One record of the stream.

    Attributes
    ----------
    entries : tuple of JobEntry
        Oldest first.
    """

    entries: tuple[JobEntry, ...]


_BATCH_DECODER = Decoder(JobBatch)


@dataclass
class PendingEntry:
    """An entry to append; ``recorded`` is set afterwards."""

    entry: JobEntry
    recorded: asyncio.Event = field(default_factory=asyncio.Event)


@dataclass
class JobLog:
    """Appends entries in batches and folds the stream.

    Attributes
    ----------
    node : Node
        The daemon's shared state.
    accepted : dict of str to JobEntry
        Jobs accepted and not ended, by id.
    offsets : dict of str to int
        Newest offset of each accepted job.
    ended : dict of str to JobStatus
        Newest ended jobs, oldest first.
    pending : deque of PendingEntry
        Not yet appended.
    has_pending : asyncio.Event
        Set with each new entry.
    next_offset : int
        First offset not yet read.
    first_offset : int
        Oldest offset that the log retains.
    caught_up : bool
        True once the whole stream was read.
    unreadable : bool
        True when the last read failed.
    read_lock : asyncio.Lock
        Held during a read, so that a slower one does not move `next_offset` back.
    """

    node: Node
    accepted: dict[str, JobEntry] = field(default_factory=dict)
    offsets: dict[str, int] = field(default_factory=dict)
    ended: dict[str, JobStatus] = field(default_factory=dict)
    pending: deque[PendingEntry] = field(default_factory=deque)
    has_pending: asyncio.Event = field(default_factory=asyncio.Event)
    next_offset: int = 0
    first_offset: int = 0
    caught_up: bool = False
    unreadable: bool = False
    read_lock: asyncio.Lock = field(default_factory=asyncio.Lock)

    def record(self, entry: JobEntry) -> asyncio.Event:
        """Queue an entry; the event is set once the log has it."""
        pending = PendingEntry(entry)
        self.pending.append(pending)
        self.has_pending.set()
        return pending.recorded

    async def record_and_wait(self, entry: JobEntry) -> bool:
        """Queue an entry and wait briefly; True once the log has it."""
        recorded = self.record(entry)
        try:
            await asyncio.wait_for(recorded.wait(), MAX_RECORD_WAIT_SECONDS)
        except TimeoutError:
            return False
        return True

    async def append_forever(self) -> None:
        """Append queued entries in batches, until cancelled."""
        failures = 0
        while True:
            await self.has_pending.wait()
            batch = list(self.pending)[:MAX_BATCH_ENTRIES]
            if not batch:
                self.has_pending.clear()
                continue
            failures = 0 if await self.append_batch(batch) else failures + 1
            await asyncio.sleep(choose_append_delay(failures))

    async def append_batch(self, batch: list[PendingEntry]) -> bool:
        """Append entries as one record; False when the log did not confirm.

        Repeating it after a lost answer is harmless: readers keep one entry per job
        and kind.
        """
        record = encode(JobBatch(tuple(pending.entry for pending in batch)))
        result = await self.node.log.append_record(JOBS_STREAM, record)
        if result.is_error():
            self.node.counters.count("jobs.append_failed")
            return False
        for pending in batch:
            self.pending.popleft()
            self.fold_entry(pending.entry, result.ok)
            pending.recorded.set()
        return True

    async def read_forever(self) -> None:
        """Read new records of the stream periodically, until cancelled."""
        while True:
            await self.read_new_records()
            await asyncio.sleep(POLL_PERIOD_SECONDS)

    async def read_new_records(self) -> bool:
        """Read to the end of the stream; False when the log does not answer."""
        async with self.read_lock:
            return await self.read_pages()

    async def read_pages(self) -> bool:
        """Read all pages; the caller holds the lock."""
        while True:
            result = await self.node.log.read_records(JOBS_STREAM, self.next_offset)
            self.unreadable = result.is_error()
            if result.is_error():
                self.node.counters.count("jobs.read_failed")
                return False
            page = result.ok
            self.first_offset = page.first
            for record in page.records:
                self.fold_record(record.offset, record.data)
            if not page.records:
                self.next_offset = max(self.next_offset, page.end)
            if self.next_offset >= page.end:
                self.caught_up = True
                return True

    def fold_record(self, offset: int, data: bytes) -> None:
        """Fold one record; a malformed one is counted and skipped."""
        self.next_offset = offset + 1
        try:
            batch = _BATCH_DECODER.decode(data)
        except DECODE_ERRORS:
            self.node.counters.count("jobs.record_malformed")
            return
        for entry in batch.entries:
            self.fold_entry(entry, offset)

    def fold_entry(self, entry: JobEntry, offset: int) -> None:
        """Fold one entry; an ended job stays ended."""
        job_id = entry.status.job_id
        if entry.kind is EntryKind.ENDED:
            self.accepted.pop(job_id, None)
            self.offsets.pop(job_id, None)
            self.ended.setdefault(job_id, entry.status)
            while len(self.ended) > RETAINED_ENDED_JOBS:
                del self.ended[next(iter(self.ended))]
        elif job_id not in self.ended:
            self.accepted[job_id] = entry
            self.offsets[job_id] = max(offset, self.offsets.get(job_id, 0))

    def list_expiring(self) -> list[JobEntry]:
        """Return accepted jobs whose newest record the log will drop soon."""
        retained = self.next_offset - self.first_offset
        limit = self.first_offset + retained * EXPIRING_SHARE
        if self.first_offset == 0:
            return []
        return [self.accepted[j] for j, at in self.offsets.items() if at < limit]


def choose_append_delay(failures: int) -> float:
    """Return the seconds to the next append, with full jitter after failures."""
    if failures == 0:
        return APPEND_PERIOD_SECONDS
    limit = INITIAL_BACKOFF_SECONDS * 2 ** min(failures, 10)
    delay = random.uniform(0.0, min(limit, MAX_BACKOFF_SECONDS))
    return max(APPEND_PERIOD_SECONDS, delay)
