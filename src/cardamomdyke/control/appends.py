"""Appends of callers' records, several in one call while the store is slow."""

import asyncio
from dataclasses import dataclass, field

from expression import Result

from cardamomdyke.platform.records import KeyedRecord, StoreFault
from cardamomdyke.platform.store import WORK_TOPIC, StoreClient

# A slow store answers an append after up to 2 s and refuses more beyond that; a
# caller waits for 3 s.
APPEND_TIMEOUT_SECONDS = 2.0
# The store carries out one append after the other, so records that come while one
# is under way go together in the next. A call that hangs holds nothing up longer.
BATCH_WAIT_SECONDS = 0.1
# Bounds one append; a caller's job is a few hundred bytes, seldom more.
MAX_BATCH_RECORDS = 50

Outcome = Result[None, StoreFault]


@dataclass
class Appender:
    """Appends the records that callers' requests cause.

    Attributes
    ----------
    store : StoreClient
        The platform's store.
    waiting : list of (KeyedRecord, Future)
        Records for the next append, and who waits for its outcome.
    under_way : int
        Appends without an answer.
    limit_bytes : int
        Largest sum of the records of one append.
    """

    store: StoreClient
    limit_bytes: int
    waiting: list[tuple[KeyedRecord, asyncio.Future[Outcome]]] = field(
        default_factory=list
    )
    under_way: int = 0
    timer: asyncio.TimerHandle | None = None
    tasks: set[asyncio.Task[None]] = field(default_factory=set)

    async def append(self, record: KeyedRecord) -> Outcome:
        """Append one record, maybe together with others; all or none are stored."""
        loop = asyncio.get_running_loop()
        future: asyncio.Future[Outcome] = loop.create_future()
        self.waiting.append((record, future))
        if not self.under_way:
            self.send()
        elif self.timer is None:
            self.timer = loop.call_later(BATCH_WAIT_SECONDS, self.send)
        return await future

    def send(self) -> None:
        """Begin an append of what waits."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        while self.waiting:
            batch = self.take_batch()
            self.under_way += 1
            task = asyncio.ensure_future(self.carry_out(batch))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    def take_batch(self) -> list[tuple[KeyedRecord, asyncio.Future[Outcome]]]:
        """Take as many waiting records as fit into one append."""
        size = 0
        count = 0
        for record, _ in self.waiting[:MAX_BATCH_RECORDS]:
            size += len(record.key) + len(record.value)
            if count and size > self.limit_bytes:
                break
            count += 1
        batch, self.waiting = self.waiting[:count], self.waiting[count:]
        return batch

    async def carry_out(
        self, batch: list[tuple[KeyedRecord, asyncio.Future[Outcome]]]
    ) -> None:
        """Append one batch and tell everyone who waits for it."""
        records = [record for record, _ in batch]
        outcome = await self.store.append_records(
            WORK_TOPIC, records, timeout_seconds=APPEND_TIMEOUT_SECONDS
        )
        self.under_way -= 1
        for _, future in batch:
            if not future.done():
                future.set_result(outcome)
        if not self.under_way and self.waiting:
            self.send()
