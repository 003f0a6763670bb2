"""Summaries of pools, which the planner publishes for entry VMs.

A summary stays valid while its planner lives, so it is appended only when it changed,
and each heartbeat of the same planner confirms it.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field
from math import inf

from expression import Error, Ok, Result
from msgspec import Struct
from msgspec.msgpack import Decoder, encode

from cardamomdyke.jobs.records import JobRecord
from cardamomdyke.model.errors import DECODE_ERRORS
from cardamomdyke.model.orders import Shape
from cardamomdyke.scheduling.admission import (
    MAX_SUMMARY_AGE_SECONDS,
    Arrival,
    ExpectedWait,
    PoolSummary,
)

# Followed by the name of the pool.
SUMMARY_PREFIX = "l"

# Steps that are kept between two heartbeats; a summary counts the others.
MAX_ARRIVALS = 1000

# Millicores, megabytes of memory and accelerators.
Amounts = tuple[int, int, int]


class WaitRecord(Struct, frozen=True, array_like=True):
    """An `ExpectedWait`, without field names since each daemon reads it often."""

    priority: int
    shape: Amounts
    unit_tasks: int
    tasks: int
    one_rack: bool
    seconds: float
    spread: float
    runtime_factor: float


class SummaryRecord(Struct, frozen=True, array_like=True):
    """A `PoolSummary`, without field names."""

    fence: int
    made_at: float
    servers: int
    largest: Amounts
    rack: Amounts
    waits: tuple[WaitRecord, ...] = ()
    beyond_share: tuple[str, ...] = ()


_DECODER = Decoder(SummaryRecord)


def list_amounts(shape: Shape) -> Amounts:
    """Return the amounts of a shape."""
    return shape.millicores, shape.memory_mb, shape.accelerators


def encode_summary(summary: PoolSummary) -> bytes:
    """Encode a summary for the store."""
    waits = tuple(
        WaitRecord(
            wait.priority,
            list_amounts(wait.shape),
            wait.unit_tasks,
            wait.tasks,
            wait.one_rack,
            wait.seconds,
            wait.spread,
            wait.runtime_factor,
        )
        for wait in summary.waits
    )
    record = SummaryRecord(
        summary.fence,
        summary.made_at,
        summary.servers,
        list_amounts(summary.largest),
        list_amounts(summary.rack),
        waits,
        summary.beyond_share,
    )
    return encode(record)


def decode_summary(data: bytes) -> Result[PoolSummary, str]:
    """Decode a summary; the error says why it cannot be read."""
    try:
        record = _DECODER.decode(data)
    except DECODE_ERRORS as error:
        return Error(str(error))
    waits = tuple(
        ExpectedWait(
            wait.priority,
            Shape(*wait.shape),
            wait.unit_tasks,
            wait.tasks,
            wait.one_rack,
            wait.seconds,
            wait.spread,
            wait.runtime_factor,
        )
        for wait in record.waits
    )
    return Ok(
        PoolSummary(
            record.fence,
            record.made_at,
            record.servers,
            Shape(*record.largest),
            Shape(*record.rack),
            waits,
            record.beyond_share,
        )
    )


@dataclass
class SummaryLedger:
    """Summaries as an entry VM has read them.

    Attributes
    ----------
    summaries : dict of str to PoolSummary
        Newest summary by pool.
    confirmed_at : dict of str to float
        Steady-clock time after which its planner confirmed it, by pool.
    arrivals : dict of str to list of Arrival
        Work whose records follow the summary or its newest heartbeat, by pool. The
        planner did not know it then.
    """

    summaries: dict[str, PoolSummary] = field(default_factory=dict)
    confirmed_at: dict[str, float] = field(default_factory=dict)
    arrivals: dict[str, list[Arrival]] = field(default_factory=dict)

    def clear(self) -> None:
        """Forget all summaries before a full read."""
        self.summaries.clear()
        self.confirmed_at.clear()
        self.arrivals.clear()

    def apply(self, key: str, value: bytes, appended_after: float) -> str:
        """Apply a record; return why it cannot be read, or nothing.

        Parameters
        ----------
        key : str
            Key of the record.
        value : bytes
            Value; empty when the planner withdraws the summary.
        appended_after : float
            Steady-clock time after which the record was certainly appended.
        """
        pool = key.removeprefix(SUMMARY_PREFIX)
        self.summaries.pop(pool, None)
        self.confirmed_at.pop(pool, None)
        self.arrivals.pop(pool, None)
        if not value:
            return ""
        result = decode_summary(value)
        if result.is_error():
            return result.error
        self.summaries[pool] = result.ok
        self.confirmed_at[pool] = appended_after
        return ""

    def confirm(self, fence: int, appended_after: float) -> None:
        """Apply a heartbeat of a planner, which confirms the summaries of its term."""
        for pool, summary in self.summaries.items():
            if summary.fence == fence:
                former = self.confirmed_at[pool]
                self.confirmed_at[pool] = max(former, appended_after)
                self.arrivals.pop(pool, None)

    def record_arrival(self, record: JobRecord) -> None:
        """Record a newly accepted job, if the wait of its pool is known."""
        summary = self.summaries.get(record.pool)
        if summary is None or not summary.waits or record.order.repetitions:
            return
        arrivals = self.arrivals.setdefault(record.pool, [])
        for step in record.order.steps:
            if not (step.after or step.long_running) and len(arrivals) < MAX_ARRIVALS:
                arrivals.append(Arrival(record.priority, record.account, step))

    def find(self, pool: str, now: float) -> tuple[PoolSummary | None, float]:
        """Return the summary of a pool, or None, and its age in seconds at most."""
        summary = self.summaries.get(pool)
        if summary is None:
            return None, inf
        return summary, now - self.confirmed_at[pool]

    def list_waits(self, now: float) -> Iterator[tuple[str, int, float]]:
        """Yield pool, priority and longest expected wait from summaries in force."""
        for pool in self.summaries:
            summary, age = self.find(pool, now)
            if summary is None or age > MAX_SUMMARY_AGE_SECONDS:
                continue
            longest: dict[int, float] = {}
            for wait in summary.waits:
                seconds = longest.get(wait.priority, 0.0)
                longest[wait.priority] = max(seconds, wait.seconds)
            for priority, seconds in sorted(longest.items()):
                yield pool, priority, seconds
