"""Tests of the answers about a job whose planner has changed."""

import asyncio
import time
from dataclasses import dataclass, field
from typing import cast

import pytest
from expression import Error, Ok, Result
from msgspec.json import encode

from cardamomdyke.adapters.http import TransportFault, TransportFaultKind
from cardamomdyke.daemon.gossip import Gossiper
from cardamomdyke.daemon.jobs import JobManager
from cardamomdyke.daemon.store import ConfigurationStore
from cardamomdyke.membership.view import Member, View
from cardamomdyke.model.jobs import JobSpecification, JobState, JobStatus
from cardamomdyke.protocol.client import PeerClient
from cardamomdyke.protocol.gen.ttypes import JobCall, JobReply
from tests.daemon.stubs import POOL, make_planner

JOB_ID = "gent.1"
FINISHED = JobStatus(JOB_ID, JobState.FINISHED, pool=POOL.name, answers=("42",))
TAKEN_OVER = b'{"job_id":"gent.1","state":"queued","taken_over":true}'
UNREACHABLE = TransportFault(TransportFaultKind.UNCERTAIN, "cut")


@dataclass
class StubPeers:
    """The other VM of the failure domain, with one reply to each call."""

    reply: Result[JobReply, TransportFault]
    calls: list[JobCall] = field(default_factory=list)

    async def handle_job(
        self, address: str, call: JobCall
    ) -> Result[JobReply, TransportFault]:
        self.calls.append(call)
        return self.reply


async def show_job(peers: StubPeers, *, is_new: bool) -> JobStatus:
    """Return the answer of the planner vm1 about its job, beside the VM vm2."""
    planner, _ = make_planner()
    node = planner.node
    names = ("vm1", "vm2")
    members = {n: Member(n, "gent", n, n, 1, 1, heard_at=node.clock()) for n in names}
    node.view = View(members)
    node.peers = cast(PeerClient, peers)
    gossiper = Gossiper(node, ConfigurationStore(node))
    gossiper.find_planner = lambda domain: members["vm1"]  # type: ignore[method-assign]
    job = JobSpecification("koffie", "order-desk")
    planner.add_job(JOB_ID, POOL.name, job, time.time(), is_new=is_new)
    result = await JobManager(node, planner, gossiper).show_job(JOB_ID)
    return result.ok


def test_end_that_the_previous_planner_has_shown_stays() -> None:
    """Guards against "queued" after "finished", while the end is not in the log yet."""
    peers = StubPeers(Ok(JobReply(status=encode(FINISHED))))
    assert asyncio.run(show_job(peers, is_new=False)) == FINISHED


@pytest.mark.parametrize(
    "reply",
    [
        Ok(JobReply(status=b"")),
        Ok(JobReply(status=TAKEN_OVER)),
        Error(UNREACHABLE),
    ],
)
def test_job_that_was_taken_over_is_queued_if_no_vm_knows_more(
    reply: Result[JobReply, TransportFault],
) -> None:
    """Guards against a job without an answer while its planner is being replaced."""
    status = asyncio.run(show_job(StubPeers(reply), is_new=False))
    assert status.state is JobState.QUEUED and status.pool == POOL.name


def test_job_that_was_never_taken_over_needs_no_other_vm() -> None:
    """Guards against calls to all VMs of a failure domain for each queued job."""
    peers = StubPeers(Ok(JobReply(status=encode(FINISHED))))
    status = asyncio.run(show_job(peers, is_new=True))
    assert status.state is JobState.QUEUED
    assert not peers.calls
