"""Reads the configuration stream and keeps the node's configuration current."""

import asyncio
from dataclasses import dataclass, field

from cardamomdyke.configuration.evidence import Contact, merge_contact, merge_evidence
from cardamomdyke.configuration.fold import FoldState
from cardamomdyke.configuration.orders import Order, merge_orders
from cardamomdyke.configuration.pages import PageResult, check_current, fold_page
from cardamomdyke.configuration.records import CONFIGURATION_STREAM, Verdict
from cardamomdyke.configuration.transfer import adopt_state, decode_state
from cardamomdyke.daemon.node import Node
from cardamomdyke.protocol.gen.ttypes import ConfigurationCall

POLL_PERIOD_SECONDS = 1.0


@dataclass
class ConfigurationStore:
    """Keeps a node's configuration up to date.

    Attributes
    ----------
    node : Node
        The daemon's shared state.
    fold_lock : asyncio.Lock
        Held while the fold changes in several steps.
    """

    node: Node
    fold_lock: asyncio.Lock = field(default_factory=asyncio.Lock)

    async def poll_forever(self) -> None:
        """Read new records of the stream periodically, until cancelled."""
        while True:
            await self.read_new_records()
            await asyncio.sleep(POLL_PERIOD_SECONDS)

    async def read_new_records(self) -> bool:
        """Fold up to the end of the stream; False when it cannot be read."""
        async with self.fold_lock:
            return await self.read_pages()

    async def read_pages(self) -> bool:
        """Fold all pages; the caller holds the lock."""
        while True:
            started_at = self.node.clock()
            before = self.node.fold
            result = await self.node.log.read_records(
                CONFIGURATION_STREAM, before.next_offset
            )
            if result.is_error():
                self.node.counters.count("log.read_failed")
                self.update_log_state(down=True, reported_at=started_at)
                return False
            folded = fold_page(before, result.ok)
            if folded.state == before and not folded.at_end:
                self.node.counters.count("log.contradictory")
                return False
            self.apply_state(folded.state)
            self.record_verdicts(folded)
            self.update_log_state(down=False, reported_at=started_at)
            if folded.at_end:
                self.update_evidence(folded, started_at)
                return True

    def update_log_state(self, down: bool, reported_at: float) -> None:
        """Record whether the log answers, for mutual contact."""
        node = self.node
        if down is not node.log_down:
            kind = "log.down" if down else "log.up"
            node.timeline.record_change(kind, CONFIGURATION_STREAM)
        node.log_down = down
        own = node.settings.failure_domain
        contact = (
            Contact(own, down_at=reported_at)
            if down
            else Contact(own, up_at=reported_at)
        )
        node.contacts = merge_contact(node.contacts, contact)

    def record_verdicts(self, folded: PageResult) -> None:
        """Count the verdict on each record; log those that were skipped."""
        for item in folded.verdicts:
            self.node.counters.count(f"configuration.{item.verdict.value}")
            if item.verdict in (Verdict.INVALID, Verdict.BEHIND):
                self.node.timeline.record_change(
                    f"configuration.{item.verdict.value}", str(item.offset), item.detail
                )

    def apply_state(self, state: FoldState) -> None:
        """Put a folded state in force and announce a new version."""
        node = self.node
        before = node.fold
        node.fold = state
        if state.behind and not before.behind:
            node.timeline.record_change("configuration.behind", str(state.gap_end))
        if state.version == before.version:
            return
        node.timeline.record_change("configuration.in_force", str(state.version))
        node.evidence = merge_evidence(
            node.evidence, state.version, node.evidence.observed_at
        )
        self.add_orders(())
        node.announce_change()

    def update_evidence(self, folded: PageResult, observed_at: float) -> None:
        """Record that the version was current at ``observed_at``."""
        if check_current(self.node.fold, folded):
            self.node.evidence = merge_evidence(
                self.node.evidence, self.node.fold.version, observed_at
            )

    def add_orders(self, orders: tuple[Order, ...]) -> None:
        """Put direct orders in force and drop settled ones."""
        before = self.node.orders
        self.node.orders = merge_orders(before, orders, self.node.configuration)
        for order in self.node.orders:
            if order not in before:
                self.node.timeline.record_change(
                    "order.in_force", order.failure_domain, order.order_id
                )
        for order in before:
            if order not in self.node.orders:
                self.node.timeline.record_change(
                    "order.dropped", order.failure_domain, order.order_id
                )

    def needs_peer(self) -> bool:
        """Return True with records missed or a newer version known to exist."""
        fold = self.node.fold
        return fold.behind or self.node.evidence.version > fold.version

    async def catch_up(self, address: str) -> None:
        """Fetch a newer version from the log, otherwise from a peer."""
        if not self.node.log_down and not self.node.fold.behind:
            await self.read_new_records()
        if self.needs_peer():
            await self.fetch_from_peer(address)

    async def fetch_from_peer(self, address: str) -> None:
        """Fetch a peer's folded state and adopt it if newer or more complete."""
        fold = self.node.fold
        known = fold.version - 1 if fold.behind else fold.version
        result = await self.node.peers.fetch_configuration(
            address, ConfigurationCall(known_version=known)
        )
        if result.is_error() or not result.ok.configuration:
            return
        decoded = decode_state(result.ok.configuration)
        if decoded.is_error():
            self.node.counters.count("configuration.peer_malformed")
            return
        async with self.fold_lock:
            self.apply_state(adopt_state(self.node.fold, decoded.ok))
        self.node.counters.count("configuration.peer_fetched")
