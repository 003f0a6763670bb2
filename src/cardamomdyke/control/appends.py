"""Appends records of caller requests, in batches while the store is slow."""

import asyncio
from dataclasses import dataclass, field

from expression import Result

from cardamomdyke.jobs.layout import measure_append
from cardamomdyke.platform.records import KeyedRecord, StoreFault, StoreFaultKind
from cardamomdyke.platform.store import WORK_TOPIC, StoreClient

# A slow store takes up to 2 s for an append and refuses more beyond that; a caller
# waits for 3 s.
APPEND_TIMEOUT_SECONDS = 2.0
# The store runs one append at a time, so records that arrive during an append are
# sent together in the next. A hanging call delays them no longer than this.
BATCH_WAIT_SECONDS = 0.1
# Limit for an append; a job record rarely exceeds a few hundred bytes.
MAX_BATCH_RECORDS = 50

AppendResult = Result[int, StoreFault]


@dataclass
class Appender:
    """Appends records of caller requests.

    Attributes
    ----------
    store : StoreClient
        The platform's store.
    pending : list of (KeyedRecord, Future)
        Records for the next append, and futures of their outcomes.
    in_flight : int
        Number of unanswered appends.
    limit_bytes : int
        Largest append that the store takes.
    timer : TimerHandle or None
        Next call of `start_appends`; None if not scheduled.
    """

    store: StoreClient
    limit_bytes: int
    pending: list[tuple[KeyedRecord, asyncio.Future[AppendResult]]] = field(
        default_factory=list
    )
    in_flight: int = 0
    timer: asyncio.TimerHandle | None = None
    tasks: set[asyncio.Task[None]] = field(default_factory=set)

    async def append(self, record: KeyedRecord) -> AppendResult:
        """Append one record, maybe in a batch; all or none are stored."""
        loop = asyncio.get_running_loop()
        future: asyncio.Future[AppendResult] = loop.create_future()
        self.pending.append((record, future))
        if not self.in_flight:
            self.start_appends()
        elif self.timer is None:
            self.timer = loop.call_later(BATCH_WAIT_SECONDS, self.start_appends)
        return await future

    def start_appends(self) -> None:
        """Append all waiting records."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        while self.pending:
            batch = self.take_batch()
            self.in_flight += 1
            task = asyncio.ensure_future(self.append_batch(batch))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    def take_batch(self) -> list[tuple[KeyedRecord, asyncio.Future[AppendResult]]]:
        """Take as many waiting records as fit into one append."""
        batch_bytes = 0
        count = 0
        for record, _ in self.pending[:MAX_BATCH_RECORDS]:
            batch_bytes += measure_append([(record.key, record.value)])
            if count and batch_bytes > self.limit_bytes:
                break
            count += 1
        batch, self.pending = self.pending[:count], self.pending[count:]
        return batch

    async def append_batch(
        self, batch: list[tuple[KeyedRecord, asyncio.Future[AppendResult]]]
    ) -> None:
        """Append one batch and set the outcome of its records.

        The store appends all or none, so the records of a batch that it refuses for
        good are appended one by one.
        """
        records = [record for record, _ in batch]
        result = await self.store.append_records(
            WORK_TOPIC, records, timeout_seconds=APPEND_TIMEOUT_SECONDS
        )
        refused = result.is_error() and result.error.kind is StoreFaultKind.REFUSED
        if refused and len(batch) > 1:
            # The last one ends this append.
            self.in_flight += len(batch) - 1
            await asyncio.gather(*(self.append_batch([item]) for item in batch))
            return
        self.in_flight -= 1
        for _, future in batch:
            if not future.done():
                future.set_result(result)
        if not self.in_flight and self.pending:
            self.start_appends()
