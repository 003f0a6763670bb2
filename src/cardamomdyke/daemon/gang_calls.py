"""Sends the calls that gangs' state machines request."""

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
from cardamomdyke.dispatch.claims import parse_boot_id
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

ANSWER_KIND_BY_FAULT = {
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
        self, gang: Gang, specification: JobSpecification, request: RequestClaim
    ) -> ClaimAnswered:
        """Take or confirm the job's claim at all of its claim homes.

        Parameters
        ----------
        gang : Gang
            The job's gang.
        specification : JobSpecification
            The job, whose digest is in the claim.
        request : RequestClaim
            The claim to take or confirm.

        Returns
        -------
        ClaimAnswered
            ``HELD`` only when all homes hold this claim; otherwise the claim of the
            highest epoch, or ``UNREACHABLE``.
        """
        sent_at = self.node.clock()
        digest = xxh3_128_hexdigest(encode(specification))
        server = encode_stage(request.stage, request.servers)
        wanted = Claim(gang.job_id, digest, server, gang.holder, request.epoch)
        configuration = self.node.configuration
        assert configuration is not None
        homes = list_claim_homes(configuration, gang.job_id, time.time())
        claims: list[Claim] = []
        for home in homes:
            claim = await self.call_claim_home(home, wanted, request.take)
            if claim is None:
                return ClaimAnswered(ClaimAnswerKind.UNREACHABLE)
            claims.append(claim)
            detail = f"{home.name} epoch {claim.epoch} {claim.holder}"
            self.node.timeline.record("job.claimed", gang.job_id, detail)
        if claims and all(
            check_claim_held(claim, wanted, request.take) for claim in claims
        ):
            return ClaimAnswered(ClaimAnswerKind.HELD, request.epoch, sent_at=sent_at)
        if not claims:
            return ClaimAnswered(ClaimAnswerKind.UNREACHABLE)
        newest = max(claims, key=lambda claim: claim.epoch)
        stage, servers = decode_stage(newest.server)
        return ClaimAnswered(
            ClaimAnswerKind.OTHER, newest.epoch, newest.holder, stage, servers, sent_at
        )

    async def call_claim_home(
        self, home: BackendServer, wanted: Claim, take: bool
    ) -> Claim | None:
        """Return the claim that a home holds after the call; None without answer."""
        if take:
            taken = self.remember_claim_ticket(
                home.name, await self.node.backend.take_claim(home.address, wanted)
            )
            if taken.is_ok():
                return taken.ok.claim
            if taken.error.kind is not BackendFaultKind.FENCED:
                return None
        claimed = self.remember_claim_ticket(
            home.name, await self.node.backend.claim_key(home.address, wanted)
        )
        return claimed.ok.claim if claimed.is_ok() else None

    def remember_claim_ticket(
        self, server: str, result: Result[ClaimReply, BackendFault]
    ) -> Result[ClaimReply, BackendFault]:
        """Remember a claim home's start ticket; return its reply."""
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
        """Send calls of one kind for the members on one backend server."""
        kind = calls[0].kind
        if kind in (CallKind.RESERVE, CallKind.START):
            answers = [
                self.reserve_or_start(gang, specification, server, call)
                for call in calls
            ]
            answered = list(await asyncio.gather(*answers))
            for call, answer in zip(calls, answered, strict=True):
                detail = f"member {call.member} {server.name} {answer.kind.value}"
                self.node.timeline.record(f"job.{kind.value}", gang.job_id, detail)
            return answered
        sent_at = self.node.clock()
        if sent_at > calls[0].not_after:
            return [MemberAnswered(c, AnswerKind.STALE, sent_at) for c in calls]
        leases = tuple(self.make_lease(gang, server, call, sent_at) for call in calls)
        backend = self.node.backend
        send = {
            CallKind.RENEW: backend.renew_leases,
            CallKind.CHECKPOINT: backend.checkpoint_tasks,
            CallKind.RELEASE: backend.release_tasks,
        }[kind]
        result = self.remember_task_ticket(server, await send(server.address, leases))
        return [make_member_answer(gang, call, result, sent_at) for call in calls]

    async def renew_gangs(
        self,
        server: BackendServer,
        gangs: Sequence[tuple[Gang, Sequence[CallMember]]],
    ) -> list[list[MemberAnswered]] | None:
        """Renew leases of several gangs in one call.

        Parameters
        ----------
        server : BackendServer
            Holds all the members.
        gangs : sequence of (Gang, sequence of CallMember)
            Each gang with its calls.

        Returns
        -------
        list of list of MemberAnswered or None
            Answers in the order of ``gangs``; None when the call was fenced, since
            the reply does not say which gang has a higher epoch.
        """
        sent_at = self.node.clock()
        calls = [(gang, call) for gang, group in gangs for call in group]
        if sent_at > min(call.not_after for _, call in calls):
            return [
                [MemberAnswered(call, AnswerKind.STALE, sent_at) for call in group]
                for _, group in gangs
            ]
        leases = tuple(
            self.make_lease(gang, server, call, sent_at) for gang, call in calls
        )
        result = self.remember_task_ticket(
            server, await self.node.backend.renew_leases(server.address, leases)
        )
        if result.is_error() and result.error.kind is BackendFaultKind.FENCED:
            return None
        return [
            [make_member_answer(gang, call, result, sent_at) for call in group]
            for gang, group in gangs
        ]

    async def reserve_or_start(
        self,
        gang: Gang,
        specification: JobSpecification,
        server: BackendServer,
        call: CallMember,
    ) -> MemberAnswered:
        """Reserve or start one member."""
        # No await between this check and reading the ticket: a process that
        # freezes later sends an old ticket.
        sent_at = self.node.clock()
        if sent_at > call.not_after:
            return MemberAnswered(call, AnswerKind.STALE, sent_at)
        if call.kind is CallKind.START:
            lease = self.make_lease(gang, server, call, sent_at)
            started = await self.node.backend.start_member(server.address, lease)
            return make_member_answer(
                gang, call, self.remember_task_ticket(server, started), sent_at
            )
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
        reserved = await self.node.backend.reserve_member(server.address, reservation)
        return make_member_answer(
            gang, call, self.remember_task_ticket(server, reserved), sent_at
        )

    def make_lease(
        self, gang: Gang, server: BackendServer, call: CallMember, sent_at: float
    ) -> LeaseCall:
        """Make a lease call with this planner's fencing token.

        The ticket's age counts to the time from which the planner counts the lease:
        a process that freezes later must not send a longer one.
        """
        lease_from = min(sent_at, call.lease_from)
        return LeaseCall(
            job_id=gang.job_id,
            member=call.member,
            epoch=call.epoch,
            holder=gang.holder,
            lease_seconds=LEASE_SECONDS.get(call.kind, 0.0),
            ticket=self.node.find_ticket(server.name),
            ticket_age_seconds=self.node.find_ticket_age(server.name, lease_from),
        )

    def remember_task_ticket(
        self, server: BackendServer, result: Result[TaskReply, BackendFault]
    ) -> Result[TaskReply, BackendFault]:
        """Remember a backend server's start ticket; return its reply."""
        ticket = result.ok.ticket if result.is_ok() else result.error.ticket
        self.node.update_ticket(server.name, ticket)
        return result


def encode_stage(stage: Stage, servers: tuple[str, ...]) -> str:
    """Encode a gang's stage and servers for its claim's ``server`` field."""
    return f"{stage.value}:{','.join(servers)}"


def decode_stage(text: str) -> tuple[Stage, tuple[str, ...]]:
    """Decode a gang's stage and servers from its claim."""
    stage, _, servers = text.partition(":")
    return Stage(stage or "queued"), tuple(s for s in servers.split(",") if s)


def check_claim_held(claim: Claim, wanted: Claim, take: bool) -> bool:
    """Compare holder and epoch, and after a take also stage and servers."""
    same = (claim.holder, claim.epoch) == (wanted.holder, wanted.epoch)
    return same and (not take or claim.server == wanted.server)


def make_member_answer(
    gang: Gang,
    call: CallMember,
    result: Result[TaskReply, BackendFault],
    sent_at: float,
) -> MemberAnswered:
    """Derive one member's answer from a backend server's reply."""
    if result.is_error():
        kind = ANSWER_KIND_BY_FAULT.get(result.error.kind, AnswerKind.REFUSED)
        boot_id = parse_boot_id(result.error.ticket)
        return MemberAnswered(call, kind, sent_at, boot_id=boot_id)
    report = find_report(result.ok, gang, call)
    boot_id = parse_boot_id(result.ok.ticket)
    if report is None or call.kind is CallKind.RELEASE:
        return MemberAnswered(call, AnswerKind.GONE, sent_at, boot_id=boot_id)
    return MemberAnswered(
        call,
        AnswerKind(report.state.value),
        sent_at,
        report.checkpoint_age_seconds,
        report.answer,
        boot_id,
    )


def find_report(reply: TaskReply, gang: Gang, call: CallMember) -> TaskReport | None:
    """Return the report on a call's member, if the server has it."""
    wanted = (gang.job_id, call.member)
    return next((t for t in reply.tasks if (t.job_id, t.member) == wanted), None)
