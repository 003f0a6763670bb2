"""Daemon objects with a fake store and work feed."""

from collections.abc import Sequence
from dataclasses import dataclass, field
from types import SimpleNamespace
from typing import Any, cast

from expression import Error, Ok, Result

from cardamomdyke.control.appends import Appender
from cardamomdyke.control.clock import read_clock
from cardamomdyke.control.context import Context, OperatorState
from cardamomdyke.control.journal import Journal
from cardamomdyke.control.metrics import make_metrics
from cardamomdyke.control.processor import CallerRequest, RequestProcessor
from cardamomdyke.jobs.layout import RecordLimits
from cardamomdyke.jobs.ledger import Ledger, apply_record
from cardamomdyke.jobs.retention import make_retention
from cardamomdyke.model.queues import (
    Account,
    QueuePool,
    QueueRoute,
    make_queue_tables,
)
from cardamomdyke.platform.records import KeyedRecord, StoreFault, StoreFaultKind
from cardamomdyke.platform.store import Producer, StoreContact

KEY = "key"
HOST = "desk.example"
PREFIX = "/orders/"
ROUTE = QueueRoute("orders", HOST, PREFIX, "pool", 1, 2, 3.0, 1.0)


@dataclass
class FakeStore:
    """Returns prepared faults first, then keeps records."""

    contact: StoreContact = field(
        default_factory=lambda: StoreContact(
            read_clock, lambda path, seconds: None, read_clock()
        )
    )
    records: list[KeyedRecord] = field(default_factory=list)
    faults: list[StoreFault] = field(default_factory=list)
    producers: dict[str, tuple[int, int, int]] = field(default_factory=dict)

    async def append_records(
        self,
        topic: str,
        records: Sequence[KeyedRecord],
        producer: Producer | None = None,
        timeout_seconds: float = 1.0,
    ) -> Result[int, StoreFault]:
        if self.faults:
            return Error(self.faults.pop(0))
        return self.append_now(records, producer)

    def append_now(
        self, records: Sequence[KeyedRecord], producer: Producer | None
    ) -> Result[int, StoreFault]:
        """Append records, fenced by the producer's epoch as in the store."""
        if producer is not None:
            epoch, sequence, offset = self.producers.get(producer.name, (0, -1, 0))
            if producer.epoch < epoch:
                return Error(StoreFault(StoreFaultKind.FENCED, "fenced"))
            if producer.epoch == epoch and producer.sequence == sequence:
                return Ok(offset)
            if producer.epoch == epoch and producer.sequence != sequence + 1:
                fault = StoreFaultKind.OUT_OF_SEQUENCE
                return Error(StoreFault(fault, "seq", sequence + 1))
            state = (producer.epoch, producer.sequence, len(self.records))
            self.producers[producer.name] = state
        self.records += records
        return Ok(len(self.records) - len(records))


@dataclass
class FakeFeed:
    """Applies the fake store's records to the ledger."""

    context: Context | None = None
    applied: int = 0
    next_offset: int | None = 0
    failing_since: float = 0.0
    regained_at: float = 0.0
    current_since: float = float("-inf")

    async def catch_up(self) -> bool:
        self.apply_all()
        return True

    def apply_all(self) -> None:
        """Apply everything in the store."""
        assert self.context is not None
        store = cast(FakeStore, self.context.store)
        for record in store.records[self.applied :]:
            apply_record(self.context.ledger, record.key, record.value)
        self.applied = self.next_offset = len(store.records)
        self.context.notify_ledger_changed()


def make_context(vm: str = "vm") -> Context:
    journal = Journal(vm)
    operator = OperatorState(journal)
    operator.tables = make_queue_tables(
        1,
        (ROUTE,),
        {"pool": QueuePool("pool")},
        (Account("account", frozenset({KEY})),),
        100_000,
    )
    feed = FakeFeed()
    store = FakeStore()
    settings = SimpleNamespace(
        vm=vm,
        failure_domain="gent",
        store=SimpleNamespace(limits=RecordLimits(262_144, 2_097_152)),
    )
    context = Context(
        cast(Any, settings),
        cast(Any, None),
        cast(Any, store),
        journal,
        Ledger(),
        operator,
        cast(Any, feed),
        make_retention(120.0),
        make_metrics(journal),
        Appender(cast(Any, store), 1_000_000),
    )
    feed.context = context
    return context


def make_processor() -> RequestProcessor:
    return RequestProcessor(make_context())


def make_request(method: str, job_id: str = "", body: bytes = b"") -> CallerRequest:
    return CallerRequest(method, HOST, PREFIX + job_id, KEY, body)
