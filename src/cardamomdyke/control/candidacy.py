"""Decides whether this daemon joins the planner group."""

from collections.abc import Callable
from dataclasses import dataclass

from cardamomdyke.control.clock import read_clock
from cardamomdyke.control.context import Context, check_contact
from cardamomdyke.membership.candidates import count_candidates, rank_peers

# Period of the planner's heartbeats in the work topic, which is read anyway.
HEARTBEAT_PERIOD_SECONDS = 0.8
# Without a heartbeat for this long the permanent candidates are considered lost. One
# takes over within 1.4 s and sends a heartbeat 0.8 s later, plus the store's time.
CANDIDATES_TIMEOUT_SECONDS = 2.6
# The other daemons become candidates in groups, this long apart, since each new
# member makes the store rebalance the partitions.
GROUP_WAIT_SECONDS = 1.0
# A slow store delays a heartbeat by several answers: an append and two reads.
ANSWERS_PER_HEARTBEAT = 4
# On a first start, daemons announce themselves within 0.3 s of each other.
FIRST_START_WAIT_SECONDS = 1.0


@dataclass
class Candidacy:
    """Decides whether this daemon is a candidate for planning.

    Attributes
    ----------
    context : Context
        Shared objects of the daemon.
    started_at : float
        Start of this daemon, in seconds of `clock`.
    heartbeat_at : float
        When the newest heartbeat was read, in seconds of `clock`; the start
        before the first.
    clock : callable
        Steady clock, in seconds.
    """

    context: Context
    started_at: float
    heartbeat_at: float
    clock: Callable[[], float] = read_clock

    def record_heartbeat(self) -> None:
        """Record a heartbeat of the planner."""
        self.heartbeat_at = self.clock()

    def is_candidate(self) -> bool:
        """Return whether to be in the planner group now.

        The first-ranked daemons are permanent candidates. The others are candidates
        while no heartbeat arrives although the store answers.
        """
        peers = self.context.peers.values()
        ranked = rank_peers(peers)
        candidates = count_candidates(peers)
        if len(ranked) < candidates and not self.is_start_settled():
            return False
        vm = self.context.settings.vm
        if vm not in ranked:
            # Not announced yet, or removed; the announcement is repeated.
            return False
        group_index = ranked.index(vm) // candidates
        if group_index == 0:
            return True
        wait_seconds = (
            CANDIDATES_TIMEOUT_SECONDS + (group_index - 1) * GROUP_WAIT_SECONDS
        )
        wait_seconds += (
            ANSWERS_PER_HEARTBEAT * self.context.store.contact.answer_seconds
        )
        feed = self.context.work_feed
        if feed.failing_since or not check_contact(self.context):
            return False
        # Heartbeats sent while reads failed may have been missed.
        return self.clock() - max(self.heartbeat_at, feed.regained_at) >= wait_seconds

    def is_start_settled(self) -> bool:
        """Return whether all daemons of a first start could announce themselves."""
        return self.clock() - self.started_at >= FIRST_START_WAIT_SECONDS

    def list_lost_candidates(self) -> list[str]:
        """Return the permanent candidates that this daemon replaces, if it is not one.

        Their announcements are removed; those still alive announce themselves again.
        """
        peers = self.context.peers.values()
        ranked = rank_peers(peers)
        vm = self.context.settings.vm
        candidates = ranked[: count_candidates(peers)]
        return [] if vm in candidates else candidates


def make_candidacy(context: Context) -> Candidacy:
    """Create the candidacy of a daemon that starts now."""
    now = read_clock()
    return Candidacy(context, now, now)
