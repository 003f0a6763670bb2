"""Tests of appends while the store is slow or loses answers."""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any, cast

from expression import Error, Ok, Result
from msgspec.json import encode

from cardamomdyke.control.appends import (
    BATCH_WAIT_SECONDS,
    MAX_BATCH_RECORDS,
    Appender,
)
from cardamomdyke.control.processor import RequestProcessor
from cardamomdyke.control.recorder import Recorder
from cardamomdyke.jobs.ledger import apply_record
from cardamomdyke.platform.records import KeyedRecord, StoreFault, StoreFaultKind
from cardamomdyke.platform.store import CALL_TIMEOUT_SECONDS, Producer
from tests.control.fakes import make_context, make_request

JOB = "00000000000000a1"
BODY = encode({"specification": "x", "steps": [{"count": 1, "cpu_millicores": 1}]})


@dataclass
class SlowStore:
    """Runs one append at a time; the first `hanging` calls get no answer."""

    seconds: float
    hanging: int = 0
    sizes: list[int] = field(default_factory=list)
    lock: asyncio.Lock = field(default_factory=asyncio.Lock)

    async def append_records(
        self,
        topic: str,
        records: Sequence[KeyedRecord],
        producer: Producer | None = None,
        timeout_seconds: float = 1.0,
    ) -> Result[None, StoreFault]:
        self.sizes.append(len(records))
        if self.hanging:
            self.hanging -= 1
            await asyncio.sleep(timeout_seconds)
            return Error(StoreFault(StoreFaultKind.UNCERTAIN, "no answer"))
        async with self.lock:
            await asyncio.sleep(self.seconds)
        return Ok(None)


def make_records(count: int) -> list[KeyedRecord]:
    return [KeyedRecord(f"j{number:016x}", b"x") for number in range(count)]


async def append_all(appender: Appender, count: int) -> list[bool]:
    results = await asyncio.gather(*map(appender.append, make_records(count)))
    return [result.is_ok() for result in results]


def test_appends_go_together_while_the_store_is_slow() -> None:
    """Guards against a backlog that a slow store never works off.

    On hiwar-pairing, trouble-2, seed 11, no job was accepted for 6 s: each record
    was an append of its own, and each was repeated through three peers.
    """
    store = SlowStore(0.05)
    appender = Appender(cast(Any, store), 1_000_000)
    assert asyncio.run(append_all(appender, 20)) == [True] * 20
    assert store.sizes == [1, 19]


def test_append_that_hangs_does_not_hold_up_others() -> None:
    """Guards against callers that wait for an append on a dead connection."""
    store = SlowStore(0.01, hanging=1)

    async def scenario() -> None:
        appender = Appender(cast(Any, store), 1_000_000)
        first, second = make_records(2)
        hanging = asyncio.ensure_future(appender.append(first))
        await asyncio.sleep(0)
        result = await asyncio.wait_for(appender.append(second), 4 * BATCH_WAIT_SECONDS)
        assert result.is_ok()
        assert not hanging.done()
        hanging.cancel()

    asyncio.run(scenario())


def test_batches_are_bounded() -> None:
    """Guards against an append that the store refuses because of its size."""
    store = SlowStore(0.01)
    # Each record takes 4 bytes of length, 18 of key with its length, and 1 of value.
    appender = Appender(cast(Any, store), 10 * 23)
    assert asyncio.run(append_all(appender, 31)) == [True] * 31
    assert max(store.sizes) == 10
    store = SlowStore(0.01)
    appender = Appender(cast(Any, store), 1_000_000)
    asyncio.run(append_all(appender, 2 * MAX_BATCH_RECORDS + 2))
    assert max(store.sizes) == MAX_BATCH_RECORDS


@dataclass
class RefusingStore:
    """Refuses for good each append that holds a record of one key."""

    key: str
    stored: list[str] = field(default_factory=list)

    async def append_records(
        self,
        topic: str,
        records: Sequence[KeyedRecord],
        producer: Producer | None = None,
        timeout_seconds: float = 1.0,
    ) -> Result[int, StoreFault]:
        await asyncio.sleep(0)
        if any(record.key == self.key for record in records):
            return Error(StoreFault(StoreFaultKind.REFUSED, "the store answered 400"))
        self.stored += [record.key for record in records]
        return Ok(len(self.stored) - len(records))


def test_refused_record_takes_no_others_with_it() -> None:
    """Guards against cancellations that fail since another record is refused."""
    refused, *others = make_records(5)[::-1]
    store = RefusingStore(refused.key)
    appender = Appender(cast(Any, store), 1_000_000)
    assert asyncio.run(append_all(appender, 5)) == [True] * 4 + [False]
    assert sorted(store.stored) == sorted(record.key for record in others)
    assert not appender.in_flight


def test_refused_group_takes_no_others_with_it() -> None:
    """Guards against one job's record that the store refuses and all others wait for.

    Records of other groups are stored, and the refused group is named.
    """
    journal = make_context().journal

    async def scenario() -> None:
        store = RefusingStore("p1")
        recorder = Recorder(cast(Any, store), journal, 1, lambda: True)
        groups = {
            name: [KeyedRecord(key, b"x") for key in keys]
            for name, keys in {"a": ["p0"], "b": ["u1", "p1"], "c": ["p2"]}.items()
        }
        result = await asyncio.wait_for(recorder.record(groups), 1.0)
        assert result.is_ok()
        assert result.ok == {"b": "the store answered 400"}
        assert store.stored == ["p0", "p2"]

    asyncio.run(scenario())


@dataclass
class NarrowStore:
    """Store behind a link on which an append arrives only after its size allows."""

    bytes_per_second: float
    calls: int = 0

    async def append_records(
        self,
        topic: str,
        records: Sequence[KeyedRecord],
        producer: Producer | None = None,
        timeout_seconds: float = CALL_TIMEOUT_SECONDS,
    ) -> Result[int, StoreFault]:
        self.calls += 1
        size = sum(len(record.value) for record in records)
        if size / self.bytes_per_second > timeout_seconds:
            return Error(StoreFault(StoreFaultKind.UNCERTAIN, "no answer"))
        return Ok(0)


def test_large_append_comes_over_a_narrow_link() -> None:
    """Guards against an append that times out and is repeated for ever."""
    store = NarrowStore(625_000.0)
    journal = make_context().journal
    records = [KeyedRecord("p0", bytes(1_000_000))]

    async def scenario() -> None:
        recorder = Recorder(cast(Any, store), journal, 1, lambda: store.calls < 3)
        result = await recorder.record({"a": records})
        assert result.is_ok()
        assert store.calls == 1

    asyncio.run(scenario())


def test_job_that_the_feed_shows_is_accepted() -> None:
    """Guards against 504 "not known" when only the answer to an append was lost."""
    context = make_context()
    context.appender.store = cast(Any, SlowStore(0.0, hanging=1))

    async def show_job() -> None:
        await asyncio.sleep(0.05)
        other = make_context()
        await RequestProcessor(other).serve(make_request("POST", JOB, BODY))
        (record,) = cast(Any, other.store).records
        apply_record(context.ledger, record.key, record.value)
        context.notify_ledger_changed()

    async def scenario() -> int:
        context.ledger_changed = asyncio.Event()
        showing = asyncio.ensure_future(show_job())
        answer = await asyncio.wait_for(
            RequestProcessor(context).serve(make_request("POST", JOB, BODY)), 1.0
        )
        await showing
        return answer.code

    assert asyncio.run(scenario()) == 200
