"""When a daemon stands by to plan."""

from dataclasses import dataclass

from cardamomdyke.control.candidacy import CANDIDATES_LOST_SECONDS, Candidacy
from cardamomdyke.membership.peers import Peer
from tests.control.parts import make_context

VMS = [f"vm{number}" for number in range(5)]


@dataclass
class Clock:
    """A clock that moves when it is told to."""

    now: float = 100.0

    def read(self) -> float:
        return self.now


def make_candidacy(place: int) -> tuple[Candidacy, Clock]:
    """Return the candidacy of the daemon that has a place among five."""
    context = make_context()
    names = list(VMS)
    names[place] = context.settings.vm
    peers = {
        vm: Peer(vm, f"{vm}:7000", "gent", 10.0 - rank) for rank, vm in enumerate(names)
    }
    context.peers.update(peers)
    clock = Clock()
    context.store.contact.clock = clock.read
    context.store.contact.note_answer(0.0, True)
    return Candidacy(context, clock.now, clock.now, clock.read), clock


def test_candidates_stand_by_at_all_times() -> None:
    """Guards against a platform on which nobody is ready to plan."""
    assert all(make_candidacy(place)[0].check_standing() for place in range(3))
    assert not make_candidacy(3)[0].check_standing()


def test_others_stand_by_without_signs_of_a_planner() -> None:
    """Guards against a platform without a planner once the candidates are lost."""
    candidacy, clock = make_candidacy(3)
    clock.now += CANDIDATES_LOST_SECONDS - 0.1
    candidacy.context.store.contact.note_answer(0.0, True)
    assert not candidacy.check_standing()
    clock.now += 0.2
    assert candidacy.check_standing()
    candidacy.record_heartbeat()
    assert not candidacy.check_standing()


def test_daemon_that_missed_the_signs_does_not_stand_by() -> None:
    """Guards against daemons that all join when the store serves them again.

    On vjf-orders-grown trouble-1, seed 11, twelve daemons came back at 11.5 s and
    joined; the partition was dealt anew again and again, and nobody planned for 3 s.
    """
    candidacy, clock = make_candidacy(3)
    clock.now += 9.0
    contact = candidacy.context.store.contact
    contact.note_answer(0.0, True)
    feed = candidacy.context.work
    feed.failing_since = clock.now - 9.0
    assert not candidacy.check_standing()
    feed.failing_since, feed.regained_at = 0.0, clock.now
    assert not candidacy.check_standing()
    clock.now += CANDIDATES_LOST_SECONDS + 0.1
    contact.note_answer(0.0, True)
    assert candidacy.check_standing()
