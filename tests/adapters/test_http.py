"""Classification of failed HTTP calls, against a faulty server."""

import asyncio
import socket

import pytest

from cardamomdyke.adapters.http import (
    HttpCall,
    StallDetector,
    TransportFaultKind,
    make_http_client,
    send_call,
)
from tests.adapters.scripted import CLOSE, SILENCE, make_reply, run_script

# Shortens the tests; the daemon uses 3 s.
PROGRESS_SECONDS = 1


def make_call(address: str, **options: object) -> HttpCall:
    return HttpCall("POST", f"http://{address}/x", body=b"work", **options)  # type: ignore[arg-type]


def test_refused_connection_is_not_sent() -> None:
    """Guards against "not known" for each request to a backend server that is down."""

    async def run() -> None:
        with socket.socket() as bound:
            bound.bind(("127.0.0.1", 0))
            address = f"127.0.0.1:{bound.getsockname()[1]}"
            result = await send_call(
                make_http_client(), make_call(address, fresh_connection=True)
            )
        assert result.error.kind is TransportFaultKind.NOT_SENT

    asyncio.run(run())


def test_connection_that_never_opens_is_not_sent() -> None:
    """Guards against "not known" for each request to a rack that is unreachable."""

    async def run() -> None:
        with socket.socket() as full:
            full.bind(("127.0.0.1", 0))
            full.listen(0)
            address = full.getsockname()
            fillers = []
            for _ in range(4):
                filler = socket.socket()
                filler.setblocking(False)
                filler.connect_ex(address)
                fillers.append(filler)
            result = await send_call(
                make_http_client(),
                make_call(f"127.0.0.1:{address[1]}", fresh_connection=True),
            )
            for filler in fillers:
                filler.close()
        assert result.error.kind is TransportFaultKind.NOT_SENT

    asyncio.run(run())


def test_reused_connection_then_refusal_is_uncertain() -> None:
    """Guards against "not run" for a request that was sent on a reused connection.

    When a reused connection closes before the first reply byte, libcurl opens a new
    one. A refusal of that one has the error code of a request that was never sent.
    """

    async def run() -> None:
        script = [make_reply(b"first"), CLOSE]
        async with run_script(script, close_listener_on_last=True) as server:
            client = make_http_client()
            assert (await send_call(client, make_call(server.address))).is_ok()
            result = await send_call(client, make_call(server.address))
        assert [number for number, _ in server.requests] == [1, 1]
        assert result.error.kind is TransportFaultKind.UNCERTAIN

    asyncio.run(run())


def test_fresh_connection_carries_a_request_once() -> None:
    """Guards against libcurl resending a request that must not run twice."""

    async def run(fresh: bool) -> int:
        script = [make_reply(b"first"), CLOSE, make_reply(b"again")]
        async with run_script(script) as server:
            client = make_http_client()
            await send_call(client, make_call(server.address))
            await send_call(client, make_call(server.address, fresh_connection=fresh))
        return len(server.requests)

    assert asyncio.run(run(fresh=False)) == 3, "libcurl resends on a reused connection"
    assert asyncio.run(run(fresh=True)) == 2


def test_silent_connection_ends_and_is_not_used_again() -> None:
    """Guards against waiting on a silent connection until the request's deadline."""

    async def run() -> None:
        script = [make_reply(b"first"), SILENCE, make_reply(b"third")]
        async with run_script(script) as server:
            client = make_http_client()
            call = make_call(
                server.address,
                timeout_seconds=600.0,
                progress_timeout_seconds=PROGRESS_SECONDS,
            )
            assert (await send_call(client, call)).is_ok()
            silent = await asyncio.wait_for(send_call(client, call), 30.0)
            assert silent.error.kind is TransportFaultKind.UNCERTAIN
            assert silent.error.silent
            third = await send_call(client, call)
        assert third.ok.body == b"third"
        assert [number for number, _ in server.requests] == [1, 1, 2]

    asyncio.run(run())


def test_late_answer_is_not_given_to_the_next_call() -> None:
    """Guards against an answer after the timeout being returned to another call."""

    async def run() -> None:
        script = [SILENCE, make_reply(b"second")]
        async with run_script(script) as server:
            client = make_http_client()
            late = await send_call(
                client, make_call(server.address, timeout_seconds=0.3)
            )
            assert late.error.kind is TransportFaultKind.UNCERTAIN
            second = await send_call(client, make_call(server.address))
        assert second.ok.body == b"second"
        assert [number for number, _ in server.requests] == [1, 2]

    asyncio.run(run())


def test_duplicated_answer_is_not_given_to_the_next_call() -> None:
    """Guards against a duplicated reply being returned to the next call."""

    async def run() -> None:
        script = [make_reply(b"first") + make_reply(b"first"), make_reply(b"second")]
        async with run_script(script) as server:
            client = make_http_client()
            first = await send_call(client, make_call(server.address))
            second = await send_call(client, make_call(server.address))
        assert (first.ok.body, second.ok.body) == (b"first", b"second")

    asyncio.run(run())


@pytest.mark.parametrize(
    ("address", "name"),
    [
        ("127.0.0.1:1", "\u0645\u0643\u062a\u0628-1"),
        ("127.0.0.1:1", "a\nb"),
        ("\u0661.example:80", "a"),
        ("127.0.0.1:\u0663", "a"),
        ("127.0.0.1:80\0", "a"),
        ("127.0.0.1:99999", "a"),
    ],
)
def test_request_that_cannot_be_built_is_not_sent(address: str, name: str) -> None:
    """Guards against an odd name or address that ends the task which calls it."""

    async def run() -> None:
        call = make_call(address, headers={"Name": name})
        result = await send_call(make_http_client(), call)
        assert result.error.kind is TransportFaultKind.NOT_SENT

    asyncio.run(run())


def list_checks(limit: float, checks: list[tuple[float, int]]) -> list[int]:
    """Return the answers to checks at these times, with these bytes received."""
    times = iter([at for at, _ in checks])
    detector = StallDetector(limit, lambda: next(times))
    return [detector.check_progress(0, received, 0, 0) for _, received in checks]


@pytest.mark.parametrize(
    ("checks", "answers"),
    [
        ([(5.0, 0), (6.0, 0), (7.0, 0)], [0, 0, 1]),
        ([(5.0, 0), (6.0, 1), (7.0, 1), (7.9, 2), (8.9, 2)], [0, 0, 0, 0, 0]),
        ([(5.0, 9), (5.6, 9), (6.1, 9)], [0, 0, 1]),
        ([(5.0, 9), (5.9, 9), (65.0, 9), (65.9, 9), (66.1, 9)], [0, 0, 0, 0, 1]),
    ],
)
def test_only_silence_that_lasts_ends_a_transfer(
    checks: list[tuple[float, int]], answers: list[int]
) -> None:
    """Guards against a transfer ended by a pause of the process, or never ended."""
    assert list_checks(1.0, checks) == answers


def test_transfer_without_a_limit_is_never_ended() -> None:
    """Guards against a limit of 0 that ends each transfer."""
    assert list_checks(0.0, [(0.0, 0), (1.0, 0), (9.0, 0)]) == [0, 0, 0]


def test_limit_on_silence_ends_no_later_call() -> None:
    """Guards against a limit that stays with a curl handle which a later call reuses.

    A long poll of the store is silent for longer than a page read may be.
    """

    async def run() -> None:
        async with run_script([make_reply(b"page"), SILENCE]) as server:
            client = make_http_client()
            limited = make_call(server.address, stall_timeout_seconds=0.2)
            assert (await send_call(client, limited)).is_ok()
            silent = make_call(server.address, timeout_seconds=3.0)
            result = await send_call(client, silent)
            assert result.error.silent, result.error.detail

    asyncio.run(run())
