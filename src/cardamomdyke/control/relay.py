"""Serves caller requests, through peers while this daemon lacks the store."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from expression import Result

from cardamomdyke.adapters.http import TransportFault, TransportFaultKind
from cardamomdyke.control.answers import (
    NOT_KNOWN,
    NOT_REACHED,
    CallerAnswer,
    Refusal,
    make_answer,
)
from cardamomdyke.control.clock import read_clock
from cardamomdyke.control.context import Context, check_contact
from cardamomdyke.control.processor import CallerRequest, RequestProcessor
from cardamomdyke.jobs.admission import JOB_ID_LENGTH
from cardamomdyke.protocol.budget import InputBudget
from cardamomdyke.protocol.client import PeerClient
from cardamomdyke.protocol.gen.ttypes import RelayCall, RelayReply

# A request also goes to the next peer after this time without an answer.
HEDGE_WAIT_SECONDS = 0.15
# The store is called every 0.2 s. It counts as stalled without an answer for this
# long plus two answers at its current speed.
STALL_TIMEOUT_SECONDS = 0.25
STALL_ANSWERS = 2.0
# Bytes that a relayed request holds beside its body, and copies of the body: in the
# message, and in the HTTP client for each peer.
RELAY_BYTES = 4096
RELAY_COPIES = 1 + 2 * 3
# Time between checks of an append in flight.
CHECK_PERIOD_SECONDS = 0.05
# Most peers for one request.
MAX_CONCURRENT_PEERS = 3
RELAY_TIMEOUT_SECONDS = 0.5
# Longest addition to both for a slow store, so that callers get an answer in 3 s.
MAX_PATIENCE_SECONDS = 1.0
# A change that the store does not accept is retried for this long, well under the
# 3 s that callers wait and the second that urgent jobs can spare.
RETRY_TIMEOUT_SECONDS = 0.7
RETRY_WAIT_SECONDS = 0.15
# A peer that did not answer or reach the store is skipped this long.
SKIP_SECONDS = 2.0
# After a request that neither this VM nor a peer could bring to the store, others are
# refused at once for this long. Then one of them tries again.
KNOWN_OUTAGE_SECONDS = 0.5
# After a pause, all requests that arrived during it are read within this time.
RESUME_SECONDS = 1.0
# Lowest HTTP status of a request that was not served.
MIN_REFUSAL_CODE = 400


@dataclass
class Relay:
    """Relays requests to peers.

    Attributes
    ----------
    context : Context
        Shared objects of the daemon.
    client : PeerClient
        Client of the peers.
    skipped_until : dict of str to float
        Until when a peer is skipped, in seconds of `clock`, by address.
    clock : callable
        Steady clock, in seconds.
    budget : InputBudget or None
        Limits the memory of relayed requests; None for no limit.
    """

    context: Context
    client: PeerClient
    skipped_until: dict[str, float] = field(default_factory=dict)
    clock: Callable[[], float] = read_clock
    budget: InputBudget | None = None

    def list_peers(self) -> list[str]:
        """Return addresses of peers to call, this failure domain's first."""
        now = self.clock()
        domain = self.context.settings.failure_domain
        peers = [
            peer
            for peer in self.context.peers.values()
            if peer.vm != self.context.settings.vm
            and self.skipped_until.get(peer.address, 0.0) <= now
        ]
        peers.sort(key=lambda peer: (peer.failure_domain != domain, peer.vm))
        return [peer.address for peer in peers[:MAX_CONCURRENT_PEERS]]

    async def forward(self, request: CallerRequest) -> list[CallerAnswer]:
        """Relay a request to peers.

        Calling several peers is safe: a job keeps its id, and the first record of an
        id counts.

        Parameters
        ----------
        request : CallerRequest
            The request.

        Returns
        -------
        list of CallerAnswer
            Answers of the peers that may have served it; empty for none, also when
            there is no room to relay it.
        """
        if self.budget is None:
            return await self.call_peers(request)
        amount = RELAY_BYTES + RELAY_COPIES * len(request.body)
        if not self.budget.reserve_relay(amount):
            self.context.journal.count("relay.no_room")
            return []
        try:
            return await self.call_peers(request)
        finally:
            self.budget.release_relay(amount)

    async def call_peers(self, request: CallerRequest) -> list[CallerAnswer]:
        """Call one peer after the other until an answer settles the request."""
        call = RelayCall(
            method=request.method,
            host=request.host,
            path=request.path,
            key=request.key,
            body=request.body,
            withdrawal=request.withdrawal,
            version=self.context.operator.served_version,
        )
        pending: set[asyncio.Task[CallerAnswer | None]] = set()
        peers = self.list_peers()
        answers: list[CallerAnswer] = []
        while (peers or pending) and not is_settled(request, answers):
            if peers:
                address = peers.pop(0)
                pending.add(asyncio.ensure_future(self.call_peer(address, call)))
            wait = HEDGE_WAIT_SECONDS + self.find_patience() if peers else None
            done, pending = await asyncio.wait(
                pending, timeout=wait, return_when=asyncio.FIRST_COMPLETED
            )
            answers += [answer for task in done if (answer := task.result())]
        served = any(answer.reached for answer in answers)
        self.context.journal.count("relay.served" if served else "relay.failed")
        return answers

    def find_patience(self) -> float:
        """Return how much longer to wait for a peer while the store is slow.

        Each further peer that is called appends the same record, which makes a slow
        store slower.
        """
        answer_seconds = self.context.store.contact.answer_seconds
        return min(MAX_PATIENCE_SECONDS, STALL_ANSWERS * answer_seconds)

    async def call_peer(self, address: str, call: RelayCall) -> CallerAnswer | None:
        """Relay to one peer; None if it certainly did not serve the request."""
        timeout_seconds = RELAY_TIMEOUT_SECONDS + self.find_patience()
        result: Result[RelayReply, TransportFault] = await self.client.relay_request(
            address, call, timeout_seconds
        )
        if result.is_error():
            self.skipped_until[address] = self.clock() + SKIP_SECONDS
            if result.error.kind is TransportFaultKind.NOT_SENT:
                return None
            # The peer may have read the request and still append it.
            return make_answer(NOT_KNOWN)
        reply = result.ok
        if not reply.reached:
            self.skipped_until[address] = self.clock() + SKIP_SECONDS
            return make_answer(NOT_KNOWN) if reply.code == NOT_KNOWN.code else None
        self.context.operator.record_served(reply.version or 0)
        return CallerAnswer(reply.code, reply.body, reply.retry_after_seconds)


def is_settled(request: CallerRequest, answers: list[CallerAnswer]) -> bool:
    """Return whether no further answer to the request can matter.

    A change that one VM refused may still be made by another that was called,
    so only a success settles it.
    """
    if request.method == "GET":
        return any(answer.reached for answer in answers)
    return any(answer.code < MIN_REFUSAL_CODE for answer in answers)


def choose_answer(request: CallerRequest, answers: list[CallerAnswer]) -> CallerAnswer:
    """Choose the answer that is true of all VMs that were called.

    Parameters
    ----------
    request : CallerRequest
        The request.
    answers : list of CallerAnswer
        Answers of this VM and of peers; at least one.

    Returns
    -------
    CallerAnswer
        A success if there is one. Otherwise, for a change, "outcome not known" takes
        precedence over refusals, since a refusal says that it never runs.
    """
    if request.method != "GET":
        for answer in answers:
            if answer.code < MIN_REFUSAL_CODE:
                return answer
        for answer in answers:
            if answer.code == NOT_KNOWN.code:
                return answer
    return max(answers, key=lambda answer: answer.reached)


@dataclass
class RequestReceiver:
    """Serves caller requests here, or through a peer that reaches the store.

    Attributes
    ----------
    context : Context
        Shared objects of the daemon.
    processor : RequestProcessor
        Serves requests with the local ledger.
    relay : Relay
        Relays requests to peers.
    unreached_at : float
        When no VM that was asked reached the store, in seconds of `read_clock`.
    """

    context: Context
    processor: RequestProcessor
    relay: Relay
    unreached_at: float = float("-inf")

    async def serve(self, request: CallerRequest) -> CallerAnswer:
        """Answer one request of a caller.

        While the store does not answer, a change is retried locally and through
        peers for `RETRY_TIMEOUT_SECONDS`; then the caller gets the best answer so far.
        During a known outage it gets an answer at once.
        """
        began_at = read_clock()
        answers: list[CallerAnswer] = []
        while True:
            if self.is_outage_known():
                answers.append(await self.processor.serve(request))
                return choose_answer(request, answers)
            answers += await self.serve_once(request)
            answer = choose_answer(request, answers)
            if request.method == "POST" and answer.code == NOT_KNOWN.code:
                job_id = request.path[-JOB_ID_LENGTH:]
                self.context.admission.uncertain.add(job_id, read_clock())
            elapsed_seconds = read_clock() - began_at
            is_last_try = (
                request.method == "GET"
                or elapsed_seconds + RETRY_WAIT_SECONDS > RETRY_TIMEOUT_SECONDS
            )
            if answer.reached or is_last_try:
                return answer
            await asyncio.sleep(RETRY_WAIT_SECONDS)

    def refuse(self, subject: str, refusal: Refusal) -> CallerAnswer:
        """Log a refusal and return its answer."""
        return self.processor.refuse(subject, refusal)

    def find_withdrawal(self, path: str) -> int:
        """Return the withdrawal that a request which arrives now certainly follows.

        After a pause of this process, a request that is read may be as old as that.

        Parameters
        ----------
        path : str
            Path of the URL, which ends with the job's id.

        Returns
        -------
        int
            Epoch of the withdrawal; 0 for none.
        """
        if self.context.store.contact.was_paused(RESUME_SECONDS):
            return 0
        return self.context.ledger.withdrawals.get(path[-JOB_ID_LENGTH:], 0)

    def is_outage_known(self) -> bool:
        """Return whether this VM and its peers have just failed to reach the store."""
        recent = read_clock() - self.unreached_at <= KNOWN_OUTAGE_SECONDS
        return recent and not check_contact(self.context)

    async def serve_once(self, request: CallerRequest) -> list[CallerAnswer]:
        """Serve a request locally, and through peers if the store is slow or down.

        A daemon that was out of touch may still have an older configuration than the
        peers that served its callers.
        """
        if not check_contact(self.context) or self.context.operator.is_behind:
            relayed = await self.relay.forward(request)
            if not any(answer.reached for answer in relayed):
                self.unreached_at = read_clock()
            return relayed or [await self.processor.serve(request)]
        serving = asyncio.ensure_future(self.processor.serve(request))
        await asyncio.wait({serving}, timeout=HEDGE_WAIT_SECONDS)
        # More appends, from here or from peers, would make a slow store slower.
        answer_seconds = self.context.store.contact.answer_seconds
        stall_seconds = STALL_TIMEOUT_SECONDS + STALL_ANSWERS * answer_seconds
        while not serving.done() and check_contact(self.context, stall_seconds):
            await asyncio.wait({serving}, timeout=CHECK_PERIOD_SECONDS)
        if serving.done() and serving.result().reached:
            return [serving.result()]
        relayed = await self.relay.forward(request)
        if is_settled(request, relayed):
            return relayed
        if serving.done():
            return [serving.result(), *relayed]
        unknown = NOT_REACHED if request.method == "GET" else NOT_KNOWN
        return [make_answer(unknown), *relayed]

    async def serve_peer(self, call: RelayCall) -> RelayReply:
        """Serve a relayed request; it is not relayed again."""
        request = CallerRequest(
            call.method,
            call.host,
            call.path,
            call.key,
            call.body or b"",
            call.withdrawal or 0,
            relayed=True,
        )
        tables = self.context.operator.tables
        version = 0 if tables is None else tables.version
        if not check_contact(self.context) or version < (call.version or 0):
            return RelayReply(code=0, body=b"", retry_after_seconds=0, reached=False)
        answer = await self.processor.serve(request)
        return RelayReply(
            code=answer.code,
            body=answer.body,
            retry_after_seconds=answer.retry_after_seconds,
            reached=answer.reached,
            version=version,
        )
