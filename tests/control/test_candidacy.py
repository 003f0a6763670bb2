"""Tests of when a daemon joins the planner group."""

from dataclasses import dataclass

from cardamomdyke.control.candidacy import CANDIDATES_TIMEOUT_SECONDS, Candidacy
from cardamomdyke.membership.peers import Peer
from tests.control.fakes import make_context

VMS = [f"vm{number}" for number in range(5)]


@dataclass
class Clock:
    """Clock that a test sets, in seconds."""

    now: float = 100.0

    def read(self) -> float:
        return self.now


def make_candidacy(position: int) -> tuple[Candidacy, Clock]:
    """Return the candidacy of the daemon with this rank among five, and its clock."""
    context = make_context()
    names = list(VMS)
    names[position] = context.settings.vm
    peers = {
        vm: Peer(vm, f"{vm}:7000", "gent", 10.0 - rank) for rank, vm in enumerate(names)
    }
    context.peers.update(peers)
    clock = Clock()
    context.store.contact.clock = clock.read
    context.store.contact.record_answer(0.0, True)
    return Candidacy(context, clock.now, clock.now, clock.read), clock


def test_first_ranked_daemons_are_always_candidates() -> None:
    """Guards against a platform without a daemon ready to plan."""
    assert all(make_candidacy(position)[0].is_candidate() for position in range(3))
    assert not make_candidacy(3)[0].is_candidate()


def test_other_daemons_are_candidates_without_heartbeats() -> None:
    """Guards against a platform without a planner after the loss of all candidates."""
    candidacy, clock = make_candidacy(3)
    clock.now += CANDIDATES_TIMEOUT_SECONDS - 0.1
    candidacy.context.store.contact.record_answer(0.0, True)
    assert not candidacy.is_candidate()
    clock.now += 0.2
    assert candidacy.is_candidate()
    candidacy.record_heartbeat()
    assert not candidacy.is_candidate()


def test_daemon_that_missed_heartbeats_is_no_candidate() -> None:
    """Guards against daemons that all join once the store serves them again.

    On vjf-orders-grown trouble-1, seed 11, twelve daemons came back at 11.5 s and
    joined; the partition was reassigned repeatedly, and none planned for 3 s.
    """
    candidacy, clock = make_candidacy(3)
    clock.now += 9.0
    contact = candidacy.context.store.contact
    contact.record_answer(0.0, True)
    feed = candidacy.context.work_feed
    feed.failing_since = clock.now - 9.0
    assert not candidacy.is_candidate()
    feed.failing_since, feed.regained_at = 0.0, clock.now
    assert not candidacy.is_candidate()
    clock.now += CANDIDATES_TIMEOUT_SECONDS + 0.1
    contact.record_answer(0.0, True)
    assert candidacy.is_candidate()
