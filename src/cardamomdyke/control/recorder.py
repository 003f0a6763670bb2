"""Appends the planner's progress under its fencing epoch."""

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from cardamomdyke.control.journal import Journal
from cardamomdyke.platform.records import KeyedRecord, StoreFault, StoreFaultKind
from cardamomdyke.platform.store import WORK_TOPIC, Producer, StoreClient

PRODUCER = "planner"
RETRY_WAIT_SECONDS = 0.1
# Allowance for lengths beside the key and value of one record.
RECORD_OVERHEAD_BYTES = 64


@dataclass
class Recorder:
    """Appends the records of one planner term, one at a time and in order.

    Attributes
    ----------
    store : StoreClient
        The platform's store.
    journal : Journal
        Log of the daemon.
    epoch : int
        Fencing epoch of the term.
    append_limit_bytes : int
        Largest total size of the records of one append.
    is_term_current : callable
        Returns False after the term, which stops repeats.
    sequence : int
        Sequence number of the next append.
    """

    store: StoreClient
    journal: Journal
    epoch: int
    append_limit_bytes: int
    is_term_current: Callable[[], bool]
    sequence: int = 0

    async def fence_earlier_terms(self) -> bool:
        """Fence off earlier planners; False if this one is fenced."""
        return await self.append_until_confirmed(())

    async def record(self, records: Sequence[KeyedRecord]) -> bool:
        """Append records; False if a later planner has taken over."""
        for part in split_records(records, self.append_limit_bytes):
            if not await self.append_until_confirmed(part):
                return False
        return True

    async def append_until_confirmed(self, records: Sequence[KeyedRecord]) -> bool:
        """Repeat one append until the store confirms it.

        The store recognises a repeated append by its sequence number, so records
        are appended once even if answers are lost.
        """
        while self.is_term_current():
            producer = Producer(PRODUCER, self.epoch, self.sequence)
            result = await self.store.append_records(WORK_TOPIC, records, producer)
            if result.is_ok():
                self.sequence += 1
                return True
            fault = result.error
            if fault.kind is StoreFaultKind.FENCED:
                self.journal.write("planner.fenced", PRODUCER, epoch=self.epoch)
                return False
            self.handle_fault(fault)
            await asyncio.sleep(RETRY_WAIT_SECONDS)
        return False

    def handle_fault(self, fault: StoreFault) -> None:
        """Count a failed append and adopt the expected sequence number."""
        self.journal.count("store.append_failed")
        if fault.kind is StoreFaultKind.OUT_OF_SEQUENCE:
            self.journal.write(
                "planner.out_of_sequence",
                PRODUCER,
                sent=self.sequence,
                expected=fault.sequence,
            )
            self.sequence = fault.sequence


def split_records(
    records: Sequence[KeyedRecord], limit_bytes: int
) -> list[list[KeyedRecord]]:
    """Split records into parts that each fit into one append."""
    parts: list[list[KeyedRecord]] = []
    part_bytes = 0
    for record in records:
        record_bytes = len(record.value) + len(record.key) + RECORD_OVERHEAD_BYTES
        if not parts or part_bytes + record_bytes > limit_bytes:
            parts.append([])
            part_bytes = 0
        parts[-1].append(record)
        part_bytes += record_bytes
    return parts
