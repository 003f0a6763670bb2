"""When refused callers are to come back."""

from cardamomdyke.jobs.refusals import choose_retry_after

# A caller tries this often; the shortest outages of the users' store take 4.5 s.
TRIES = 5
OUTAGE_SECONDS = 4.5


def test_tries_of_a_caller_outlast_an_outage() -> None:
    """Guards against callers that use up their tries before the store is back."""
    now = 0.0
    for _ in range(TRIES - 1):
        now += choose_retry_after(now)
    assert now > OUTAGE_SECONDS


def test_first_refusal_asks_for_the_shortest_pause() -> None:
    """Guards against an urgent job that is late because of a short outage."""
    assert choose_retry_after(0.0) == 1
