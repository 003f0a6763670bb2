"""Requests that pass through a peer, and the answers when nobody reaches the store."""

import asyncio
from dataclasses import dataclass, field
from typing import Any, cast

import pytest
from expression import Error, Ok, Result
from msgspec.json import encode

from cardamomdyke.adapters.http import TransportFault, TransportFaultKind
from cardamomdyke.control.clock import read_clock
from cardamomdyke.control.processor import CallerAnswer, CallerRequest, RequestProcessor
from cardamomdyke.control.relay import PATIENCE_SECONDS, Relay, RequestReceiver
from cardamomdyke.membership.peers import Peer
from cardamomdyke.platform.records import StoreFault, StoreFaultKind
from cardamomdyke.protocol.gen.ttypes import RelayCall, RelayReply
from tests.control.parts import make_context, make_request

JOB = "00000000000000a1"
BODY = encode({"specification": "x", "steps": [{"count": 1, "cpu_millicores": 1}]})
SERVED = CallerAnswer(200, b"{}")


@dataclass
class PlayedRelay:
    """Gives prepared answers."""

    answers: list[CallerAnswer] = field(default_factory=list)
    asked: int = 0

    async def forward(self, request: CallerRequest) -> list[CallerAnswer]:
        self.asked += 1
        return [self.answers.pop(0)] if self.answers else []


def make_request_receiver(answers: list[CallerAnswer]) -> RequestReceiver:
    context = make_context()
    return RequestReceiver(
        context, RequestProcessor(context), cast(Any, PlayedRelay(answers))
    )


def fail_store(reception: RequestReceiver, *kinds: StoreFaultKind) -> None:
    faults = [StoreFault(kind, "down") for kind in kinds]
    reception.context.store.faults.extend(faults)  # type: ignore[attr-defined]


def test_uncertain_submission_becomes_certain_through_a_peer() -> None:
    """Guards against "not known" while a peer reaches the store."""

    async def scenario() -> None:
        reception = make_request_receiver([SERVED])
        fail_store(reception, StoreFaultKind.UNCERTAIN)
        answer = await reception.serve(make_request("POST", JOB, BODY))
        assert answer is SERVED

    asyncio.run(scenario())


def test_short_outage_is_bridged() -> None:
    """Guards against a refusal of what the store takes a moment later."""

    async def scenario() -> None:
        reception = make_request_receiver([])
        fail_store(reception, StoreFaultKind.NOT_DONE, StoreFaultKind.NOT_DONE)
        answer = await reception.serve(make_request("POST", JOB, BODY))
        assert answer.code == 200

    asyncio.run(scenario())


def test_unknown_outcome_outweighs_later_refusals() -> None:
    """Guards against "not run" after an append that may have been carried out."""

    async def scenario() -> None:
        reception = make_request_receiver([])
        rest = [StoreFaultKind.NOT_DONE] * 20
        fail_store(reception, StoreFaultKind.UNCERTAIN, *rest)
        answer = await reception.serve(make_request("POST", JOB, BODY))
        assert answer.code == 504

    asyncio.run(scenario())


def test_refusal_is_not_held_back() -> None:
    """Guards against answers that are kept until the caller's deadline."""

    async def scenario() -> None:
        reception = make_request_receiver([])
        fail_store(reception, *[StoreFaultKind.NOT_DONE] * 20)
        began = read_clock()
        answer = await reception.serve(make_request("POST", JOB, BODY))
        assert answer.code == 503
        tries = len(cast(Any, reception.context.store).faults)
        assert tries >= 20 - PATIENCE_SECONDS / 0.15 - 1
        assert read_clock() >= began

    asyncio.run(scenario())


def test_daemon_without_contact_asks_a_peer_first() -> None:
    """Guards against state that is out of date."""

    async def scenario() -> None:
        reception = make_request_receiver([SERVED])
        reception.context.store.contact.answered_at = 0.0
        assert await reception.serve(make_request("GET", JOB)) is SERVED

    asyncio.run(scenario())


@dataclass
class PlayedPeers:
    """Peers that answer a relayed request as they are told, after a time."""

    replies: dict[str, tuple[float, Result[RelayReply, TransportFault]]]

    async def relay_request(
        self, address: str, call: RelayCall, timeout_seconds: float
    ) -> Result[RelayReply, TransportFault]:
        delay, reply = self.replies[address]
        await asyncio.sleep(delay)
        return reply


def relay_to(
    *replies: tuple[float, Result[RelayReply, TransportFault]],
) -> RequestReceiver:
    """Return the reception of a VM that does not reach the store, with peers."""
    context = make_context("vm")
    addresses = [f"10.0.0.{number}:1" for number in range(len(replies))]
    for number, address in enumerate(addresses):
        peer = Peer(f"peer-{number}", address, "gent")
        context.peers[peer.vm] = peer
    context.store.contact.answered_at = 0.0
    client = PlayedPeers(dict(zip(addresses, replies, strict=True)))
    return RequestReceiver(
        context, RequestProcessor(context), Relay(context, cast(Any, client))
    )


SILENT = Error(TransportFault(TransportFaultKind.UNCERTAIN, "no answer", silent=True))
FULL = Ok(RelayReply(429, b"{}", 1, True))
STORED = Ok(RelayReply(200, b"{}", 0, True))
UNKNOWN = Ok(RelayReply(504, b"{}", 1, False))
AWAY = Ok(RelayReply(0, b"", 0, False))


@pytest.mark.parametrize(
    ("replies", "code"),
    [
        ([(0.0, SILENT)], 504),
        ([(0.0, UNKNOWN)], 504),
        ([(0.0, AWAY)], 503),
        ([(0.0, FULL)], 429),
        ([(0.0, SILENT), (0.0, FULL)], 504),
        ([(0.2, SILENT), (0.0, FULL)], 504),
        ([(0.2, STORED), (0.0, FULL)], 200),
        ([(0.0, SILENT), (0.0, STORED)], 200),
    ],
)
def test_refusal_is_true_of_every_peer_asked(
    replies: list[tuple[float, Result[RelayReply, TransportFault]]], code: int
) -> None:
    """Guards against "not run" for a job that a peer was asked to store.

    Seen on vjf-orders, trouble-1, seed 13: a peer's call ran out of time, the
    caller got 503, and the peer stored the job.
    """
    answer = asyncio.run(relay_to(*replies).serve(make_request("POST", JOB, BODY)))
    assert answer.code == code
