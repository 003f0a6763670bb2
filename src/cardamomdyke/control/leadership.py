"""Elects the daemon that plans, through group membership in the store."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from cardamomdyke.control.clock import read_clock
from cardamomdyke.control.journal import Journal
from cardamomdyke.platform.store import Membership, StoreClient

GROUP = "planner"
# Its partitions are shared among the group; nothing is ever appended to it.
GROUP_TOPIC = "planner"
PLANNER_PARTITION = 0
# After a kill of the planner, the next one plans after at most this long plus one
# join. Several joins fit into it, so lost answers do not end a planner's term.
MEMBERSHIP_SECONDS = 1.2
JOIN_PERIOD_SECONDS = 0.2
# A join without an answer is repeated after this time.
JOIN_TIMEOUT_SECONDS = 0.4
# Authority ends this much earlier than the membership in the store, because clocks
# run at different speeds.
AUTHORITY_MARGIN_SECONDS = 0.1


@dataclass
class Leadership:
    """Membership of this daemon in the planner group, and its term as planner.

    Attributes
    ----------
    store : StoreClient
        The platform's store.
    journal : Journal
        Log of the daemon.
    member : str
        Member name of this run of the daemon.
    membership_seconds : float
        Time after which a silent member loses its partitions.
    generation : int
        Generation of the group in the store's last answer.
    term : int
        Generation in which this daemon was elected; 0 while it does not plan.
    authority_until : float
        When the authority to send starts and stops ends, in seconds of `clock`; 0
        while this daemon does not plan.
    term_changed : asyncio.Event
        Set when a term begins or ends.
    is_candidate : callable
        Returns whether this daemon should be in the group when it does not plan.
    in_group : bool
        True when the store may count this daemon as a member.
    clock : callable
        Returns seconds of a steady clock.
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
    clock: Callable[[], float] = read_clock

    @property
    def may_send_orders(self) -> bool:
        """Whether this daemon may send starts and stops to backend servers now."""
        return self.term > 0 and self.clock() < self.authority_until

    async def join_forever(self) -> None:
        """Join the group periodically while this daemon is a candidate or plans."""
        while True:
            if not self.term and not self.is_candidate():
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

    async def step_down(self) -> None:
        """Leave the group when this daemon is no candidate any more."""
        if not self.in_group:
            return
        self.in_group = False
        self.journal.write("planner.stands_down", self.member)
        result = await self.store.leave_group(GROUP, self.member)
        if result.is_error():
            # The store removes a silent member after its time to live.
            self.journal.count("group.leave_failed")

    def handle_join_answer(self, membership: Membership, sent_at: float) -> None:
        """Begin, extend or end a term after an answer to a join.

        Parameters
        ----------
        membership : Membership
            Answer of the store.
        sent_at : float
            When the join was sent, in seconds of `clock`.
        """
        expired = self.clock() >= self.authority_until
        generation_changed = membership.generation != self.generation
        self.generation = membership.generation
        if PLANNER_PARTITION not in membership.partitions:
            self.end_term("another daemon plans")
            return
        if self.term and expired and generation_changed:
            # Another daemon may have planned in between.
            self.end_term("the group changed after the authority had expired")
        self.authority_until = (
            sent_at + self.membership_seconds - AUTHORITY_MARGIN_SECONDS
        )
        if not self.term:
            self.term = membership.generation
            self.journal.write("planner.elected", self.member, term=self.term)
            self.term_changed.set()

    def end_term(self, reason: str) -> None:
        """End the current term, if there is one."""
        if not self.term:
            return
        self.journal.write(
            "planner.term_ended", self.member, term=self.term, reason=reason
        )
        self.term = 0
        self.authority_until = 0.0
        self.term_changed.set()

    async def leave(self) -> None:
        """End the term and leave the group, so that another daemon plans at once."""
        self.end_term("this daemon shuts down")
        if not self.in_group:
            return
        result = await self.store.leave_group(GROUP, self.member)
        if result.is_error():
            self.journal.write(
                "planner.leave_failed", self.member, detail=result.error.detail
            )
