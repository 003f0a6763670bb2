"""Passes requests on to peers while this daemon does not reach the store."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from expression import Result

from cardamomdyke.adapters.http import TransportFault
from cardamomdyke.control.clock import read_clock
from cardamomdyke.control.context import Context
from cardamomdyke.control.desk import (
    CallerAnswer,
    CallerRequest,
    Desk,
    check_contact,
)
from cardamomdyke.protocol.client import PeerClient
from cardamomdyke.protocol.gen.ttypes import RelayCall, RelayReply

# A request goes to a second peer when the first has not answered by then, and to
# no more than these.
HEDGE_SECONDS = 0.15
PEERS_AT_ONCE = 3
RELAY_TIMEOUT_SECONDS = 0.6
# A peer that did not answer, or reached the store no better, is left out so long.
AVOID_SECONDS = 2.0


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
        return [peer.address for peer in peers[:PEERS_AT_ONCE]]

    async def forward(self, request: CallerRequest) -> CallerAnswer | None:
        """Let a peer serve a request; None when no peer reaches the store.

        Asking several peers is harmless: a job keeps its id, and the first record
        of an id counts.
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
        answer: CallerAnswer | None = None
        while answer is None and (peers or pending):
            if peers:
                address = peers.pop(0)
                pending.add(asyncio.ensure_future(self.ask(address, call)))
            wait = HEDGE_SECONDS if peers else None
            done, pending = await asyncio.wait(
                pending, timeout=wait, return_when=asyncio.FIRST_COMPLETED
            )
            answer = next((t.result() for t in done if t.result()), None)
        self.context.journal.count("relay.failed" if answer is None else "relay.served")
        return answer

    async def ask(self, address: str, call: RelayCall) -> CallerAnswer | None:
        """Ask one peer; None when it cannot serve the request."""
        result: Result[RelayReply, TransportFault] = await self.client.relay_request(
            address, call, RELAY_TIMEOUT_SECONDS
        )
        if result.is_error() or not result.ok.reached:
            self.avoided[address] = self.clock() + AVOID_SECONDS
            return None
        reply = result.ok
        return CallerAnswer(reply.code, reply.body, reply.retry_after_seconds)


@dataclass
class Reception:
    """Serves callers here, or through a peer that reaches the store.

    Attributes
    ----------
    context : Context
        Shared parts of the daemon.
    desk : Desk
        Serves from this daemon's own contact.
    relay : Relay
        Passes requests on.
    """

    context: Context
    desk: Desk
    relay: Relay

    async def serve(self, request: CallerRequest) -> CallerAnswer:
        """Answer one request of a caller."""
        if not check_contact(self.context):
            relayed = await self.relay.forward(request)
            if relayed is not None:
                return relayed
            return await self.desk.serve(request)
        answer = await self.desk.serve(request)
        if answer.reached:
            return answer
        return await self.relay.forward(request) or answer

    async def answer_peer(self, call: RelayCall) -> RelayReply:
        """Serve a request that a peer passes on."""
        request = CallerRequest(
            call.method, call.host, call.path, call.key, call.body or b""
        )
        if not check_contact(self.context):
            return RelayReply(code=0, body=b"", retry_after_seconds=0, reached=False)
        answer = await self.desk.serve(request)
        return RelayReply(
            code=answer.code,
            body=answer.body,
            retry_after_seconds=answer.retry_after_seconds,
            reached=answer.reached,
        )
