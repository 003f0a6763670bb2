"""Rate limits, retry budget, choice of servers and outlier ejection."""

from random import Random

from hypothesis import given
from hypothesis import strategies as st

from cardamomdyke.dispatch.claims import make_claim_key
from cardamomdyke.dispatch.ejection import (
    HEALTHY,
    MIN_CONSECUTIVE_FAILURES,
    MIN_FAILED_KINDS,
    ServerHealth,
    permit_use,
    record_failure,
    start_probe,
)
from cardamomdyke.dispatch.limits import (
    RetryBudget,
    TokenBucket,
    earn_retry,
    permit_queueing,
    spend_retry,
    take_token,
)
from cardamomdyke.dispatch.routing import Candidate, choose_candidate

POOL_SIZE = 9


@given(
    gaps=st.lists(st.floats(0.0, 3.0), min_size=1, max_size=60),
    rate=st.floats(0.1, 50.0),
    burst=st.integers(1, 20),
)
def test_rate_limit_holds_over_any_arrivals(
    gaps: list[float], rate: float, burst: int
) -> None:
    """Guards against more requests than the rate allows, and against a Retry-After
    that is too short."""
    bucket: TokenBucket | None = None
    now, admitted = 0.0, 0
    for gap in gaps:
        now += gap
        bucket, delay = take_token(bucket, rate, burst, now)
        admitted += delay == 0
        assert isinstance(delay, int) and delay >= 0
        if delay:
            assert take_token(bucket, rate, burst, now + delay + 1e-6)[1] == 0
    assert admitted <= burst + rate * (now - gaps[0]) + 1e-6


def test_retries_stay_within_a_tenth_of_first_tries() -> None:
    """Guards against retries that multiply the load on failing servers."""
    budget, retries = RetryBudget(), 0
    for _ in range(1000):
        budget = earn_retry(budget)
        for _ in range(3):
            budget, allowed = spend_retry(budget)
            retries += allowed
    assert retries == 100


def test_queue_is_bounded_per_client_account_and_in_all() -> None:
    """Guards against one client account that fills the queue of all."""
    assert permit_queueing(199, 199)
    assert not permit_queueing(200, 200)
    assert not permit_queueing(0, 1000)


def test_own_failure_domain_is_preferred_while_it_has_capacity() -> None:
    """Guards against needless traffic between failure domains, which is billed."""
    far = Candidate("far", 8, 64, local=False)
    random = Random(1)
    near = Candidate("near", 8, 64, running=7, connected=7)
    assert choose_candidate([far, near], random) == near
    full = Candidate("near", 8, 64, running=8, connected=8)
    assert choose_candidate([far, full], random) == far
    no_connection = Candidate("near", 80, 64, running=64, connected=64)
    assert choose_candidate([no_connection], random) is None


def test_less_loaded_of_two_evens_the_load() -> None:
    """Guards against a choice that ignores the load."""
    random, running = Random(7), dict.fromkeys(range(10), 0)
    for _ in range(400):
        candidates = [
            Candidate(str(n), 100, 100, count, count) for n, count in running.items()
        ]
        chosen = choose_candidate(candidates, random)
        assert chosen is not None
        running[int(chosen.server)] += 1
    # The better of two random choices keeps the loads within a few requests.
    assert max(running.values()) - min(running.values()) <= 6


def record_failures(
    kinds: int, ejected: int = 0, health: ServerHealth = HEALTHY
) -> ServerHealth:
    for number in range(MIN_CONSECUTIVE_FAILURES):
        kind = str(number % kinds)
        health = record_failure(health, kind, ejected, POOL_SIZE, now=0.0)
    return health


def test_ejection_needs_several_kinds_of_requests() -> None:
    """Guards against one faulty request that ejects every server."""
    assert not record_failures(kinds=MIN_FAILED_KINDS - 1).ejected
    assert record_failures(kinds=MIN_FAILED_KINDS).ejected


def test_at_most_a_third_of_a_pool_is_ejected() -> None:
    """Guards against ejecting a whole pool when the network fails."""
    ejected = 0
    for _ in range(POOL_SIZE):
        ejected += record_failures(kinds=3, ejected=ejected).ejected
    assert ejected == POOL_SIZE // 3


def test_ejected_server_is_probed_once_and_returns() -> None:
    """Guards against a server that stays ejected, or gets full load while failing."""
    health = record_failures(kinds=3)
    assert not permit_use(health, 1.0)
    due = health.ejected_until
    assert permit_use(health, due)
    assert not permit_use(start_probe(health), due)
    again = record_failure(start_probe(health), "0", 0, POOL_SIZE, due)
    assert again.ejected_until - due == 2 * due
    assert permit_use(HEALTHY, due)


@given(
    st.tuples(st.text(), st.text()),
    st.tuples(st.text(), st.text()),
)
def test_claim_keys_of_two_client_accounts_differ(
    one: tuple[str, str], other: tuple[str, str]
) -> None:
    """Guards against one client account that gets another's answer by its key."""
    assert (make_claim_key(*one) == make_claim_key(*other)) == (one == other)
