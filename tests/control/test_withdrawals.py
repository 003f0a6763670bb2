"""Cancellations that overtake the submission of their job."""

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar, cast

import pytest
from msgspec.json import decode, encode

from cardamomdyke.control import submissions
from cardamomdyke.control.clock import read_clock
from cardamomdyke.control.ingress import make_caller_application
from cardamomdyke.control.processor import CallerRequest, RequestProcessor
from cardamomdyke.control.relay import RESUME_SECONDS, Relay, RequestReceiver
from cardamomdyke.control.submissions import FIRST_EPOCH, SUBMISSION_SEQUENCE
from cardamomdyke.jobs.ledger import Ledger, apply_record
from cardamomdyke.jobs.records import (
    JOB_PREFIX,
    WITHDRAWAL_PREFIX,
    JobPhase,
    JobProgress,
    encode_progress,
)
from cardamomdyke.jobs.retention import (
    MAX_BATCH_REMOVALS,
    MAX_WITHDRAWALS,
    make_retention,
)
from cardamomdyke.platform.records import KeyedRecord, StoreFault, StoreFaultKind
from cardamomdyke.platform.store import Producer
from cardamomdyke.protocol.gen.ttypes import RelayCall
from cardamomdyke.protocol.progress import Progress
from tests.control.fakes import (
    HOST,
    KEY,
    PREFIX,
    FakeFeed,
    FakeStore,
    make_context,
    make_request,
)

JOB = "00000000000000a1"
TIMEOUT_SECONDS = 10.0
Answer = TypeVar("Answer")
BODY = encode({"specification": "x", "steps": [{"count": 1, "cpu_millicores": 1}]})


# One loop for all tests, since the events and tasks of a daemon belong to a loop.
LOOP = asyncio.new_event_loop()


def run(coroutine: Coroutine[Any, Any, Answer]) -> Answer:
    return LOOP.run_until_complete(asyncio.wait_for(coroutine, TIMEOUT_SECONDS))


def make_daemon(store: FakeStore) -> RequestReceiver:
    """Return a daemon that has read the whole store."""
    context = make_context()
    context.store = context.appender.store = cast(Any, store)
    receiver = RequestReceiver(
        context, RequestProcessor(context), Relay(context, cast(Any, None))
    )
    catch_up(receiver)
    return receiver


def receive(daemon: RequestReceiver) -> CallerRequest:
    """Return a submission that arrives at a daemon now."""
    withdrawal = daemon.find_withdrawal(PREFIX + JOB)
    return CallerRequest("POST", HOST, PREFIX + JOB, KEY, BODY, withdrawal)


def serve(daemon: RequestReceiver, request: CallerRequest) -> int:
    return run(daemon.processor.serve(request)).code


def cancel(daemon: RequestReceiver) -> int:
    return serve(daemon, make_request("DELETE", JOB))


def catch_up(daemon: RequestReceiver) -> None:
    cast(FakeFeed, daemon.context.work_feed).apply_all()


def read_ledger(store: FakeStore) -> Ledger:
    ledger = Ledger()
    for record in store.records:
        apply_record(ledger, record.key, record.value)
    return ledger


@pytest.mark.parametrize("caught_up", [False, True])
def test_submission_from_before_a_cancellation_never_runs(caught_up: bool) -> None:
    """Guards against a job that runs after its cancellation was answered 410.

    Its submission lies at a frozen daemon, which hands it in after the cancellation.
    """
    store = FakeStore()
    frozen, other = make_daemon(store), make_daemon(store)
    submission = receive(frozen)
    assert cancel(other) == 410
    if caught_up:
        catch_up(frozen)
    assert serve(frozen, submission) == 503
    assert JOB not in read_ledger(store).jobs


def test_append_that_the_store_carries_out_late_is_refused() -> None:
    """Guards against a job that the store appends after its cancellation."""
    store = FakeStore()
    first, other = make_daemon(store), make_daemon(store)
    store.faults.append(StoreFault(StoreFaultKind.UNCERTAIN, "no answer"))
    assert serve(first, receive(first)) == 504
    assert cancel(other) == 410
    late = Producer(JOB, FIRST_EPOCH, SUBMISSION_SEQUENCE)
    assert store.append_now([KeyedRecord(JOB_PREFIX + JOB, b"job")], late).is_error()


def test_caller_may_submit_after_a_cancellation_without_a_job() -> None:
    """Guards against an id that can never be used again."""
    store = FakeStore()
    first, other = make_daemon(store), make_daemon(store)
    assert cancel(other) == 410
    assert cancel(other) == 410
    catch_up(first)
    assert serve(first, receive(first)) == 200
    assert JOB in read_ledger(store).jobs
    catch_up(other)
    assert serve(other, receive(other)) == 200
    assert cancel(other) == 200
    assert JOB in read_ledger(store).cancelled


def test_refused_caller_is_accepted_at_its_next_try() -> None:
    """Guards against callers that a daemon behind the others refuses for ever."""
    store = FakeStore()
    behind, other = make_daemon(store), make_daemon(store)
    assert cancel(other) == 410
    answer = run(behind.processor.serve(receive(behind)))
    assert (answer.code, answer.retry_after_seconds) == (503, 1)
    assert serve(behind, receive(behind)) == 200


def test_withdrawal_is_known_after_a_restart_of_all_daemons() -> None:
    """Guards against daemons that forget a cancellation when they start again."""
    store = FakeStore()
    frozen = make_daemon(store)
    submission = receive(frozen)
    assert cancel(make_daemon(store)) == 410
    restarted = make_daemon(store)
    assert serve(restarted, submission) == 503
    assert serve(restarted, receive(restarted)) == 200


def test_job_that_is_accepted_during_its_cancellation_is_cancelled() -> None:
    """Guards against 410 for a job that was accepted a moment before."""
    store = FakeStore()
    first, other = make_daemon(store), make_daemon(store)

    async def scenario() -> None:
        real_append = store.append_records

        async def append_after_the_job(*arguments: Any, **options: Any) -> Any:
            store.append_records = real_append  # type: ignore[method-assign]
            await first.processor.serve(receive(first))
            return await real_append(*arguments, **options)

        store.append_records = append_after_the_job  # type: ignore[method-assign]
        answer = await other.processor.serve(make_request("DELETE", JOB))
        assert answer.code == 200

    run(scenario())
    assert JOB in read_ledger(store).cancelled


def test_request_read_after_a_pause_may_be_older_than_a_withdrawal() -> None:
    """Guards against an old submission that a daemon reads after it has caught up."""
    store = FakeStore()
    paused = make_daemon(store)
    assert cancel(make_daemon(store)) == 410
    catch_up(paused)
    assert receive(paused).withdrawal > 0
    contact = paused.context.store.contact
    contact.ran_at = read_clock() - 4.0
    submission = receive(paused)
    assert submission.withdrawal == 0
    assert serve(paused, submission) == 503
    contact.resumed_at -= RESUME_SECONDS
    assert serve(paused, receive(paused)) == 200


def test_peer_uses_what_the_first_daemon_knew() -> None:
    """Guards against an old submission that a peer accepts for a frozen daemon."""
    store = FakeStore()
    peer, other = make_daemon(store), make_daemon(store)
    assert cancel(other) == 410
    catch_up(peer)
    for withdrawal, code in ((None, 503), (0, 503), (receive(peer).withdrawal, 200)):
        call = RelayCall("POST", HOST, PREFIX + JOB, KEY, BODY, withdrawal)
        assert run(peer.serve_peer(call)).code == code


def test_caller_that_has_left_follows_no_withdrawal() -> None:
    """Guards against a submission that is accepted for a caller that cancelled it."""
    store = FakeStore()
    daemon = make_daemon(store)
    assert cancel(make_daemon(store)) == 410
    catch_up(daemon)

    async def submit(leaves: bool) -> None:
        application = make_caller_application(daemon, Progress())
        server = application.listen(0, "127.0.0.1")
        port = next(iter(server._sockets.values())).getsockname()[1]
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        head = f"POST {PREFIX}{JOB} HTTP/1.1\r\nHost: {HOST}\r\nApi-Key: {KEY}\r\n"
        writer.write(f"{head}Content-Length: {len(BODY)}\r\n\r\n".encode() + BODY)
        if leaves:
            writer.close()
            await asyncio.sleep(0.3)
        else:
            assert b" 200 " in await reader.readline()
            writer.close()
        server.stop()

    run(submit(leaves=True))
    assert JOB not in read_ledger(store).jobs
    run(submit(leaves=False))
    assert JOB in read_ledger(store).jobs


@pytest.mark.parametrize("withdrawn", [False, True])
def test_id_of_a_removed_job_can_be_used_again(withdrawn: bool) -> None:
    """Guards against 200 for a job that the store takes for a repeat."""
    store = FakeStore()
    daemon = make_daemon(store)
    if withdrawn:
        assert cancel(daemon) == 410
    assert serve(daemon, receive(daemon)) == 200
    store.records += [
        KeyedRecord(prefix + JOB, b"") for prefix in (JOB_PREFIX, WITHDRAWAL_PREFIX)
    ]
    catch_up(daemon)
    assert serve(daemon, receive(daemon)) == 200
    assert JOB in read_ledger(store).jobs


def test_id_can_be_used_again_in_the_millisecond_of_its_withdrawal(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against 200 for a job whose epoch the store has seen already."""
    monkeypatch.setattr(submissions, "make_epoch", lambda context: 5)
    test_id_of_a_removed_job_can_be_used_again(withdrawn=True)


def test_withdrawals_are_bounded_and_removed() -> None:
    """Guards against a store and daemons that fill with ids that are never used."""
    retention = make_retention(120.0)
    ledger = Ledger()
    for number in range(MAX_WITHDRAWALS + 3):
        key = f"{WITHDRAWAL_PREFIX}{number:016x}"
        retention.handle_change(ledger, apply_record(ledger, key, b"5"), 0.0)
    assert retention.take_due_withdrawals(1.0) == [f"{n:016x}" for n in range(3)]
    due = retention.take_due_withdrawals(retention.retention_seconds)
    assert len(due) == MAX_BATCH_REMOVALS
    for job_id in due:
        change = apply_record(ledger, WITHDRAWAL_PREFIX + job_id, b"")
        retention.handle_change(ledger, change, retention.retention_seconds)
    assert len(ledger.withdrawals) == MAX_WITHDRAWALS + 3 - len(due)


def test_removed_withdrawal_leaves_the_end_of_its_job() -> None:
    """Guards against an ended job that is kept for ever."""
    retention = make_retention(120.0)
    ledger = Ledger()
    ended = encode_progress(JobProgress(JobPhase.COMPLETED))
    for key, value in (
        (WITHDRAWAL_PREFIX, b"5"),
        ("p", ended),
        (WITHDRAWAL_PREFIX, b""),
    ):
        retention.handle_change(ledger, apply_record(ledger, key + JOB, value), 0.0)
    assert retention.take_due(retention.retention_seconds) == [JOB]


def test_malformed_withdrawal_is_left_out() -> None:
    """Guards against a record of another writer that ends the reading of the topic."""
    ledger = Ledger()
    assert apply_record(ledger, WITHDRAWAL_PREFIX + JOB, b"\xff").detail
    assert ledger == Ledger()


def test_state_of_a_withdrawn_id_is_unknown() -> None:
    """Guards against a state of a job that does not exist."""
    store = FakeStore()
    daemon = make_daemon(store)
    assert cancel(daemon) == 410
    answer = run(daemon.processor.serve(make_request("GET", JOB)))
    assert answer.code == 410
    count = run(daemon.processor.serve(make_request("GET")))
    assert decode(count.body) == {"pending": 0}
