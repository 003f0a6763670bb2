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

GOSSIP_PERIOD_SECONDS = 1.0
MAX_ANNOUNCEMENT_ATTEMPTS = 3
VM_LIST_PERIOD_SECONDS = 5.0
# With 7 VMs in 7 failure domains, mutual contact with all within 3 s holds 28% of
# the time at one exchange a second, and always at 3. With many VMs, more than one
# exceeds 5 KB/s.
OUTAGE_PEERS = 3
SMALL_DEPLOYMENT_VMS = 14
MAX_BATCH_HEARTBEATS = 64
MAX_BATCH_ORDERS = 8
# In its first rounds a VM sends its own name.
INTRODUCTION_ROUNDS = 3


@dataclass
class Gossiper:
    """Keeps a daemon's view of the other VMs up to date.

    Attributes
    ----------
    node : Node
        The daemon's shared state.
    store : ConfigurationStore
        Fetches newer configurations.
    heartbeat : int
        Number of rounds; 0 before the first.
    wants_members : bool
        True if the last peer reported a VM whose name is unknown here.
    """

    node: Node
    store: ConfigurationStore
    heartbeat: int = 0
    wants_members: bool = True

    async def read_vm_list_forever(self) -> None:
        """Read the platform's list of VMs periodically, until cancelled."""
        while True:
            result = await self.node.vmlist.read_machines()
            if result.is_ok():
                is_first = not self.node.machines
                self.node.machines = {m.name: m for m in result.ok}
                if is_first:
                    await self.announce_start()
            else:
                self.node.counters.count("vmlist.read_failed")
            await asyncio.sleep(VM_LIST_PERIOD_SECONDS if self.node.machines else 0.2)

    async def gossip_forever(self) -> None:
        """Exchange views with random peers periodically, until cancelled."""
        while True:
            await self.run_round()
            await asyncio.sleep(GOSSIP_PERIOD_SECONDS)

    async def run_round(self) -> None:
        """Exchange views with random peers once."""
        self.increment_heartbeat()
        peers = self.choose_peers()
        await asyncio.gather(*(self.exchange(peer) for peer in peers))

    def increment_heartbeat(self) -> None:
        """Increment this VM's heartbeat in its own view."""
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
        """Return the other entry VMs that are listed or live.

        A VM started while the list is unreadable learns of peers only by gossip.
        """
        machines = {
            machine.name: machine
            for machine in self.node.machines.values()
            if machine.kind is MachineKind.ENTRY
        }
        for member in list_live(self.node.view, self.node.clock()):
            machines.setdefault(member.name, make_machine(member))
        machines.pop(self.node.settings.vm, None)
        return list(machines.values())

    def choose_peers(self) -> list[Machine]:
        """Choose one peer of the own failure domain and one or more of any."""
        machines = self.list_entry_machines()
        own = self.node.settings.failure_domain
        local = [m for m in machines if m.failure_domain == own]
        outage = self.node.log_down and len(machines) < SMALL_DEPLOYMENT_VMS
        count = OUTAGE_PEERS if outage else 1
        chosen = [*sample(local, min(1, len(local)))]
        chosen += sample(machines, min(count, len(machines)))
        return list({machine.name: machine for machine in chosen}.values())

    async def announce_start(self) -> None:
        """Learn the names of the other entry VMs, and introduce this VM to all.

        Random exchanges take several rounds; meanwhile others would know no live VM
        of this failure domain if the rest of them shut down.
        """
        await self.run_round()
        await self.announce_state()

    async def announce_state(self) -> None:
        """Send this VM's state directly to all other entry VMs.

        Random exchanges take several rounds; meanwhile others would forward
        requests to a VM that is shutting down.
        """
        self.increment_heartbeat()
        pending = self.list_entry_machines()
        for _ in range(MAX_ANNOUNCEMENT_ATTEMPTS):
            answers = await asyncio.gather(*(self.exchange(peer) for peer in pending))
            pending = [
                peer
                for peer, answered in zip(pending, answers, strict=True)
                if not answered
            ]

    async def exchange(self, peer: Machine) -> bool:
        """Exchange views with one peer and fetch a newer configuration.

        Names that either side lacks are exchanged at once: the next peer, chosen at
        random, may not know them.

        Returns
        -------
        bool
            False when the peer did not answer.
        """
        sent_at = self.node.clock()
        request = make_gossip(
            self.node,
            self.wants_members,
            includes_members=False,
            introduces_self=self.check_introduction_due(),
        )
        result = await self.node.peers.exchange_gossip(peer.peer_address, request)
        self.count_bytes(request)
        if result.is_error():
            self.node.counters.count("gossip.failed")
            return False
        self.count_bytes(result.ok)
        self.merge_gossip(result.ok, sent_at)
        merge_reply_evidence(self.node, result.ok, sent_at)
        if result.ok.wants_members or self.wants_members:
            await self.exchange_names(peer, result.ok.wants_members)
        if self.store.needs_peer():
            await self.store.catch_up(peer.peer_address)
        return True

    async def exchange_names(self, peer: Machine, peer_wants_members: bool) -> None:
        """Send the names of all live VMs to a peer, and get those unknown here.

        Without the platform's list, the peer may know nobody to request them from.
        """
        sent_at = self.node.clock()
        request = make_gossip(self.node, self.wants_members, peer_wants_members)
        self.count_bytes(request)
        result = await self.node.peers.exchange_gossip(peer.peer_address, request)
        if result.is_ok():
            self.count_bytes(result.ok)
            self.merge_gossip(result.ok, sent_at)

    def check_introduction_due(self) -> bool:
        """Return True while peers may not know this VM's name."""
        return self.heartbeat <= INTRODUCTION_ROUNDS

    def merge_gossip(self, gossip: Gossip, received_at: float) -> None:
        """Merge a peer's view, direct orders and version."""
        node = self.node
        members = [
            decode_member(state, received_at)
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
        self.store.add_orders(tuple(decode_order(item) for item in gossip.orders))
        node.evidence = merge_evidence(
            node.evidence,
            max(gossip.configuration_version, gossip.evidence_version),
            NEVER,
        )

    async def answer_gossip(self, gossip: Gossip) -> Gossip:
        """Merge a peer's view and return this VM's.

        Evidence and reports on the log are accepted from replies only: a request
        can wait in a socket buffer for any time, but a reply is no older than its
        request.
        """
        self.count_bytes(gossip)
        self.ensure_own_member()
        self.merge_gossip(gossip, self.node.clock())
        known = unpack_heartbeats(gossip.pulses, self.node.clock())
        reply = make_gossip(self.node, self.wants_members, gossip.wants_members, known)
        self.count_bytes(reply)
        return reply

    def ensure_own_member(self) -> None:
        """Add this VM to its view before the first round."""
        if self.heartbeat == 0:
            self.increment_heartbeat()

    def count_bytes(self, gossip: Gossip) -> None:
        """Count the bytes of one message, sent or received."""
        self.node.counters.count("gossip.bytes", len(encode_message(gossip)))

    async def answer_order(self, order: DirectOrder) -> Empty:
        """Put an operator's direct order in force."""
        self.store.add_orders((decode_order(order),))
        return Empty()

    async def answer_configuration(self, call: ConfigurationCall) -> ConfigurationReply:
        """Return the folded state; version 0 if not newer than the caller's."""
        state = choose_state_to_send(self.node.fold, call.known_version)
        if state is None:
            return ConfigurationReply(version=0, configuration=b"")
        self.node.counters.count("configuration.peer_sent")
        return ConfigurationReply(
            version=state.version, configuration=encode_state(state)
        )

    def find_planner(self, failure_domain: str) -> Member | None:
        """Return the live planner of a failure domain, if any."""
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
    includes_members: bool,
    known: Iterable[Heartbeat] = (),
    introduces_self: bool = False,
) -> Gossip:
    """Make a gossip message from a node's view.

    Parameters
    ----------
    node : Node
        The daemon's shared state.
    wants_members : bool
        True to request the names of all VMs.
    includes_members : bool
        True to send the names of all VMs.
    known : iterable of Heartbeat
        Heartbeats that the receiver already has.
    introduces_self : bool
        True to send at least the name of this VM.

    Returns
    -------
    Gossip
        A request or a reply.
    """
    now = node.clock()
    members: list[Member] = []
    if includes_members:
        members = list_live(node.view, now)
    elif introduces_self:
        members = [node.view.members[node.settings.vm]]
    orders = sample(node.orders, min(len(node.orders), MAX_BATCH_ORDERS))
    heartbeats = choose_heartbeats(node.view, now, MAX_BATCH_HEARTBEATS, known)
    return Gossip(
        sender=node.settings.vm,
        members=[encode_member(member, now) for member in members],
        orders=[
            DirectOrder(order.order_id, order.failure_domain, order.issued_at)
            for order in orders
        ],
        pulses=pack_heartbeats(heartbeats, now),
        failure_domain=node.settings.failure_domain,
        configuration_version=node.fold.version,
        evidence_version=node.evidence.version,
        evidence_age_ms=encode_age(now - node.evidence.observed_at),
        log_down=node.log_down and node.edits_undecided == 0,
        wants_members=wants_members,
        contacts=[
            LogContact(
                contact.failure_domain,
                encode_age(now - contact.down_at),
                encode_age(now - contact.up_at),
            )
            for contact in (node.contacts if node.log_down else ())
        ],
    )


def merge_reply_evidence(node: Node, reply: Gossip, sent_at: float) -> None:
    """Merge the evidence and the reports on the log from a reply.

    Its ages count from its creation, which is no earlier than ``sent_at``.
    """
    if reply.evidence_age_ms >= 0:
        observed_at = decode_age(reply.evidence_age_ms, sent_at)
        node.evidence = merge_evidence(
            node.evidence, reply.evidence_version, observed_at
        )
    contacts = [
        Contact(
            item.failure_domain,
            decode_age(item.down_age_ms, sent_at),
            decode_age(item.up_age_ms, sent_at),
        )
        for item in reply.contacts
    ]
    if reply.log_down:
        contacts.append(Contact(reply.failure_domain, down_at=sent_at))
    else:
        contacts.append(Contact(reply.failure_domain, up_at=sent_at))
    for contact in contacts:
        node.contacts = merge_contact(node.contacts, contact)


def make_machine(member: Member) -> Machine:
    """Make the list entry of a VM known from gossip."""
    return Machine(
        member.name,
        MachineKind.ENTRY,
        member.failure_domain,
        MachineState.LIVE,
        member.caller_address,
        member.peer_address,
    )


def encode_age(seconds: float) -> int:
    """Return an age in whole milliseconds, rounded up; -1 for never (infinite)."""
    if seconds == float("inf"):
        return -1
    return ceil(seconds * 1000)


def decode_age(age_ms: int, reference: float) -> float:
    """Return the time of an age; `NEVER` if negative."""
    return NEVER if age_ms < 0 else reference - age_ms / 1000


def encode_member(member: Member, now: float) -> MemberState:
    """Encode a VM as a message."""
    return MemberState(
        vm=member.name,
        failure_domain=member.failure_domain,
        incarnation=member.incarnation,
        heartbeat=member.heartbeat,
        draining=member.draining,
        peer_address=member.peer_address,
        caller_address=member.caller_address,
        heard_age_ms=encode_age(now - member.heard_at),
    )


def decode_member(state: MemberState, received_at: float) -> Member:
    """Decode a VM from a message."""
    return Member(
        name=state.vm,
        failure_domain=state.failure_domain,
        peer_address=state.peer_address,
        caller_address=state.caller_address,
        incarnation=state.incarnation,
        heartbeat=state.heartbeat,
        draining=state.draining,
        heard_at=decode_age(state.heard_age_ms, received_at),
    )


def decode_order(order: DirectOrder) -> Order:
    """Decode a direct order from a message."""
    return Order(order.order_id, order.failure_domain, order.issued_at)
