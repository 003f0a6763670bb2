"""Reads usage from backend servers, appends it and folds the stream."""

import asyncio
import random
import time
from dataclasses import dataclass, field

from cardamomdyke.adapters.backend import UsagePage, UsageReport
from cardamomdyke.daemon.gossip import Gossiper
from cardamomdyke.daemon.node import Node
from cardamomdyke.membership.hashing import rank_nodes
from cardamomdyke.metering.bill import PriceHistory, price_usage, record_prices
from cardamomdyke.metering.fold import (
    BootKey,
    Phase,
    UsageState,
    check_counted,
    find_counted_prefix,
    fold_page,
    make_summary,
)
from cardamomdyke.metering.records import (
    USAGE_STREAM,
    PricedReport,
    StoredRecord,
    UsageBatch,
    UsageRecord,
    encode_usage_record,
)
from cardamomdyke.model.tables import BackendServer, Pool

# A report takes about 0.5 KB in memory, so the limit is about 10 MB.
MAX_UNSENT_REPORTS = 20_000
MAX_BATCH_REPORTS = 500
MAX_CONCURRENT_READS = 8
INITIAL_BACKOFF_SECONDS = 0.5
MAX_BACKOFF_SECONDS = 60.0
# Limits the records that a VM reads after its start.
MAX_UNSUMMARIZED_RECORDS = 5_000
# Each planner gives the one before it this long to append a due summary.
SUMMARY_TURN_WAIT_SECONDS = 30.0
# Above any sequence number: the answer has the boot id but no reports.
AFTER_ALL_REPORTS = 2**62


@dataclass(frozen=True, slots=True)
class ReportKey:
    """Identity of a usage report."""

    server: str
    boot_id: str
    sequence: int


@dataclass
class UsageCollector:
    """Collects a failure domain's usage and appends it to the log.

    Attributes
    ----------
    node : Node
        The daemon's shared state.
    gossiper : Gossiper
        Finds the planner of a failure domain.
    state : UsageState
        Fold of the stream so far.
    prices : PriceHistory
        Prices that this VM saw in force.
    unsent : dict of ReportKey to PricedReport
        Reports read but not known to be in the log.
    read_until : dict of BootKey to int
        Sequence number up to which all reports were read.
    boot_ids : dict of str to str
        Newest boot id seen, by backend server.
    failed_appends : int
        Failures since the last successful append.
    fold_lock : asyncio.Lock
        Held while the stream is read.
    """

    node: Node
    gossiper: Gossiper
    state: UsageState = field(default_factory=UsageState)
    prices: PriceHistory = field(default_factory=lambda: PriceHistory({}))
    unsent: dict[ReportKey, PricedReport] = field(default_factory=dict)
    read_until: dict[BootKey, int] = field(default_factory=dict)
    boot_ids: dict[str, str] = field(default_factory=dict)
    failed_appends: int = 0
    fold_lock: asyncio.Lock = field(default_factory=asyncio.Lock)

    async def watch_prices_forever(self) -> None:
        """Record the prices of each configuration in force, until cancelled."""
        while True:
            changed = self.node.changed
            if self.node.configuration is not None:
                tables = self.node.configuration.tables
                self.prices = record_prices(self.prices, tables, time.time())
            await changed.wait()

    async def run_forever(self) -> None:
        """Collect and append usage periodically, until cancelled."""
        while True:
            await asyncio.sleep(self.node.settings.usage_period_seconds)
            if self.check_planner() or self.unsent:
                await self.run_once()

    def check_planner(self) -> bool:
        """Return True if this VM is the planner of its failure domain."""
        planner = self.gossiper.find_planner(self.node.settings.failure_domain)
        return planner is not None and planner.name == self.node.settings.vm

    async def run_once(self) -> None:
        """Fold the stream, read servers, append new reports and a summary."""
        folded = await self.fold_new_records()
        if self.check_planner():
            await self.read_servers()
        if not folded:
            # The log is down, so reports stay in memory.
            return
        self.drop_counted()
        while self.unsent:
            if not await self.append_batch():
                return
        if self.check_planner() and self.check_summary_due():
            await self.append_summary()

    async def fold_new_records(self) -> bool:
        """Fold up to the end of the stream; False when it cannot be read."""
        async with self.fold_lock:
            while True:
                before = self.state
                result = await self.node.log.read_records(
                    USAGE_STREAM, before.next_offset
                )
                if result.is_error():
                    self.node.counters.count("usage.log_read_failed")
                    return False
                page = result.ok
                records = [StoredRecord(r.offset, r.data) for r in page.records]
                self.state = fold_page(before, page.first, page.end, records)
                self.record_fold_changes(before)
                if (
                    self.state.next_offset >= page.end
                    and self.state.phase is not Phase.SEEKING
                ):
                    return True
                if (self.state.next_offset, self.state.phase) == (
                    before.next_offset,
                    before.phase,
                ):
                    self.node.counters.count("usage.log_read_failed")
                    return False

    def record_fold_changes(self, before: UsageState) -> None:
        """Count what was not added, and log a change of phase."""
        counters = self.node.counters
        if repeated := self.state.repeated - before.repeated:
            counters.count("usage.repeated", repeated)
        if refused := self.state.refused - before.refused:
            counters.count("usage.refused", refused)
        if malformed := self.state.malformed - before.malformed:
            counters.count("usage.malformed", malformed)
        if self.state.phase is not before.phase:
            self.node.timeline.record_change(
                f"usage.{self.state.phase.value}",
                USAGE_STREAM,
                f"offset {self.state.next_offset}",
            )

    async def read_servers(self) -> None:
        """Read new reports from all backend servers of the failure domain."""
        configuration = self.node.configuration
        if configuration is None:
            return
        limit = asyncio.Semaphore(MAX_CONCURRENT_READS)

        async def read_one(pool: Pool, server: BackendServer) -> None:
            async with limit:
                await self.read_server(pool, server)

        own = self.node.settings.failure_domain
        await asyncio.gather(
            *(
                read_one(pool, server)
                for pool in configuration.tables.pools
                if pool.failure_domain == own
                for server in pool.servers
            )
        )

    async def read_server(self, pool: Pool, server: BackendServer) -> None:
        """Read new reports from one backend server, again after its restart."""
        for _ in range(2):
            boot_id = self.boot_ids.get(server.name, "")
            after = self.find_read_until(server.name, boot_id)
            result = await self.node.backend.read_usage(server.address, after)
            if result.is_error():
                self.node.counters.count("usage.server_read_failed")
                return
            if result.ok.boot_id == boot_id:
                self.add_page(pool, server, result.ok)
                return
            self.boot_ids[server.name] = result.ok.boot_id

    def find_read_until(self, server: str, boot_id: str) -> int:
        """Return the sequence number to read after."""
        if not boot_id:
            return AFTER_ALL_REPORTS
        return max(
            find_counted_prefix(self.state, server, boot_id),
            self.read_until.get(BootKey(server, boot_id), 0),
        )

    def add_page(self, pool: Pool, server: BackendServer, page: UsagePage) -> None:
        """Add reports up to the limit; the rest is read again later."""
        boot = BootKey(server.name, page.boot_id)
        until = self.find_read_until(server.name, page.boot_id)
        for report in page.reports:
            if len(self.unsent) >= MAX_UNSENT_REPORTS:
                self.node.counters.count("usage.postponed")
                break
            priced = self.price_report(pool, server, report)
            key = ReportKey(priced.server, priced.boot_id, priced.sequence)
            if not check_counted(self.state, priced) and key not in self.unsent:
                self.unsent[key] = priced
                self.node.counters.count("usage.reports_read")
            if report.sequence == until + 1:
                until = report.sequence
        self.read_until[boot] = until

    def price_report(
        self, pool: Pool, server: BackendServer, report: UsageReport
    ) -> PricedReport:
        """Convert a report to whole units and add its price.

        An end in the future is due to a wrong clock and set to now.
        """
        name = report.pool or pool.name
        ended_at = min(report.ended_at, time.time())
        accelerator_ms = round(report.accelerator_seconds * 1000)
        cost = price_usage(self.prices, name, accelerator_ms, report.requests, ended_at)
        return PricedReport(
            server=server.name,
            boot_id=report.boot_id,
            sequence=report.sequence,
            client_account=report.client_account,
            pool=name,
            accelerator_ms=accelerator_ms,
            requests=report.requests,
            ended_at=ended_at,
            cost_micros=cost,
        )

    def drop_counted(self) -> None:
        """Drop unsent reports that the log has, from any VM."""
        self.unsent = {
            key: report
            for key, report in self.unsent.items()
            if not check_counted(self.state, report)
        }

    async def append_batch(self) -> bool:
        """Append the oldest unsent reports; False when the append failed."""
        keys = list(self.unsent)[:MAX_BATCH_REPORTS]
        reports = tuple(self.unsent[key] for key in keys)
        batch = UsageBatch(self.node.settings.vm, time.time(), reports)
        if not await self.append_record(batch):
            return False
        for key in keys:
            self.unsent.pop(key, None)
        self.node.counters.count("usage.batches_appended")
        return True

    async def append_record(self, record: UsageRecord) -> bool:
        """Append one record; after a failure, back off with full jitter.

        A record whose answer was lost may be appended twice; the fold counts its
        reports once.
        """
        result = await self.node.log.append_when_idle(
            USAGE_STREAM, encode_usage_record(record)
        )
        if result.is_ok():
            self.failed_appends = 0
            return True
        self.node.counters.count("usage.append_failed")
        limit = INITIAL_BACKOFF_SECONDS * 2 ** min(self.failed_appends, 10)
        self.failed_appends += 1
        await asyncio.sleep(random.uniform(0, min(limit, MAX_BACKOFF_SECONDS)))
        return False

    def check_summary_due(self) -> bool:
        """Check the records since the newest summary, or its age on this VM's turn."""
        state = self.state
        if not state.chains:
            return False
        if state.next_offset - state.summary_covers >= MAX_UNSUMMARIZED_RECORDS:
            return True
        age = time.time() - state.summary_at
        turn = self.find_summary_turn() * SUMMARY_TURN_WAIT_SECONDS
        return age > self.node.settings.log_retention_seconds / 4 + turn

    def find_summary_turn(self) -> int:
        """Return how many planners append a summary before this VM."""
        configuration = self.node.configuration
        names = {self.node.settings.vm}
        for domain in configuration.tables.failure_domains if configuration else ():
            planner = self.gossiper.find_planner(domain.name)
            if planner is not None:
                names.add(planner.name)
        return rank_nodes("usage-summary", names).index(self.node.settings.vm)

    async def append_summary(self) -> None:
        """Append a summary unless another VM just did."""
        if not await self.fold_new_records() or not self.check_summary_due():
            return
        summary = make_summary(self.state, self.node.settings.vm, time.time())
        if await self.append_record(summary):
            self.node.counters.count("usage.summaries_appended")
            self.node.timeline.record_change(
                "usage.summary_appended",
                USAGE_STREAM,
                f"covers records before offset {summary.covers_until}",
            )
