"""Elects the planner through group membership in the store."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from cardamomdyke.control.clock import read_clock
from cardamomdyke.control.journal import Journal
from cardamomdyke.platform.store import Membership, StoreClient

GROUP = "planner"
# The group shares its partitions; nothing is ever appended to it.
GROUP_TOPIC = "planner"
PLANNER_PARTITION = 0
# Longest time without a planner after a kill, besides one join of the next one.
# Several joins fit into it, so lost answers do not end a term.
MEMBERSHIP_SECONDS = 1.2
JOIN_PERIOD_SECONDS = 0.2
# A join without an answer is repeated after this time.
JOIN_TIMEOUT_SECONDS = 0.4
# Authority ends this much before the membership in the store, because clocks run at
# different speeds.
AUTHORITY_MARGIN_SECONDS = 0.1
# A planner that the store no longer counts learns of it within this time.
LONGEST_AUTHORITY_SECONDS = MEMBERSHIP_SECONDS - AUTHORITY_MARGIN_SECONDS
# Pause after a term that failed. The membership has expired by then, even if the store
# does not answer, and another daemon plans.
PAUSE_SECONDS = 2.0 * MEMBERSHIP_SECONDS


@dataclass
class Leadership:
    """Membership in the planner group, and the term as planner.

    Attributes
    ----------
    store : StoreClient
        The platform's store.
    journal : Journal
        Log of the daemon.
    member : str
        Name of this run of the daemon.
    membership_seconds : float
        Time after which a silent member loses its partitions.
    generation : int
        Generation in the store's last answer.
    term : int
        Generation of this daemon's election; 0 while it does not plan.
    authority_until : float
        End of the authority to send starts and stops, in seconds of `clock`; 0
        without a term.
    term_changed : asyncio.Event
        Set when a term begins or ends.
    is_candidate : callable
        Returns whether to join the group without a term.
    in_group : bool
        True when the store may count this daemon as a member.
    paused_until : float
        Until when this daemon stays out of the group, in seconds of `clock`.
    clock : callable
        Steady clock, in seconds.
    """

    store: StoreClient
    journal: Journal
    member: str
    membership_seconds: float = MEMBERSHIP_SECONDS
    generation: int = 0
    term: int = 0
    authority_until: float = 0.0
    term_changed: asyncio.Event = field(default_factory=asyncio.Event)
    is_candidate: Callable[[], bool] = lambda: True
    in_group: bool = False
    paused_until: float = 0.0
    clock: Callable[[], float] = read_clock

    @property
    def may_send_orders(self) -> bool:
        """Whether this daemon may send starts and stops now."""
        return self.term > 0 and self.clock() < self.authority_until

    async def join_forever(self) -> None:
        """Join periodically while this daemon is a candidate or plans."""
        while True:
            if not self.term and not self.may_join():
                await self.step_down()
                await asyncio.sleep(JOIN_PERIOD_SECONDS)
                continue
            if not self.in_group:
                self.in_group = True
                self.journal.write("planner.stands_by", self.member)
            sent_at = self.clock()
            result = await self.store.join_group(
                GROUP,
                self.member,
                GROUP_TOPIC,
                self.membership_seconds,
                self.generation,
                JOIN_TIMEOUT_SECONDS,
            )
            if result.is_ok():
                self.handle_join_answer(result.ok, sent_at)
            else:
                self.journal.count("group.join_failed")
            elapsed_seconds = self.clock() - sent_at
            await asyncio.sleep(max(0.0, JOIN_PERIOD_SECONDS - elapsed_seconds))

    def may_join(self) -> bool:
        """Return whether to be in the group without a term."""
        return self.clock() >= self.paused_until and self.is_candidate()

    async def step_down(self) -> None:
        """Leave the group when no longer a candidate."""
        if not self.in_group:
            return
        self.in_group = False
        self.journal.write("planner.stands_down", self.member)
        result = await self.store.leave_group(GROUP, self.member)
        if result.is_error():
            # The store removes a silent member after its time to live.
            self.journal.count("group.leave_failed")

    def handle_join_answer(self, membership: Membership, sent_at: float) -> None:
        """Begin, extend or end a term; the join was sent at `sent_at` of `clock`."""
        if sent_at < self.paused_until:
            return
        expired = self.clock() >= self.authority_until
        generation_changed = membership.generation != self.generation
        self.generation = membership.generation
        if PLANNER_PARTITION not in membership.partitions:
            self.end_term("another daemon plans")
            return
        if self.term and expired and generation_changed:
            # Another daemon may have planned meanwhile.
            self.end_term("the group changed after the authority had expired")
        self.authority_until = (
            sent_at + self.membership_seconds - AUTHORITY_MARGIN_SECONDS
        )
        if not self.term:
            self.term = membership.generation
            self.journal.write("planner.elected", self.member, term=self.term)
            self.term_changed.set()

    def end_term(self, reason: str) -> None:
        """End the current term, if any."""
        if not self.term:
            return
        self.journal.write(
            "planner.term_ended", self.member, term=self.term, reason=reason
        )
        self.term = 0
        self.authority_until = 0.0
        self.term_changed.set()

    def abandon_term(self, reason: str) -> None:
        """End the current term, and stay out of the group until it has changed.

        A second term of the same generation could not be told from the first by the
        store, which recognises appends by generation and sequence number.
        """
        if not self.term:
            return
        self.end_term(reason)
        self.paused_until = self.clock() + PAUSE_SECONDS

    async def leave(self) -> None:
        """Leave the group, so that another daemon plans at once."""
        self.end_term("this daemon shuts down")
        if not self.in_group:
            return
        result = await self.store.leave_group(GROUP, self.member)
        if result.is_error():
            self.journal.write(
                "planner.leave_failed", self.member, detail=result.error.detail
            )
