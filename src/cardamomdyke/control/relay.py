"""Passes requests on to peers while this daemon does not reach the store."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from expression import Result

from cardamomdyke.adapters.http import TransportFault, TransportFaultKind
from cardamomdyke.control.clock import read_clock
from cardamomdyke.control.context import Context, check_contact
from cardamomdyke.control.processor import (
    NOT_KNOWN,
    NOT_REACHED,
    CallerAnswer,
    CallerRequest,
    RequestProcessor,
    make_answer,
)
from cardamomdyke.protocol.client import PeerClient
from cardamomdyke.protocol.gen.ttypes import RelayCall, RelayReply

# A request goes to a second peer when the first has not answered by then, and to
# no more than these.
HEDGE_SECONDS = 0.15
# The store is asked each 0.2 s. It is silent when nothing was answered for this
# long and for two answers at its present pace.
STALL_SECONDS = 0.25
STALL_ANSWERS = 2.0
# Time between two looks at an append that is under way.
LOOK_SECONDS = 0.05
MAX_CONCURRENT_PEERS = 3
RELAY_TIMEOUT_SECONDS = 0.5
# A change that the store does not take is tried again for this long, well under
# the 3 s that callers wait and the second that urgent jobs can spare.
PATIENCE_SECONDS = 0.7
RETRY_SECONDS = 0.15
# A peer that did not answer, or reached the store no better, is left out so long.
AVOID_SECONDS = 2.0
# Least HTTP status that says that a request was not served.
BAD_REQUEST = 400


@dataclass
class Relay:
    """Finds a peer that can serve a request.

    Attributes
    ----------
    context : Context
        Shared parts of the daemon.
    client : PeerClient
        Calls to the peers.
    avoided : dict of str to float
        Time until which a peer is left out, by address.
    """

    context: Context
    client: PeerClient
    avoided: dict[str, float] = field(default_factory=dict)
    clock: Callable[[], float] = read_clock

    def list_peers(self) -> list[str]:
        """Return the addresses of peers to ask, the nearest first."""
        now = self.clock()
        domain = self.context.settings.failure_domain
        peers = [
            peer
            for peer in self.context.peers.values()
            if peer.vm != self.context.settings.vm
            and self.avoided.get(peer.address, 0.0) <= now
        ]
        peers.sort(key=lambda peer: (peer.failure_domain != domain, peer.vm))
        return [peer.address for peer in peers[:MAX_CONCURRENT_PEERS]]

    async def forward(self, request: CallerRequest) -> list[CallerAnswer]:
        """Let peers serve a request.

        Asking several peers is harmless: a job keeps its id, and the first record
        of an id counts.

        Parameters
        ----------
        request : CallerRequest
            The request.

        Returns
        -------
        list of CallerAnswer
            Answers of the peers that may have served it; empty when none did.
        """
        call = RelayCall(
            method=request.method,
            host=request.host,
            path=request.path,
            key=request.key,
            body=request.body,
        )
        pending: set[asyncio.Task[CallerAnswer | None]] = set()
        peers = self.list_peers()
        answers: list[CallerAnswer] = []
        while (peers or pending) and not is_settled(request, answers):
            if peers:
                address = peers.pop(0)
                pending.add(asyncio.ensure_future(self.ask(address, call)))
            wait = HEDGE_SECONDS if peers else None
            done, pending = await asyncio.wait(
                pending, timeout=wait, return_when=asyncio.FIRST_COMPLETED
            )
            answers += [answer for task in done if (answer := task.result())]
        served = any(answer.reached for answer in answers)
        self.context.journal.count("relay.served" if served else "relay.failed")
        return answers

    async def ask(self, address: str, call: RelayCall) -> CallerAnswer | None:
        """Ask one peer; None when it certainly did not serve the request."""
        result: Result[RelayReply, TransportFault] = await self.client.relay_request(
            address, call, RELAY_TIMEOUT_SECONDS
        )
        if result.is_error():
            self.avoided[address] = self.clock() + AVOID_SECONDS
            if result.error.kind is TransportFaultKind.NOT_SENT:
                return None
            # The peer may be about to append what it has read.
            return make_answer(NOT_KNOWN)
        reply = result.ok
        if not reply.reached:
            self.avoided[address] = self.clock() + AVOID_SECONDS
            return make_answer(NOT_KNOWN) if reply.code == NOT_KNOWN.code else None
        return CallerAnswer(reply.code, reply.body, reply.retry_after_seconds)


def is_settled(request: CallerRequest, answers: list[CallerAnswer]) -> bool:
    """Tell whether no later answer to the same request could matter.

    A change that one VM refused may still be carried out by another that was
    asked, so only a success settles it.
    """
    if request.method == "GET":
        return any(answer.reached for answer in answers)
    return any(answer.code < BAD_REQUEST for answer in answers)


def choose_answer(request: CallerRequest, answers: list[CallerAnswer]) -> CallerAnswer:
    """Choose the truest of several answers to one request.

    Parameters
    ----------
    request : CallerRequest
        The request.
    answers : list of CallerAnswer
        At least one answer, of this VM or of peers.

    Returns
    -------
    CallerAnswer
        A success if there is one. Otherwise an answer that the outcome of a change
        is not known outweighs every refusal, since a refusal says that it never
        runs.
    """
    if request.method != "GET":
        for answer in answers:
            if answer.code < BAD_REQUEST:
                return answer
        for answer in answers:
            if answer.code == NOT_KNOWN.code:
                return answer
    return max(answers, key=lambda answer: answer.reached)


@dataclass
class RequestReceiver:
    """Serves callers here, or through a peer that reaches the store.

    Attributes
    ----------
    context : Context
        Shared parts of the daemon.
    processor : RequestProcessor
        Serves from this daemon's own contact.
    relay : Relay
        Passes requests on.
    """

    context: Context
    processor: RequestProcessor
    relay: Relay

    async def serve(self, request: CallerRequest) -> CallerAnswer:
        """Answer one request of a caller.

        A change is tried for a short time, here and through peers, as long as the
        store does not answer. After that the caller gets its answer at once.
        """
        began = read_clock()
        answers: list[CallerAnswer] = []
        while True:
            answers += await self.try_once(request)
            answer = choose_answer(request, answers)
            spent = read_clock() - began
            late = request.method == "GET" or spent + RETRY_SECONDS > PATIENCE_SECONDS
            if answer.reached or late:
                return answer
            await asyncio.sleep(RETRY_SECONDS)

    async def try_once(self, request: CallerRequest) -> list[CallerAnswer]:
        """Serve a request here, and through peers when the store is slow or away."""
        if not check_contact(self.context):
            relayed = await self.relay.forward(request)
            return relayed or [await self.processor.serve(request)]
        serving = asyncio.ensure_future(self.processor.serve(request))
        await asyncio.wait({serving}, timeout=HEDGE_SECONDS)
        # More appends, here or by peers, would make a slow store slower.
        pace = self.context.store.contact.answer_seconds
        limit = STALL_SECONDS + STALL_ANSWERS * pace
        while not serving.done() and check_contact(self.context, limit):
            await asyncio.wait({serving}, timeout=LOOK_SECONDS)
        if serving.done() and serving.result().reached:
            return [serving.result()]
        relayed = await self.relay.forward(request)
        if is_settled(request, relayed):
            return relayed
        if serving.done():
            return [serving.result(), *relayed]
        unknown = NOT_REACHED if request.method == "GET" else NOT_KNOWN
        return [make_answer(unknown), *relayed]

    async def answer_peer(self, call: RelayCall) -> RelayReply:
        """Serve a request that a peer passes on."""
        request = CallerRequest(
            call.method, call.host, call.path, call.key, call.body or b""
        )
        if not check_contact(self.context):
            return RelayReply(code=0, body=b"", retry_after_seconds=0, reached=False)
        answer = await self.processor.serve(request)
        return RelayReply(
            code=answer.code,
            body=answer.body,
            retry_after_seconds=answer.retry_after_seconds,
            reached=answer.reached,
        )
