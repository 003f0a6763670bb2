"""Appends the planner's progress under its fencing epoch."""

import asyncio
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass

from expression import Error, Ok, Result

from cardamomdyke.control.journal import Journal
from cardamomdyke.jobs.layout import measure_append
from cardamomdyke.platform.records import KeyedRecord, StoreFault, StoreFaultKind
from cardamomdyke.platform.store import (
    CALL_TIMEOUT_SECONDS,
    WORK_TOPIC,
    Producer,
    StoreClient,
)

PRODUCER = "planner"
RETRY_WAIT_SECONDS = 0.1
# The narrowest link of the users' deployments: 5 Mbit/s.
NARROW_LINK_BYTES_PER_SECOND = 625_000


@dataclass
class Recorder:
    """Appends the records of one planner term, one append at a time and in order.

    Attributes
    ----------
    store : StoreClient
        The platform's store.
    journal : Journal
        Log of the daemon.
    epoch : int
        Fencing epoch of the term.
    is_term_current : callable
        Returns False after the term, which stops repeats.
    sequence : int
        Sequence number of the next append.
    """

    store: StoreClient
    journal: Journal
    epoch: int
    is_term_current: Callable[[], bool]
    sequence: int = 0

    async def fence_earlier_terms(self) -> bool:
        """Fence off earlier planners; False if this one is fenced."""
        return (await self.append_until_settled(())).is_ok()

    async def record(
        self, groups: Mapping[str, Sequence[KeyedRecord]]
    ) -> Result[dict[str, str], StoreFault]:
        """Append groups of records, each of them whole or not at all.

        Parameters
        ----------
        groups : mapping of str to sequence of KeyedRecord
            Records by the name of their group; all fit into one append.

        Returns
        -------
        Result of dict of str to str, or StoreFault
            Answer of the store by the name of each group that it refuses for good, or
            ``FENCED`` after the end of the term.
        """
        records = [record for group in groups.values() for record in group]
        result = await self.append_until_settled(records)
        if result.is_ok():
            return Ok({})
        if result.error.kind is not StoreFaultKind.REFUSED:
            return Error(result.error)
        if len(groups) == 1:
            return Ok(dict.fromkeys(groups, result.error.detail))
        # The store appends all or none, so the others are appended without the one
        # that it refuses.
        refused: dict[str, str] = {}
        for name, group in groups.items():
            part = await self.record({name: group})
            if part.is_error():
                return part
            refused |= part.ok
        return Ok(refused)

    async def append_until_settled(
        self, records: Sequence[KeyedRecord]
    ) -> Result[None, StoreFault]:
        """Repeat one append until the store confirms it or refuses it for good.

        The store recognises a repeated append by its sequence number, so records
        are appended once even if answers are lost.
        """
        while self.is_term_current():
            producer = Producer(PRODUCER, self.epoch, self.sequence)
            result = await self.store.append_records(
                WORK_TOPIC, records, producer, find_timeout(records)
            )
            if result.is_ok():
                self.sequence += 1
                return Ok(None)
            fault = result.error
            if fault.kind is StoreFaultKind.FENCED:
                self.journal.write("planner.fenced", PRODUCER, epoch=self.epoch)
                return Error(fault)
            self.handle_fault(fault)
            if fault.kind is StoreFaultKind.REFUSED and records:
                return Error(fault)
            await asyncio.sleep(RETRY_WAIT_SECONDS)
        return Error(StoreFault(StoreFaultKind.FENCED, "the term has ended"))

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


def find_timeout(records: Sequence[KeyedRecord]) -> float:
    """Return the timeout of an append in seconds; it allows for a narrow link.

    An append that cannot arrive in time would be repeated for ever.
    """
    size = measure_append([(record.key, record.value) for record in records])
    return CALL_TIMEOUT_SECONDS + size / NARROW_LINK_BYTES_PER_SECOND
