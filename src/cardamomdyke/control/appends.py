"""Appends the records of caller requests, in batches while the store is slow."""

import asyncio
from dataclasses import dataclass, field

from expression import Result

from cardamomdyke.platform.records import KeyedRecord, StoreFault
from cardamomdyke.platform.store import WORK_TOPIC, StoreClient

# A slow store takes up to 2 s for an append and refuses more beyond that; a caller
# waits for 3 s.
APPEND_TIMEOUT_SECONDS = 2.0
# The store runs one append at a time, so records that arrive during an append are
# sent together in the next one. A hanging call delays them no longer than this.
GATHER_SECONDS = 0.1
# Limit for one append; a job record rarely exceeds a few hundred bytes.
RECORDS_AT_ONCE = 50

Outcome = Result[None, StoreFault]


@dataclass
class Appender:
    """Appends the records of caller requests.

    Attributes
    ----------
    store : StoreClient
        The platform's store.
    waiting : list of (KeyedRecord, Future)
        Records for the next append, each with the future of its outcome.
    under_way : int
        Number of appends that are not answered yet.
    limit_bytes : int
        Largest total size of the records of one append.
    timer : TimerHandle or None
        Calls `send` for records that arrived during an append.
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
        """Append one record, maybe in a batch, which is stored whole or not at all."""
        loop = asyncio.get_running_loop()
        future: asyncio.Future[Outcome] = loop.create_future()
        self.waiting.append((record, future))
        if not self.under_way:
            self.send()
        elif self.timer is None:
            self.timer = loop.call_later(GATHER_SECONDS, self.send)
        return await future

    def send(self) -> None:
        """Start appends of all waiting records."""
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
        """Remove and return as many waiting records as fit into one append."""
        size = 0
        count = 0
        for record, _ in self.waiting[:RECORDS_AT_ONCE]:
            size += len(record.key) + len(record.value)
            if count and size > self.limit_bytes:
                break
            count += 1
        batch, self.waiting = self.waiting[:count], self.waiting[count:]
        return batch

    async def carry_out(
        self, batch: list[tuple[KeyedRecord, asyncio.Future[Outcome]]]
    ) -> None:
        """Append one batch and set the outcome of each of its records."""
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
