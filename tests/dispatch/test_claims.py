"""Claim homes after changes of the pools table."""

from cardamomdyke.dispatch.claims import (
    SERVER_SET_RETENTION_SECONDS,
    ClaimAnswer,
    ClaimHome,
    ClaimProgress,
    apply_answer,
    list_homes,
    permit_claimed_start,
)
from cardamomdyke.model.errors import ProblemKind
from cardamomdyke.model.requests import KeyClaim
from cardamomdyke.model.tables import (
    BackendServer,
    Configuration,
    FormerServers,
    Pool,
    Tables,
)

OWN = KeyClaim("k", "d", "w1", "boot1", "r1")


def make_configuration(*former: tuple[float, str]) -> Configuration:
    pool = Pool("p", "gent", "s", (BackendServer("now", "r", "h:1", 8),))
    sets = tuple(FormerServers(at, (name,)) for at, name in former)
    return Configuration(1, Tables((), (pool,)), sets)


def test_homes_of_all_remembered_sets_oldest_first() -> None:
    """Guards against two claims of one key after a change of the pools table."""
    configuration = make_configuration((100.0, "old"), (500.0, "middle"))
    homes = list_homes(configuration, "k", unix_now=600.0)
    assert homes == (ClaimHome("old"), ClaimHome("middle"), ClaimHome("now"))


def test_old_server_sets_expire_before_they_are_dropped() -> None:
    """Guards against relying on a home that other VMs no longer call."""
    configuration = make_configuration((0.0, "old"))
    homes = list_homes(configuration, "k", unix_now=610.0)
    assert homes[0] == ClaimHome("old", expiring=True)
    answer = ClaimAnswer(OWN, created=True, remaining_seconds=600.0)
    progress = apply_answer(ClaimProgress(homes), answer, OWN, sent_at=0.0).ok
    assert not progress.vouched
    dropped = list_homes(configuration, "k", unix_now=SERVER_SET_RETENTION_SECONDS)
    assert dropped == (ClaimHome("now"),)


def test_homes_that_disagree_start_nothing() -> None:
    """Guards against two runs when homes of two sets hold different claims."""
    progress = ClaimProgress((ClaimHome("old"), ClaimHome("now")))
    first = ClaimAnswer(OWN, created=True, remaining_seconds=600.0)
    progress = apply_answer(progress, first, OWN, sent_at=0.0).ok
    other = KeyClaim("k", "d", "w2", "boot2", "r2")
    second = ClaimAnswer(other, created=False, remaining_seconds=600.0)
    result = apply_answer(progress, second, OWN, sent_at=0.0)
    assert result.error.kind is ProblemKind.CLAIM_LOST


def test_claims_end_with_the_first_home_that_drops_them() -> None:
    """Guards against a start under a claim that one home no longer holds."""
    progress = ClaimProgress((ClaimHome("old"), ClaimHome("now")))
    for remaining in (50.0, 600.0):
        answer = ClaimAnswer(OWN, created=True, remaining_seconds=remaining)
        progress = apply_answer(progress, answer, OWN, sent_at=1000.0).ok
    assert 1000.0 < progress.usable_until < 1050.0


def test_starts_with_a_claim_need_tables_that_were_current_recently() -> None:
    """Guards against claims by outdated tables in an isolated failure domain."""
    assert permit_claimed_start(1.0, has_evidence=True)
    assert permit_claimed_start(29.0, has_evidence=False)
    assert not permit_claimed_start(31.0, has_evidence=False)
