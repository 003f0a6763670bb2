"""Exchanges membership and evidence with the other VMs."""

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass
from math import ceil
from random import sample

from cardamomdyke.adapters.vmlist import Machine, MachineKind, MachineState
from cardamomdyke.configuration.evidence import (
    NEVER,
    Contact,
    merge_contact,
    merge_evidence,
)
from cardamomdyke.configuration.orders import Order
from cardamomdyke.configuration.transfer import choose_state_to_send, encode_state
from cardamomdyke.daemon.node import Node
from cardamomdyke.daemon.store import ConfigurationStore
from cardamomdyke.membership.hashing import choose_node
from cardamomdyke.membership.view import (
    Heartbeat,
    Member,
    choose_heartbeats,
    drop_expired_members,
    list_live,
    make_member_key,
    merge_heartbeats,
    merge_members,
)
from cardamomdyke.protocol.codec import encode_message
from cardamomdyke.protocol.gen.ttypes import (
    ConfigurationCall,
    ConfigurationReply,
    DirectOrder,
    Empty,
    Gossip,
    LogContact,
    MemberState,
)
from cardamomdyke.protocol.heartbeats import pack_heartbeats, unpack_heartbeats

GOSSIP_SECONDS = 1.0
ANNOUNCEMENT_TRIES = 3
VM_LIST_SECONDS = 5.0
# With few VMs and one exchange a second, mutual contact with all failure domains
# within 3 s is rare: 28% of the time with 7 VMs in 7 failure domains, all of the
# time with 3 exchanges. With many VMs, more than one goes over 5 KB/s.
OUTAGE_PEERS = 3
SMALL_DEPLOYMENT_VMS = 14
PULSES_PER_MESSAGE = 64
ORDERS_PER_MESSAGE = 8
# A VM names all VMs that it knows in its first rounds.
INTRODUCTION_ROUNDS = 3


@dataclass
class Gossiper:
    """Keeps a node's view of the other VMs up to date.

    Attributes
    ----------
    node : Node
        The daemon's shared state.
    store : ConfigurationStore
        Where newer configurations are fetched through.
    heartbeat : int
        Raised at each round.
    wants_members : bool
        True when a peer reported a VM that is not known by name here.
    """

    node: Node
    store: ConfigurationStore
    heartbeat: int = 0
    wants_members: bool = True

    async def read_list_forever(self) -> None:
        """Read the platform's list once a period, until cancelled."""
        while True:
            result = await self.node.vmlist.read_machines()
            if result.is_ok():
                self.node.machines = {m.name: m for m in result.ok}
            else:
                self.node.counters.count("vmlist.read_failed")
            await asyncio.sleep(VM_LIST_SECONDS if self.node.machines else 0.2)

    async def gossip_forever(self) -> None:
        """Exchange views with random peers once a period, until cancelled."""
        while True:
            self.beat()
            peers = self.choose_peers()
            await asyncio.gather(*(self.exchange(peer) for peer in peers))
            await asyncio.sleep(GOSSIP_SECONDS)

    def beat(self) -> None:
        """Raise this VM's heartbeat in its own view."""
        self.heartbeat += 1
        node = self.node
        own = Member(
            name=node.settings.vm,
            failure_domain=node.settings.failure_domain,
            peer_address=node.settings.peer_address,
            caller_address=node.settings.caller_address,
            incarnation=node.incarnation,
            heartbeat=self.heartbeat,
            draining=node.draining,
            heard_at=node.clock(),
        )
        node.view = drop_expired_members(merge_members(node.view, [own]), node.clock())

    def list_entry_machines(self) -> list[Machine]:
        """Return the other entry VMs: those listed, and others heard of lately.

        A VM that starts while the list cannot be read knows peers from their
        gossip only.
        """
        machines = {
            machine.name: machine
            for machine in self.node.machines.values()
            if machine.kind is MachineKind.ENTRY
        }
        for member in list_live(self.node.view, self.node.clock()):
            machines.setdefault(member.name, convert_to_machine(member))
        machines.pop(self.node.settings.vm, None)
        return list(machines.values())

    def choose_peers(self) -> list[Machine]:
        """Choose one peer of the own failure domain and one or more of any."""
        machines = self.list_entry_machines()
        own = self.node.settings.failure_domain
        near = [m for m in machines if m.failure_domain == own]
        outage = self.node.log_down and len(machines) < SMALL_DEPLOYMENT_VMS
        count = OUTAGE_PEERS if outage else 1
        chosen = [*sample(near, min(1, len(near)))]
        chosen += sample(machines, min(count, len(machines)))
        return list({machine.name: machine for machine in chosen}.values())

    async def announce_state(self) -> None:
        """Tell every other entry VM this VM's state at once.

        Random exchanges take several rounds to reach all; meanwhile others would
        forward requests to a VM that is shutting down.
        """
        self.beat()
        pending = self.list_entry_machines()
        for _ in range(ANNOUNCEMENT_TRIES):
            heard = await asyncio.gather(*(self.exchange(peer) for peer in pending))
            pending = [
                peer for peer, told in zip(pending, heard, strict=True) if not told
            ]

    async def exchange(self, peer: Machine) -> bool:
        """Exchange views with one peer and catch up with a newer configuration.

        Returns
        -------
        bool
            False when the peer gave no answer.
        """
        sent_at = self.node.clock()
        request = make_gossip(self.node, self.wants_members, self.check_young())
        result = await self.node.peers.exchange_gossip(peer.peer_address, request)
        self.count_bytes(request)
        if result.is_error():
            self.node.counters.count("gossip.failed")
            return False
        self.count_bytes(result.ok)
        self.merge_gossip(result.ok, sent_at)
        merge_reports(self.node, result.ok, sent_at)
        if result.ok.wants_members:
            await self.introduce_members(peer)
        if self.store.needs_peer():
            await self.store.catch_up(peer.peer_address)
        return True

    async def introduce_members(self, peer: Machine) -> None:
        """Name all live VMs to a peer that lacks names.

        It may be unable to ask for them: without the platform's list it does not
        know whom.
        """
        message = make_gossip(self.node, False, names_members=True)
        self.count_bytes(message)
        await self.node.peers.exchange_gossip(peer.peer_address, message)

    def check_young(self) -> bool:
        """Tell whether peers may not know this VM by name yet."""
        return self.heartbeat <= INTRODUCTION_ROUNDS

    def merge_gossip(self, gossip: Gossip, received_at: float) -> None:
        """Take over the peer's view and its direct orders."""
        node = self.node
        members = [
            convert_state(state, received_at)
            for state in gossip.members
            if state.vm != node.settings.vm
        ]
        node.view = merge_members(node.view, members)
        own_key = make_member_key(node.view.members[node.settings.vm])
        heartbeats = [
            item
            for item in unpack_heartbeats(gossip.pulses, received_at)
            if item.key != own_key
        ]
        node.view, unknown = merge_heartbeats(node.view, heartbeats)
        self.wants_members = bool(unknown)
        self.store.add_orders(tuple(convert_order(item) for item in gossip.orders))
        node.evidence = merge_evidence(
            node.evidence,
            max(gossip.configuration_version, gossip.evidence_version),
            NEVER,
        )

    async def answer_gossip(self, gossip: Gossip) -> Gossip:
        """Answer a peer's exchange.

        Evidence and reports on the log are taken from replies only. A request can
        lie in a socket buffer for any time, while a reply is no older than the
        request that it answers.
        """
        self.count_bytes(gossip)
        self.beat_once()
        self.merge_gossip(gossip, self.node.clock())
        known = unpack_heartbeats(gossip.pulses, self.node.clock())
        reply = make_gossip(self.node, self.wants_members, gossip.wants_members, known)
        self.count_bytes(reply)
        return reply

    def beat_once(self) -> None:
        """Enter this VM into its own view before the first round."""
        if self.heartbeat == 0:
            self.beat()

    def count_bytes(self, gossip: Gossip) -> None:
        """Count the body of one message, sent or received."""
        self.node.counters.count("gossip.bytes", len(encode_message(gossip)))

    async def answer_order(self, order: DirectOrder) -> Empty:
        """Put an operators' direct order in force."""
        self.store.add_orders((convert_order(order),))
        return Empty()

    async def answer_configuration(self, call: ConfigurationCall) -> ConfigurationReply:
        """Send the folded state when it is newer than the caller's."""
        state = choose_state_to_send(self.node.fold, call.known_version)
        if state is None:
            return ConfigurationReply(version=0, configuration=b"")
        self.node.counters.count("configuration.peer_sent")
        return ConfigurationReply(
            version=state.version, configuration=encode_state(state)
        )

    def find_planner(self, failure_domain: str) -> Member | None:
        """Return the VM that places the jobs of a failure domain."""
        live = {
            member.name: member
            for member in list_live(self.node.view, self.node.clock(), failure_domain)
            if not member.draining
        }
        name = choose_node(f"planner:{failure_domain}", live)
        return live.get(name) if name else None


def make_gossip(
    node: Node,
    wants_members: bool,
    names_members: bool,
    known: Iterable[Heartbeat] = (),
) -> Gossip:
    """Return a VM's view as a message.

    Parameters
    ----------
    node : Node
        The daemon's shared state.
    wants_members : bool
        True to ask the receiver for the names of all VMs.
    names_members : bool
        True to send the names of all VMs.
    known : iterable of Heartbeat
        Heartbeats that the receiver has already.

    Returns
    -------
    Gossip
        The message.
    """
    now = node.clock()
    members = list_live(node.view, now) if names_members else []
    orders = sample(node.orders, min(len(node.orders), ORDERS_PER_MESSAGE))
    heartbeats = choose_heartbeats(node.view, now, PULSES_PER_MESSAGE, known)
    return Gossip(
        sender=node.settings.vm,
        members=[convert_member(member, now) for member in members],
        orders=[
            DirectOrder(order.order_id, order.failure_domain, order.issued_at)
            for order in orders
        ],
        pulses=pack_heartbeats(heartbeats, now),
        failure_domain=node.settings.failure_domain,
        configuration_version=node.fold.version,
        evidence_version=node.evidence.version,
        evidence_age_ms=convert_age(now - node.evidence.observed_at),
        log_down=node.log_down and node.edits_undecided == 0,
        wants_members=wants_members,
        contacts=[
            LogContact(
                contact.failure_domain,
                convert_age(now - contact.down_at),
                convert_age(now - contact.up_at),
            )
            for contact in (node.contacts if node.log_down else ())
        ],
    )


def merge_reports(node: Node, reply: Gossip, sent_at: float) -> None:
    """Take over the evidence and the reports on the log in a reply.

    Ages in the reply count from the peer's answer, which is no earlier than the
    moment of sending.
    """
    if reply.evidence_age_ms >= 0:
        observed_at = convert_time(reply.evidence_age_ms, sent_at)
        node.evidence = merge_evidence(
            node.evidence, reply.evidence_version, observed_at
        )
    contacts = [
        Contact(
            item.failure_domain,
            convert_time(item.down_age_ms, sent_at),
            convert_time(item.up_age_ms, sent_at),
        )
        for item in reply.contacts
    ]
    if reply.log_down:
        contacts.append(Contact(reply.failure_domain, down_at=sent_at))
    else:
        contacts.append(Contact(reply.failure_domain, up_at=sent_at))
    for contact in contacts:
        node.contacts = merge_contact(node.contacts, contact)


def convert_to_machine(member: Member) -> Machine:
    """Return a VM known from gossip as the platform's list would name it."""
    return Machine(
        member.name,
        MachineKind.ENTRY,
        member.failure_domain,
        MachineState.LIVE,
        member.caller_address,
        member.peer_address,
    )


def convert_age(seconds: float) -> int:
    """Convert an age to whole milliseconds, rounded up; -1 for a thing never seen."""
    if seconds == float("inf"):
        return -1
    return ceil(seconds * 1000)


def convert_time(age_ms: int, reference: float) -> float:
    """Convert an age to a monotonic time, in seconds."""
    return NEVER if age_ms < 0 else reference - age_ms / 1000


def convert_member(member: Member, now: float) -> MemberState:
    """Write one VM as a message."""
    return MemberState(
        vm=member.name,
        failure_domain=member.failure_domain,
        incarnation=member.incarnation,
        heartbeat=member.heartbeat,
        draining=member.draining,
        peer_address=member.peer_address,
        caller_address=member.caller_address,
        heard_age_ms=convert_age(now - member.heard_at),
    )


def convert_state(state: MemberState, received_at: float) -> Member:
    """Read one VM from a message."""
    return Member(
        name=state.vm,
        failure_domain=state.failure_domain,
        peer_address=state.peer_address,
        caller_address=state.caller_address,
        incarnation=state.incarnation,
        heartbeat=state.heartbeat,
        draining=state.draining,
        heard_at=convert_time(state.heard_age_ms, received_at),
    )


def convert_order(order: DirectOrder) -> Order:
    """Read one direct order from a message."""
    return Order(order.order_id, order.failure_domain, order.issued_at)
