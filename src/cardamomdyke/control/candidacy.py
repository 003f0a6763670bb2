"""Decides whether this daemon stands by to plan."""

from collections.abc import Callable
from dataclasses import dataclass

from cardamomdyke.control.clock import read_clock
from cardamomdyke.control.context import Context, check_contact
from cardamomdyke.membership.candidates import count_candidates, rank_peers

# A planner shows itself in the store this often. The jobs' topic is read anyway.
HEARTBEAT_PERIOD_SECONDS = 0.8
# Without a sign for this long the candidates are taken to be lost. A candidate takes
# over within 1.4 s and shows itself 0.8 s later, besides the time of the store.
CANDIDATES_LOST_SECONDS = 2.6
# The daemons after the candidates step in one group after the other, since each
# newcomer makes the store deal the partitions anew.
GROUP_WAIT_SECONDS = 1.0
# A slow store delays signs by some of its answers: an append and two reads.
ANSWERS_PER_HEARTBEAT = 4
# At a first start daemons announce themselves within 0.3 s of each other.
FIRST_START_SECONDS = 1.0


@dataclass
class Candidacy:
    """What this daemon knows of those that stand by to plan.

    Attributes
    ----------
    context : Context
        Shared parts of the daemon.
    started_at : float
        When this daemon started.
    heartbeat_at : float
        When a planner was last seen in the store; the start before that.
    clock : callable
        Returns seconds.
    """

    context: Context
    started_at: float
    heartbeat_at: float
    clock: Callable[[], float] = read_clock

    def record_heartbeat(self) -> None:
        """Take note that a planner has shown itself."""
        self.heartbeat_at = self.clock()

    def check_standing(self) -> bool:
        """Tell whether this daemon stands by to plan now.

        The candidates always do. The others step in when no planner shows itself
        although the store answers.
        """
        peers = self.context.peers.values()
        ranked = rank_peers(peers)
        candidates = count_candidates(peers)
        if len(ranked) < candidates and not self.check_settled():
            return False
        vm = self.context.settings.vm
        if vm not in ranked:
            # Not announced yet, or dropped; the announcement is repeated.
            return False
        group = ranked.index(vm) // candidates
        if group == 0:
            return True
        patience = CANDIDATES_LOST_SECONDS + (group - 1) * GROUP_WAIT_SECONDS
        patience += ANSWERS_PER_HEARTBEAT * self.context.store.contact.answer_seconds
        feed = self.context.work
        if feed.failing_since or not check_contact(self.context):
            return False
        # A daemon that the store turned away has missed the signs of that time.
        return self.clock() - max(self.heartbeat_at, feed.regained_at) >= patience

    def check_settled(self) -> bool:
        """Tell whether every daemon of a first start has announced itself."""
        return self.clock() - self.started_at >= FIRST_START_SECONDS

    def list_lost(self) -> list[str]:
        """Return the candidates that this daemon has stepped in for.

        Their announcements are dropped; those that live announce themselves again.
        """
        peers = self.context.peers.values()
        ranked = rank_peers(peers)
        vm = self.context.settings.vm
        candidates = ranked[: count_candidates(peers)]
        return [] if vm in candidates else candidates


def make_candidacy(context: Context) -> Candidacy:
    """Build the candidacy of a daemon that starts now."""
    now = read_clock()
    return Candidacy(context, now, now)
