"""Several VMs' configuration code on a virtual clock, log and network."""

import asyncio
from collections.abc import Coroutine
from dataclasses import dataclass, field
from types import SimpleNamespace
from typing import Any

from expression import Error, Ok

from cardamomdyke.adapters.http import TransportFault, TransportFaultKind
from cardamomdyke.adapters.log import LogFault, LogPage, LogRecord
from cardamomdyke.configuration.fold import FoldState, fold_record
from cardamomdyke.daemon.gossip import Gossiper, make_gossip, merge_reply_evidence
from cardamomdyke.daemon.node import Node
from cardamomdyke.daemon.settings import Settings
from cardamomdyke.daemon.store import ConfigurationStore
from cardamomdyke.model.tables import (
    BackendServer,
    FailureDomain,
    Pool,
    Tables,
    WhenIsolated,
)
from cardamomdyke.observability.counters import Counters
from cardamomdyke.observability.events import Timeline

DOMAINS = ("gent", "kortrijk", "lokeren")
SERVING_DOMAIN = "lokeren"
PAGE_RECORDS = 4
NO_LIMIT = 1_000_000


def make_tables() -> Tables:
    """Return tables of three failure domains, of which one serves when isolated."""
    return Tables(
        pools=tuple(
            Pool(f"p-{d}", d, "s", (BackendServer(f"{d}-w1", "r1", "a:1", 8),))
            for d in DOMAINS
        ),
        failure_domains=tuple(
            FailureDomain(
                d,
                "vlaanderen",
                when_isolated=WhenIsolated("serve" if d == SERVING_DOMAIN else "hold"),
            )
            for d in DOMAINS
        ),
    )


def run_now(coroutine: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine that must not wait."""
    try:
        coroutine.send(None)
    except StopIteration as stop:
        return stop.value
    raise AssertionError("the coroutine waited")


@dataclass
class World:
    """Virtual clock, log and network.

    ``reference[n]`` is the fold of the first n records. The log stops answering after
    ``pages_left`` reads.
    """

    now: float = 1000.0
    records: list[bytes] = field(default_factory=list)
    first: int = 0
    reference: list[FoldState] = field(default_factory=lambda: [FoldState()])
    log_down: bool = False
    pages_left: int = NO_LIMIT
    log_cuts: set[str] = field(default_factory=set)
    cuts: set[frozenset[str]] = field(default_factory=set)
    vms: dict[str, "Vm"] = field(default_factory=dict)

    def reach_log(self, vm: str) -> bool:
        return not self.log_down and vm not in self.log_cuts

    def reach_peer(self, one: str, other: str) -> bool:
        return frozenset((one, other)) not in self.cuts

    def append(self, data: bytes) -> FoldState:
        """Append a record and return the reference state after it."""
        state, _, _ = fold_record(self.reference[-1], len(self.records), data)
        self.records.append(data)
        self.reference.append(state)
        return state

    def advance(self, seconds: float, paused: str = "") -> None:
        """Let time pass; a paused VM's loop does not tick."""
        self.now += seconds
        for name, vm in self.vms.items():
            if name != paused:
                vm.node.ticked_at = self.now


@dataclass
class Vm:
    """One incarnation of a VM; ``highest`` is its highest version so far."""

    name: str
    world: World
    incarnation: int
    node: Node
    store: ConfigurationStore
    gossiper: Gossiper
    highest: int = 0

    def poll(self) -> bool:
        return bool(run_now(self.store.read_new_records()))

    def exchange(self, peer: "Vm", delay: float) -> None:
        """Send gossip, merge the reply and catch up; each way takes ``delay``."""
        if not self.world.reach_peer(self.name, peer.name):
            return
        self.gossiper.increment_heartbeat()
        sent_at = self.world.now
        request = make_gossip(self.node, False, True)
        self.world.advance(delay)
        reply = run_now(peer.gossiper.answer_gossip(request))
        self.world.advance(delay)
        self.gossiper.merge_gossip(reply, sent_at)
        merge_reply_evidence(self.node, reply, sent_at)
        if self.store.needs_peer():
            run_now(self.store.catch_up(peer.name))


def start_vm(world: World, name: str, incarnation: int) -> Vm:
    """Start or replace a VM, without any state."""

    async def read_records(stream: str, offset: int) -> Any:
        world.pages_left -= 1
        if not world.reach_log(name) or world.pages_left < 0:
            return Error(LogFault(False, "down"))
        start = max(offset, world.first)
        chosen = world.records[start : start + PAGE_RECORDS]
        records = tuple(LogRecord(start + i, data) for i, data in enumerate(chosen))
        return Ok(LogPage(world.first, len(world.records), records))

    async def fetch_configuration(address: str, call: Any) -> Any:
        if not world.reach_peer(name, address):
            return Error(TransportFault(TransportFaultKind.NOT_SENT, "cut"))
        return Ok(await world.vms[address].gossiper.answer_configuration(call))

    async def exchange_gossip(address: str, gossip: Any) -> Any:
        # Another call may be sent before this one arrives.
        await asyncio.sleep(0)
        if address not in world.vms or not world.reach_peer(name, address):
            return Error(TransportFault(TransportFaultKind.NOT_SENT, "cut"))
        return Ok(await world.vms[address].gossiper.answer_gossip(gossip))

    unused: Any = None
    # A VM is called by its name.
    settings = Settings(name, name.split("-")[0], "c:1", name, "", "")
    node = Node(
        settings=settings,
        origins={},
        incarnation=incarnation,
        clock=lambda: world.now,
        http=unused,
        backend=unused,
        log=SimpleNamespace(read_records=read_records),
        vmlist=unused,
        peers=SimpleNamespace(
            fetch_configuration=fetch_configuration, exchange_gossip=exchange_gossip
        ),
        counters=Counters(),
        timeline=Timeline(name, lambda: world.now),
    )
    node.ticked_at = world.now
    store = ConfigurationStore(node)
    vm = Vm(name, world, incarnation, node, store, Gossiper(node, store))
    world.vms[name] = vm
    return vm
