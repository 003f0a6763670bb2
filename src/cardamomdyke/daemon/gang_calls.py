"""Carries out the calls that gangs' state machines ask for."""

import asyncio
import time
from collections.abc import Sequence
from dataclasses import dataclass

from expression import Result
from msgspec.json import encode
from xxhash import xxh3_128_hexdigest

from cardamomdyke.adapters.backend import (
    BackendFault,
    BackendFaultKind,
    Claim,
    ClaimReply,
    LeaseCall,
    Reservation,
    TaskReply,
    TaskReport,
)
from cardamomdyke.daemon.node import Node
from cardamomdyke.gangs.calls import LEASE_SECONDS
from cardamomdyke.gangs.homes import list_claim_homes
from cardamomdyke.gangs.state import (
    AnswerKind,
    CallKind,
    CallMember,
    ClaimAnswered,
    ClaimAnswerKind,
    Gang,
    MemberAnswered,
    RequestClaim,
    Stage,
)
from cardamomdyke.model.jobs import JobSpecification
from cardamomdyke.model.tables import BackendServer

FAULT_ANSWERS = {
    BackendFaultKind.NOT_SENT: AnswerKind.NOT_SENT,
    BackendFaultKind.UNCERTAIN: AnswerKind.LOST,
    BackendFaultKind.STALE_TICKET: AnswerKind.STALE,
    BackendFaultKind.FENCED: AnswerKind.FENCED,
    BackendFaultKind.UNKNOWN: AnswerKind.GONE,
}


@dataclass(frozen=True)
class GangCaller:
    """Sends gangs' calls to claim homes and backend servers.

    Attributes
    ----------
    node : Node
        The daemon's shared state.
    """

    node: Node

    async def request_claim(
        self, gang: Gang, specification: JobSpecification, ask: RequestClaim
    ) -> ClaimAnswered:
        """Validate or take the job's claim at all of its claim homes.

        Parameters
        ----------
        gang : Gang
            The gang that asks.
        specification : JobSpecification
            Its job; the claim carries the digest.
        ask : RequestClaim
            The claim wanted.

        Returns
        -------
        ClaimAnswered
            ``HELD`` only when every home holds the claim wanted; otherwise the
            claim in force with the highest epoch.
        """
        sent_at = self.node.clock()
        digest = xxh3_128_hexdigest(encode(specification))
        server = encode_stage(ask.stage, ask.servers)
        wanted = Claim(gang.job_id, digest, server, gang.holder, ask.epoch)
        configuration = self.node.configuration
        assert configuration is not None
        homes = list_claim_homes(configuration, gang.job_id, time.time())
        found: list[Claim] = []
        for home in homes:
            claim = await self.call_claim_home(home, wanted, ask.take)
            if claim is None:
                return ClaimAnswered(ClaimAnswerKind.UNREACHABLE)
            found.append(claim)
            detail = f"{home.name} epoch {claim.epoch} {claim.holder}"
            self.node.timeline.record("job.claimed", gang.job_id, detail)
        if found and all(check_held(claim, wanted, ask.take) for claim in found):
            return ClaimAnswered(ClaimAnswerKind.HELD, ask.epoch, sent_at=sent_at)
        if not found:
            return ClaimAnswered(ClaimAnswerKind.UNREACHABLE)
        newest = max(found, key=lambda claim: claim.epoch)
        stage, servers = decode_stage(newest.server)
        return ClaimAnswered(
            ClaimAnswerKind.OTHER, newest.epoch, newest.holder, stage, servers, sent_at
        )

    async def call_claim_home(
        self, home: BackendServer, wanted: Claim, take: bool
    ) -> Claim | None:
        """Return the claim in force at one home after the call; None without answer."""
        if take:
            taken = self.take_ticket(
                home.name, await self.node.backend.take_claim(home.address, wanted)
            )
            if taken.is_ok():
                return taken.ok.claim
            if taken.error.kind is not BackendFaultKind.FENCED:
                return None
        shown = self.take_ticket(
            home.name, await self.node.backend.claim_key(home.address, wanted)
        )
        return shown.ok.claim if shown.is_ok() else None

    def take_ticket(
        self, server: str, result: Result[ClaimReply, BackendFault]
    ) -> Result[ClaimReply, BackendFault]:
        """Keep the ticket of a claim home's reply."""
        ticket = result.ok.ticket if result.is_ok() else result.error.ticket
        self.node.update_ticket(server, ticket)
        return result

    async def call_server(
        self,
        gang: Gang,
        specification: JobSpecification,
        server: BackendServer,
        calls: Sequence[CallMember],
    ) -> list[MemberAnswered]:
        """Send calls of one kind to the members on one backend server."""
        kind = calls[0].kind
        if kind in (CallKind.RESERVE, CallKind.START):
            answers = [
                self.place_member(gang, specification, server, call) for call in calls
            ]
            answered = list(await asyncio.gather(*answers))
            for call, answer in zip(calls, answered, strict=True):
                detail = f"member {call.member} {server.name} {answer.kind.value}"
                self.node.timeline.record(f"job.{kind.value}", gang.job_id, detail)
            return answered
        sent_at = self.node.clock()
        if sent_at > calls[0].not_after:
            return [MemberAnswered(c, AnswerKind.STALE, sent_at) for c in calls]
        leases = tuple(self.make_lease(gang, server, call) for call in calls)
        backend = self.node.backend
        send = {
            CallKind.RENEW: backend.renew_leases,
            CallKind.CHECKPOINT: backend.checkpoint_tasks,
            CallKind.RELEASE: backend.release_tasks,
        }[kind]
        result = self.keep_ticket(server, await send(server.address, leases))
        return [read_answer(gang, call, result, sent_at) for call in calls]

    async def renew_gangs(
        self,
        server: BackendServer,
        gangs: Sequence[tuple[Gang, Sequence[CallMember]]],
    ) -> list[list[MemberAnswered]] | None:
        """Renew members of several gangs in one call.

        Parameters
        ----------
        server : BackendServer
            Holds all the members.
        gangs : sequence of (Gang, sequence of CallMember)
            Each gang with its calls.

        Returns
        -------
        list of list of MemberAnswered or None
            Answers in the order of ``gangs``; None when a higher epoch refused
            the whole call, which does not say of which gang.
        """
        sent_at = self.node.clock()
        calls = [(gang, call) for gang, group in gangs for call in group]
        if sent_at > min(call.not_after for _, call in calls):
            return [
                [MemberAnswered(call, AnswerKind.STALE, sent_at) for call in group]
                for _, group in gangs
            ]
        leases = tuple(self.make_lease(gang, server, call) for gang, call in calls)
        result = self.keep_ticket(
            server, await self.node.backend.renew_leases(server.address, leases)
        )
        if result.is_error() and result.error.kind is BackendFaultKind.FENCED:
            return None
        return [
            [read_answer(gang, call, result, sent_at) for call in group]
            for gang, group in gangs
        ]

    async def place_member(
        self,
        gang: Gang,
        specification: JobSpecification,
        server: BackendServer,
        call: CallMember,
    ) -> MemberAnswered:
        """Reserve or start one member."""
        # No await between this check and the moment at which the ticket is
        # read: a process that freezes later sends an old ticket.
        sent_at = self.node.clock()
        if sent_at > call.not_after:
            return MemberAnswered(call, AnswerKind.STALE, sent_at)
        if call.kind is CallKind.START:
            lease = self.make_lease(gang, server, call)
            started = await self.node.backend.start_member(server.address, lease)
            return read_answer(gang, call, self.keep_ticket(server, started), sent_at)
        reservation = Reservation(
            job_id=gang.job_id,
            member=call.member,
            gang_size=gang.size,
            epoch=call.epoch,
            holder=gang.holder,
            client_account=specification.client_account,
            accelerators=gang.placements[call.member].accelerators,
            lease_seconds=LEASE_SECONDS[CallKind.RESERVE],
            ticket=self.node.find_ticket(server.name),
            borrowed=gang.borrowed,
            specification=encode(specification).decode(),
        )
        held = await self.node.backend.reserve_member(server.address, reservation)
        return read_answer(gang, call, self.keep_ticket(server, held), sent_at)

    def make_lease(
        self, gang: Gang, server: BackendServer, call: CallMember
    ) -> LeaseCall:
        """Return a lease call with this planner's fencing token."""
        return LeaseCall(
            job_id=gang.job_id,
            member=call.member,
            epoch=call.epoch,
            holder=gang.holder,
            lease_seconds=LEASE_SECONDS.get(call.kind, 0.0),
            ticket=self.node.find_ticket(server.name),
        )

    def keep_ticket(
        self, server: BackendServer, result: Result[TaskReply, BackendFault]
    ) -> Result[TaskReply, BackendFault]:
        """Keep the ticket of a backend server's reply."""
        ticket = result.ok.ticket if result.is_ok() else result.error.ticket
        self.node.update_ticket(server.name, ticket)
        return result


def encode_stage(stage: Stage, servers: tuple[str, ...]) -> str:
    """Return what a job's claim says of its gang, as the claim's server."""
    return f"{stage.value}:{','.join(servers)}"


def decode_stage(text: str) -> tuple[Stage, tuple[str, ...]]:
    """Read what a job's claim says of its gang."""
    stage, _, servers = text.partition(":")
    return Stage(stage or "queued"), tuple(s for s in servers.split(",") if s)


def check_held(claim: Claim, wanted: Claim, take: bool) -> bool:
    """Tell whether the claim in force is the one wanted."""
    same = (claim.holder, claim.epoch) == (wanted.holder, wanted.epoch)
    return same and (not take or claim.server == wanted.server)


def read_answer(
    gang: Gang,
    call: CallMember,
    result: Result[TaskReply, BackendFault],
    sent_at: float,
) -> MemberAnswered:
    """Return what a backend server's reply proves of one member."""
    if result.is_error():
        kind = FAULT_ANSWERS.get(result.error.kind, AnswerKind.REFUSED)
        return MemberAnswered(call, kind, sent_at)
    report = find_report(result.ok, gang, call)
    if report is None or call.kind is CallKind.RELEASE:
        return MemberAnswered(call, AnswerKind.GONE, sent_at)
    return MemberAnswered(
        call,
        AnswerKind(report.state.value),
        sent_at,
        report.checkpoint_age_seconds,
        report.answer,
    )


def find_report(reply: TaskReply, gang: Gang, call: CallMember) -> TaskReport | None:
    """Return the report of a call's member; None when the server forgot it."""
    wanted = (gang.job_id, call.member)
    return next((t for t in reply.tasks if (t.job_id, t.member) == wanted), None)
