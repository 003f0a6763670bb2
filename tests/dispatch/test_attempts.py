"""Single transitions of an attempt's state machine."""

from cardamomdyke.dispatch.attempts import MAX_TICKET_REFUSALS, step_attempt
from cardamomdyke.dispatch.claims import ClaimAnswer, ClaimHome
from cardamomdyke.dispatch.events import (
    AnswerLost,
    AttemptEvent,
    AttemptStarted,
    CallClaimHome,
    ChooseServer,
    ClaimAnswered,
    ClaimFailed,
    DeadlinePassed,
    Finish,
    LookUp,
    NoServerFree,
    SendStart,
    ServerBlocked,
    ServerChosen,
    StartExpired,
    StartRefused,
    TicketRefused,
    Wait,
)
from cardamomdyke.dispatch.states import Attempt, make_attempt
from cardamomdyke.model.errors import ProblemKind, make_problem
from cardamomdyke.model.outcomes import NotKnown, NotRun, Outcome
from cardamomdyke.model.requests import KeyClaim

BUSY = make_problem(ProblemKind.BUSY, "no slot")


def apply_events(attempt: Attempt, *events: AttemptEvent, now: float = 0.0) -> object:
    """Return the action after the last event."""
    action: object = None
    for event in events:
        attempt, action = step_attempt(attempt, event, now)
    return action


def get_outcome(action: object) -> Outcome:
    assert isinstance(action, Finish)
    return action.outcome


def make_plain(**options: bool) -> Attempt:
    return make_attempt("r1", deadline=30.0, received_at=0.0, **options)


def make_keyed(first: bool = False) -> Attempt:
    return make_attempt(
        "r1",
        deadline=30.0,
        received_at=0.0,
        key="k",
        digest="d",
        first_attempt=first,
        homes=(ClaimHome("home"),),
    )


def make_answer(attempt: str, digest: str = "d") -> ClaimAnswered:
    claim = KeyClaim("k", digest, "w1", "boot1", attempt)
    return ClaimAnswered(ClaimAnswer(claim, attempt == "r1", 600.0), sent_at=0.0)


def test_refusal_leads_to_another_server() -> None:
    """Guards against giving up, or retrying the same server, when nothing ran."""
    action = apply_events(
        make_plain(), AttemptStarted(), ServerChosen("w1"), StartRefused(BUSY)
    )
    assert action == ChooseServer(frozenset({"w1"}), with_boot=False)


def test_uncertain_start_is_looked_up_and_not_sent_again() -> None:
    """Guards against a second run of a request that may not be repeated."""
    lost = AnswerLost("no reply", "boot1:5", may_retry=True)
    action = apply_events(make_plain(), AttemptStarted(), ServerChosen("w1"), lost)
    assert action == LookUp("w1", "boot1:5")


def test_proof_after_uncertainty_allows_another_start() -> None:
    """Guards against "not known" when the server proves that nothing ran."""
    lost = AnswerLost("no reply", "boot1:5")
    action = apply_events(
        make_plain(), AttemptStarted(), ServerChosen("w1"), lost, StartExpired()
    )
    assert isinstance(action, ChooseServer)


def test_repeatable_start_is_sent_elsewhere_within_the_budget() -> None:
    """Guards against retries that the retry budget does not allow."""
    start = (AttemptStarted(), ServerChosen("w1"))
    repeatable = make_plain(repeatable=True)
    paid = apply_events(repeatable, *start, AnswerLost("no reply", may_retry=True))
    assert isinstance(paid, ChooseServer)
    unpaid = apply_events(repeatable, *start, AnswerLost("no reply", may_retry=False))
    assert isinstance(unpaid, LookUp)


def test_deadline_after_a_start_is_not_known() -> None:
    """Guards against "not run" for a request that runs after its deadline."""
    attempt = make_plain()
    for event in (AttemptStarted(), ServerChosen("w1")):
        attempt, _ = step_attempt(attempt, event, 0.0)
    late = apply_events(attempt, AnswerLost("no reply", "boot1:5"), now=31.0)
    assert isinstance(get_outcome(late), NotKnown)
    refused = apply_events(attempt, StartRefused(BUSY), now=31.0)
    assert isinstance(get_outcome(refused), NotRun)


def test_repeatable_refused_after_an_uncertain_start_is_not_known() -> None:
    """Guards against "not run" when only the second server is known to have refused."""
    lost = AnswerLost("no reply", may_retry=True)
    none_free = NoServerFree(BUSY, may_wait=False)
    action = apply_events(
        make_plain(repeatable=True),
        AttemptStarted(),
        ServerChosen("w1"),
        lost,
        none_free,
    )
    assert isinstance(get_outcome(action), NotKnown)


def test_stale_tickets_are_renewed_at_the_same_server_a_few_times() -> None:
    """Guards against endless new tickets at one server."""
    refusals = [TicketRefused("boot1")] * MAX_TICKET_REFUSALS
    once = apply_events(make_plain(), AttemptStarted(), ServerChosen("w1"), refusals[0])
    assert once == SendStart("w1")
    action = apply_events(make_plain(), AttemptStarted(), ServerChosen("w1"), *refusals)
    assert action == ChooseServer(frozenset({"w1"}), with_boot=False)


def test_claim_decides_the_server_and_its_boot() -> None:
    """Guards against a start on this VM's choice, not the claimed server."""
    action = apply_events(
        make_keyed(),
        AttemptStarted(),
        ServerChosen("w2", "boot2"),
        make_answer("other"),
    )
    assert action == SendStart("w1", "boot1")


def test_claim_is_marked_first_only_shortly_after_arrival() -> None:
    """Guards against a first claim at a restarted home after a pause of the VM."""
    attempt, _ = step_attempt(make_keyed(first=True), AttemptStarted(), 0.0)
    _, soon = step_attempt(attempt, ServerChosen("w1", "boot1"), 1.0)
    _, late = step_attempt(attempt, ServerChosen("w1", "boot1"), 9.0)
    assert isinstance(soon, CallClaimHome) and isinstance(late, CallClaimHome)
    assert (soon.first, late.first) == (True, False)


def test_digest_mismatch_is_key_reused() -> None:
    """Guards against returning the answer of another request with the same key."""
    answer = make_answer("other", digest="another")
    action = apply_events(
        make_keyed(), AttemptStarted(), ServerChosen("w1", "boot1"), answer
    )
    outcome = get_outcome(action)
    assert isinstance(outcome, NotRun)
    assert outcome.problem.kind is ProblemKind.KEY_REUSED


def test_unreachable_home_names_the_same_key_as_remedy() -> None:
    """Guards against a caller that retries with a new key and runs twice."""
    problem = make_problem(ProblemKind.CLAIM_HOME_UNREACHABLE, "no reply")
    action = apply_events(
        make_keyed(first=True),
        AttemptStarted(),
        ServerChosen("w1", "boot1"),
        ClaimFailed(problem),
    )
    outcome = get_outcome(action)
    assert isinstance(outcome, NotKnown)
    assert "same idempotency key" in outcome.problem.remedy


def test_restart_of_the_claimed_server_is_not_known() -> None:
    """Guards against a second run on a restarted server that forgot the first."""
    events = (AttemptStarted(), ServerChosen("w1", "boot1"), make_answer("r1"))
    action = apply_events(make_keyed(first=True), *events, TicketRefused("boot2"))
    outcome = get_outcome(action)
    assert isinstance(outcome, NotKnown)
    assert outcome.problem.kind is ProblemKind.SERVER_RESTARTED


def test_leaving_claimed_server_is_only_queried_for_its_answer() -> None:
    """Guards against new work on a leaving server, and against lost answers."""
    leaving = ServerBlocked(make_problem(ProblemKind.NO_CAPACITY, "leaving"))
    events = (AttemptStarted(), ServerChosen("w1", "boot1"))
    found = apply_events(make_keyed(), *events, make_answer("other"), leaving)
    assert found == LookUp("w1", "")
    made = apply_events(make_keyed(first=True), *events, make_answer("r1"), leaving)
    assert isinstance(get_outcome(made), NotRun)


def test_refusal_of_a_later_attempt_of_a_key_is_not_known() -> None:
    """Guards against "not run" when an earlier attempt with the key may have run."""
    full = NoServerFree(BUSY, may_wait=False)
    later = get_outcome(apply_events(make_keyed(), AttemptStarted(), full))
    assert isinstance(later, NotKnown)
    assert later.problem.retry_after_seconds == 1
    first = get_outcome(apply_events(make_keyed(first=True), AttemptStarted(), full))
    assert isinstance(first, NotRun)


def test_start_near_the_end_of_the_claim_is_not_sent() -> None:
    """Guards against a start after the claim expired and another attempt took it."""
    events = (AttemptStarted(), ServerChosen("w1", "boot1"))
    claim = KeyClaim("k", "d", "w1", "boot1", "other")
    ending = ClaimAnswered(ClaimAnswer(claim, False, 3.0), sent_at=0.0)
    assert isinstance(
        get_outcome(apply_events(make_keyed(), *events, ending)), NotKnown
    )


def test_waits_grow_and_stay_bounded() -> None:
    """Guards against a busy loop, and against waits that outlast a free slot."""
    attempt = make_plain()
    lengths = []
    for _ in range(12):
        attempt, action = step_attempt(attempt, NoServerFree(BUSY, may_wait=True), 0.0)
        assert isinstance(action, Wait)
        lengths.append(action.seconds)
    assert lengths == sorted(lengths)
    assert 0 < lengths[0] < lengths[-1] <= 1.0


def test_deadline_before_any_start_is_not_run() -> None:
    """Guards against "not known" for a request that only waited."""
    outcome = get_outcome(
        apply_events(make_plain(), AttemptStarted(), DeadlinePassed())
    )
    assert isinstance(outcome, NotRun)
    assert outcome.problem.kind is ProblemKind.DEADLINE_PASSED
