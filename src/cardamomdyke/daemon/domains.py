"""Takes failure domains out of service and brings them back."""

import asyncio
import time
from dataclasses import dataclass, replace
from enum import StrEnum
from uuid import uuid4

from expression import Error, Ok, Result

from cardamomdyke.adapters.vmlist import MachineKind
from cardamomdyke.configuration.evidence import EVIDENCE_VALID_SECONDS
from cardamomdyke.configuration.orders import Order, list_orders
from cardamomdyke.configuration.snapshots import find_turn_delay
from cardamomdyke.daemon.edits import Editor
from cardamomdyke.daemon.node import Node
from cardamomdyke.daemon.store import ConfigurationStore
from cardamomdyke.membership.view import list_live
from cardamomdyke.model.errors import Problem, ProblemKind, make_problem
from cardamomdyke.model.tables import (
    FailureDomain,
    Tables,
    WhenIsolated,
    find_failure_domain,
)
from cardamomdyke.protocol.gen.ttypes import DirectOrder

# Backend servers refuse start tickets older than this.
TICKET_VALID_SECONDS = 2.0
MAX_EDIT_ATTEMPTS = 10
RECORDING_CHECK_PERIOD_SECONDS = 1.0
# Until then, the VM that received the operator's command records the order.
RECORDING_DELAY_SECONDS = 10.0


class Recording(StrEnum):
    """Whether the log holds an order."""

    RECORDED = "recorded"
    NOT_RECORDED = "not_recorded"
    NOT_CONFIRMED = "not_confirmed"


@dataclass(frozen=True, slots=True)
class VmReport:
    """Effect of an order on one VM, as far as known.

    Attributes
    ----------
    vm : str
        Its name.
    failure_domain : str
        Its failure domain.
    confirmed : bool
        True if it acknowledged the direct order.
    no_start_after : float or None
        Unix time, in seconds, after which the VM starts no tasks in the failure
        domain; None when unknown.
    """

    vm: str
    failure_domain: str
    confirmed: bool
    no_start_after: float | None


@dataclass(frozen=True, slots=True)
class OutReport:
    """Answer to ``domain out``.

    Attributes
    ----------
    failure_domain : str
        Failure domain that was taken out.
    order_id : str
        Id of the direct order.
    recording : Recording
        Whether the log holds the order.
    version : int or None
        Version with the order; None unless recorded.
    message : str
        Why it is not recorded, with the remedy; else empty.
    no_start_after : float or None
        Unix time, in seconds, after which no known VM of the failure domain starts
        tasks there; None when unknown.
    vms : tuple of VmReport
        All known VMs.
    """

    failure_domain: str
    order_id: str
    recording: Recording
    version: int | None
    message: str
    no_start_after: float | None
    vms: tuple[VmReport, ...]


@dataclass(frozen=True, slots=True)
class Peer:
    """A VM that receives direct orders."""

    name: str
    failure_domain: str
    address: str


@dataclass
class DomainManager:
    """Takes failure domains out of service and brings them back.

    Attributes
    ----------
    node : Node
        The daemon's shared state.
    store : ConfigurationStore
        Applies direct orders locally.
    editor : Editor
        Appends edits.
    """

    node: Node
    store: ConfigurationStore
    editor: Editor

    def find_domain(self, name: str) -> Result[FailureDomain, Problem]:
        """Return a failure domain of the tables."""
        configuration = self.node.configuration
        if configuration is None:
            message = "this VM knows no configuration"
            return Error(make_problem(ProblemKind.NO_CONFIGURATION, message))
        domain = find_failure_domain(configuration.tables, name)
        if domain is None:
            message = f"no failure domain {name!r}"
            return Error(make_problem(ProblemKind.UNKNOWN_FAILURE_DOMAIN, message))
        return Ok(domain)

    async def take_out(self, name: str) -> Result[OutReport, Problem]:
        """Take a failure domain out by the log and direct orders in parallel.

        Parameters
        ----------
        name : str
            Failure domain.

        Returns
        -------
        Result of OutReport or Problem
            Effect on each VM.
        """
        found = self.find_domain(name)
        if found.is_error():
            return Error(found.error)
        order = Order(uuid4().hex, name, time.time())
        self.store.add_orders((order,))
        edited, reports = await asyncio.gather(
            self.submit_domain_edit(name, False, order.order_id),
            self.deliver_order(order),
        )
        return Ok(self.make_report(order, found.ok, edited, reports))

    async def bring_in(self, name: str) -> Result[int, Problem]:
        """Bring a failure domain back, which needs the log."""
        found = self.find_domain(name)
        if found.is_error():
            return Error(found.error)
        edited = await self.submit_domain_edit(name, True, uuid4().hex)
        return edited.map(lambda accepted: accepted.version)

    async def submit_domain_edit(
        self, name: str, in_service: bool, order_id: str
    ) -> Result["AcceptedEdit", Problem]:
        """Append the edit; redo it on the newer version after a lost race."""
        result: Result[int, Problem] = Error(
            make_problem(ProblemKind.EDIT_LOST_RACE, f"no edit of {name} was tried")
        )
        for _ in range(MAX_EDIT_ATTEMPTS):
            found = self.find_domain(name)
            configuration = self.node.configuration
            if found.is_error() or configuration is None:
                return Error(found.error)
            tables = set_in_service(configuration.tables, name, in_service, order_id)
            pending_orders = list_orders(self.node.orders, name)
            order_ids = tuple(order.order_id for order in pending_orders)
            result = await self.editor.submit_edit(
                tables, configuration.version, order_ids
            )
            if result.is_ok():
                return Ok(AcceptedEdit(result.ok, time.time()))
            if result.error.kind is not ProblemKind.EDIT_LOST_RACE:
                break
            self.node.counters.count("configuration.race_retried")
        return Error(result.error)

    def list_peers(self) -> list[Peer]:
        """Return the other VMs in the platform's list or gossip."""
        peers = {
            m.name: Peer(m.name, m.failure_domain, m.peer_address)
            for m in self.node.machines.values()
            if m.kind is MachineKind.ENTRY
        }
        for member in list_live(self.node.view, self.node.clock()):
            peers[member.name] = Peer(
                member.name, member.failure_domain, member.peer_address
            )
        peers.pop(self.node.settings.vm, None)
        return sorted(peers.values(), key=lambda peer: peer.name)

    async def deliver_order(self, order: Order) -> list[VmReport]:
        """Send a direct order to the other VMs; this one already has it."""
        own = self.node.settings
        no_start_after = order.issued_at + TICKET_VALID_SECONDS
        reports = [VmReport(own.vm, own.failure_domain, True, no_start_after)]
        calls = (self.deliver_order_to(order, peer) for peer in self.list_peers())
        return [*reports, *await asyncio.gather(*calls)]

    async def deliver_order_to(self, order: Order, peer: Peer) -> VmReport:
        """Send a direct order to one VM."""
        message = DirectOrder(order.order_id, order.failure_domain, order.issued_at)
        result = await self.node.peers.deliver_order(peer.address, message)
        if result.is_error():
            self.node.counters.count("order.not_confirmed")
            return VmReport(peer.name, peer.failure_domain, False, None)
        no_start_after = time.time() + TICKET_VALID_SECONDS
        return VmReport(peer.name, peer.failure_domain, True, no_start_after)

    def make_report(
        self,
        order: Order,
        domain: FailureDomain,
        edited: Result["AcceptedEdit", Problem],
        reports: list[VmReport],
    ) -> OutReport:
        """Combine the edit's result with the VM reports."""
        hold_deadline = find_hold_deadline(domain, edited)
        vms = tuple(limit_no_start_after(report, hold_deadline) for report in reports)
        problem = None if edited.is_ok() else edited.error
        times = [
            vm.no_start_after for vm in vms if vm.failure_domain == domain.name
        ] or [hold_deadline]
        known = [moment for moment in times if moment is not None]
        return OutReport(
            failure_domain=domain.name,
            order_id=order.order_id,
            recording=classify_recording(problem),
            version=edited.ok.version if edited.is_ok() else None,
            message=describe_problem(problem),
            no_start_after=max(known) if len(known) == len(times) else None,
            vms=vms,
        )

    async def record_orders_forever(self) -> None:
        """Record direct orders that the log lacks, until cancelled.

        VMs have no storage, so unrecorded orders are lost when they stop.
        """
        while True:
            await asyncio.sleep(RECORDING_CHECK_PERIOD_SECONDS)
            for order in self.node.orders:
                if self.check_recording_due(order):
                    await self.submit_domain_edit(
                        order.failure_domain, False, order.order_id
                    )
                    break

    def check_recording_due(self, order: Order) -> bool:
        """Compare the order's age with this VM's turn among the live VMs."""
        node = self.node
        if node.log_down or node.draining or node.fold.behind:
            return False
        live = [m.name for m in list_live(node.view, node.clock()) if not m.draining]
        turn = find_turn_delay(f"order:{order.order_id}", node.settings.vm, live)
        age = time.time() - order.issued_at
        return age >= RECORDING_DELAY_SECONDS + turn


@dataclass(frozen=True, slots=True)
class AcceptedEdit:
    """An accepted edit of a failure domain's state.

    Attributes
    ----------
    version : int
        Version with the edit.
    accepted_at : float
        Unix time, in seconds; not before the acceptance.
    """

    version: int
    accepted_at: float


def set_in_service(
    tables: Tables, name: str, in_service: bool, order_id: str
) -> Tables:
    """Return the tables with one failure domain in or out of service."""
    domains = tuple(
        replace(domain, in_service=in_service, order_id=order_id)
        if domain.name == name
        else domain
        for domain in tables.failure_domains
    )
    return replace(tables, failure_domains=domains)


def find_hold_deadline(
    domain: FailureDomain, edited: Result[AcceptedEdit, Problem]
) -> float | None:
    """Return when a VM without the order stops starting tasks; None for never."""
    if edited.is_error() or domain.when_isolated is not WhenIsolated.HOLD:
        return None
    valid = EVIDENCE_VALID_SECONDS + TICKET_VALID_SECONDS
    return edited.ok.accepted_at + valid


def limit_no_start_after(report: VmReport, hold_deadline: float | None) -> VmReport:
    """Limit the report's ``no_start_after`` to the deadline."""
    times = [m for m in (report.no_start_after, hold_deadline) if m is not None]
    return replace(report, no_start_after=min(times, default=None))


def classify_recording(problem: Problem | None) -> Recording:
    """Derive whether the log holds the order from its edit's problem."""
    if problem is None:
        return Recording.RECORDED
    if problem.kind is ProblemKind.EDIT_NOT_CONFIRMED:
        return Recording.NOT_CONFIRMED
    return Recording.NOT_RECORDED


def describe_problem(problem: Problem | None) -> str:
    """Describe why the order is not recorded, with the remedy."""
    if problem is None:
        return ""
    return (
        f"the order is in force by direct order only: {problem.message}; "
        f"{problem.remedy}; the VMs record it when the log answers"
    )
