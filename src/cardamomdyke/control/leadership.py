"""Decides by the store's group which daemon plans."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from cardamomdyke.control.clock import read_clock
from cardamomdyke.control.journal import Journal
from cardamomdyke.platform.store import Membership, StoreClient

GROUP = "planner"
# The group shares this topic's partitions; nothing is ever appended to it.
GROUP_TOPIC = "planner"
PLANNER_PARTITION = 0
# Time without a planner after a kill, at most, besides one join of the next one.
# Several joins fit into it, so lost answers do not end a planner's term.
MEMBERSHIP_SECONDS = 1.2
JOIN_PERIOD_SECONDS = 0.2
# A join without an answer is given up and repeated after this time.
JOIN_TIMEOUT_SECONDS = 0.4
# The right to plan ends this much earlier than the store's count, for clocks
# that run at different speeds.
AUTHORITY_MARGIN_SECONDS = 0.1


@dataclass
class Leadership:
    """The daemon's part in the group of planners.

    Attributes
    ----------
    store : StoreClient
        The platform's store.
    journal : Journal
        Log of the daemon.
    member : str
        Name of this daemon's incarnation.
    membership_seconds : float
        Time after which a silent member loses its partitions.
    generation : int
        Newest generation of the group that was seen.
    term : int
        Generation at which this daemon began to plan; 0 while it does not.
    authority_until : float
        Time until which this daemon may give orders.
    changed : asyncio.Event
        Set when a term begins or ends.
    is_candidate : callable
        Tells whether this daemon stands by to plan.
    member_of_group : bool
        True when the store may count this daemon as a member.
    """

    store: StoreClient
    journal: Journal
    member: str
    membership_seconds: float = MEMBERSHIP_SECONDS
    generation: int = 0
    term: int = 0
    authority_until: float = 0.0
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    is_candidate: Callable[[], bool] = lambda: True
    member_of_group: bool = False
    clock: Callable[[], float] = read_clock

    @property
    def may_send_orders(self) -> bool:
        """Whether this daemon may give orders to backend servers now."""
        return self.term > 0 and self.clock() < self.authority_until

    async def join_forever(self) -> None:
        """Stay in the group, until cancelled."""
        while True:
            if not self.term and not self.is_candidate():
                await self.step_down()
                await asyncio.sleep(JOIN_PERIOD_SECONDS)
                continue
            if not self.member_of_group:
                self.member_of_group = True
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
                self.note_joined(result.ok, sent_at)
            else:
                self.journal.count("group.join_failed")
            spent = self.clock() - sent_at
            await asyncio.sleep(max(0.0, JOIN_PERIOD_SECONDS - spent))

    async def step_down(self) -> None:
        """Leave the group while others stand by to plan."""
        if not self.member_of_group:
            return
        self.member_of_group = False
        self.journal.write("planner.stands_down", self.member)
        result = await self.store.leave_group(GROUP, self.member)
        if result.is_error():
            # The store drops a silent member after its time to live.
            self.journal.count("group.leave_failed")

    def note_joined(self, membership: Membership, sent_at: float) -> None:
        """Begin, keep or end a term, as the store's answer says."""
        lapsed = self.clock() >= self.authority_until
        changed = membership.generation != self.generation
        self.generation = membership.generation
        if PLANNER_PARTITION not in membership.partitions:
            self.end_term("another daemon plans")
            return
        if self.term and lapsed and changed:
            # Someone else may have planned in between.
            self.end_term("the group changed after the right had lapsed")
        self.authority_until = (
            sent_at + self.membership_seconds - AUTHORITY_MARGIN_SECONDS
        )
        if not self.term:
            self.term = membership.generation
            self.journal.write("planner.elected", self.member, term=self.term)
            self.changed.set()

    def end_term(self, reason: str) -> None:
        """Stop planning."""
        if not self.term:
            return
        self.journal.write(
            "planner.term_ended", self.member, term=self.term, reason=reason
        )
        self.term = 0
        self.authority_until = 0.0
        self.changed.set()

    async def leave(self) -> None:
        """Leave the group, so that another daemon plans at once."""
        self.end_term("this daemon shuts down")
        if not self.member_of_group:
            return
        result = await self.store.leave_group(GROUP, self.member)
        if result.is_error():
            self.journal.write(
                "planner.leave_failed", self.member, detail=result.error.detail
            )
