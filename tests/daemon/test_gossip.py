"""Tests of how VMs learn of a restarted VM, on a virtual clock and network."""

import asyncio
from collections.abc import Iterable
from types import SimpleNamespace
from typing import Any, cast

from expression import Error, Ok

from cardamomdyke.adapters.http import TransportFault, TransportFaultKind
from cardamomdyke.adapters.runs import RunClient
from cardamomdyke.adapters.vmlist import Machine, MachineKind, MachineState
from cardamomdyke.configuration.records import Edit, encode_record
from cardamomdyke.daemon.starts import Starter
from cardamomdyke.dispatch.attempts import step_attempt
from cardamomdyke.dispatch.claims import ClaimAnswer, ClaimHome
from cardamomdyke.dispatch.events import (
    AttemptAction,
    AttemptEvent,
    AttemptStarted,
    CallClaimHome,
    ChooseServer,
    ClaimAnswered,
    Finish,
    SendStart,
    ServerChosen,
    Wait,
    WaitEnded,
)
from cardamomdyke.dispatch.states import make_attempt
from cardamomdyke.membership.view import list_live
from cardamomdyke.model.outcomes import Finished, Outcome
from cardamomdyke.model.requests import ShortRequest
from cardamomdyke.protocol.gen.ttypes import DispatchCall, DispatchReply, OutcomeKind
from tests.configuration.simulation import Vm, World, make_tables, start_vm

NAMES = ("gent-e1", "gent-e2", "kortrijk-e1", "lokeren-e1")
MACHINES = {
    name: Machine(
        name, MachineKind.ENTRY, name.split("-")[0], MachineState.LIVE, "c:1", name
    )
    for name in NAMES
}
SERVER = "gent-w1"
# Deadline of the callers in the scenarios.
DEADLINE_SECONDS = 4.0
# Turns of the event loop in which the calls of a VM that has just started end.
START_TURNS = 50


async def start_world() -> World:
    """Start VMs of three failure domains that know each other and the tables."""
    world = World()
    world.append(encode_record(Edit("e1", 0, make_tables(), world.now)))
    for name in NAMES:
        start_vm(world, name, 1).node.machines = dict(MACHINES)
    for vm in world.vms.values():
        assert vm.poll()
        await vm.gossiper.announce_state()
    return world


async def drain_vm(vm: Vm) -> None:
    """Tell all others that a VM shuts down."""
    vm.node.progress.draining = True
    await vm.gossiper.announce_state()


async def replace_vm(world: World, name: str) -> Vm:
    """Stop a VM and start it again; it has not sent anything yet."""
    await drain_vm(world.vms.pop(name))
    world.advance(2.0)
    vm = start_vm(world, name, 2)
    assert vm.poll()
    return vm


async def greet_vm(vm: Vm, peer: str) -> None:
    """Run a gossip round that chooses only this peer."""
    vm.gossiper.increment_heartbeat()
    await vm.gossiper.exchange(MACHINES[peer])


def list_usable(vm: Vm, failure_domain: str) -> list[str]:
    """Return the VMs to which a VM forwards requests."""
    members = list_live(vm.node.view, vm.world.now, failure_domain)
    return [member.name for member in members if not member.draining]


async def run_keyed_request(vm: Vm, rounds: Iterable[str]) -> Outcome:
    """Run a request whose claim names the server; gossip in each of its waits."""
    now = vm.world.now
    starter = Starter(vm.node, cast(RunClient, None))
    request = ShortRequest("r1", "koffie", "s", b"", "text/plain", idempotency_key="k")
    peers = iter(rounds)
    attempt = make_attempt(
        "r1",
        deadline=now + DEADLINE_SECONDS,
        received_at=now,
        key="k",
        digest="d",
        homes=(ClaimHome(SERVER),),
    )
    event: AttemptEvent = AttemptStarted()
    while True:
        attempt, action = step_attempt(attempt, event, vm.world.now)
        if isinstance(action, Finish):
            return action.outcome
        if isinstance(action, Wait):
            vm.world.advance(min(action.seconds, attempt.deadline - vm.world.now))
            await greet_vm(vm, next(peers))
        event = await execute_action(vm, starter, request, action)


async def execute_action(
    vm: Vm, starter: Starter, request: ShortRequest, action: AttemptAction
) -> AttemptEvent:
    """Execute an action of a request that starts in another failure domain."""
    match action:
        case ChooseServer():
            return ServerChosen(SERVER, "boot")
        case CallClaimHome():
            return ClaimAnswered(ClaimAnswer(action.claim, True, 600.0), vm.world.now)
        case SendStart():
            found = starter.find_server(action.server)
            assert found is not None
            return await starter.forward_start(request, *found, action.boot_id)
        case Wait():
            return WaitEnded()
    raise TypeError(f"unexpected action {type(action).__name__}")


def answer_dispatches(world: World, vm: Vm) -> None:
    """Let the VMs that run, and do not shut down, answer forwarded requests."""

    async def dispatch_request(address: str, call: DispatchCall, _: float) -> Any:
        peer = world.vms.get(address)
        if peer is None or peer.node.draining:
            return Error(TransportFault(TransportFaultKind.NOT_SENT, "down"))
        return Ok(DispatchReply(call.request_id, OutcomeKind.FINISHED, body=b"sacks"))

    vm.node.peers = cast(
        Any, SimpleNamespace(**vars(vm.node.peers), dispatch_request=dispatch_request)
    )


def test_request_is_answered_while_the_vms_of_a_domain_are_replaced_in_turn() -> None:
    """Guards against "no live VM is known" for the whole deadline of a request.

    The restarted gent-e1 knew all VMs as soon as kortrijk-e1 greeted it, so operators
    stopped gent-e2. kortrijk-e1 had its heartbeat without its name, asked lokeren-e1
    for the name in the next round, and no longer asked anybody after that answer.
    """

    async def run() -> Outcome:
        world = await start_world()
        kortrijk = world.vms["kortrijk-e1"]
        answer_dispatches(world, kortrijk)
        restarted = await replace_vm(world, "gent-e1")
        await greet_vm(kortrijk, "gent-e1")
        assert len(list_live(restarted.node.view, world.now)) == len(NAMES)
        await drain_vm(world.vms["gent-e2"])
        return await run_keyed_request(kortrijk, ["lokeren-e1"] * 20)

    outcome = asyncio.run(run())
    assert isinstance(outcome, Finished), outcome


def test_names_are_asked_of_the_peer_that_knows_them() -> None:
    """Guards against a peer without the name that ends the search for it."""

    async def run() -> list[str]:
        world = await start_world()
        kortrijk, lokeren = world.vms["kortrijk-e1"], world.vms["lokeren-e1"]
        await replace_vm(world, "gent-e1")
        await greet_vm(kortrijk, "gent-e1")
        await greet_vm(lokeren, "kortrijk-e1")
        return list_usable(lokeren, "gent")

    assert asyncio.run(run()) == ["gent-e1", "gent-e2"]


def test_started_vm_introduces_itself_to_all() -> None:
    """Guards against a restarted VM that others learn of only by chance.

    Its first round had no VM list, and each later one reached two VMs at most.
    """

    async def run() -> dict[str, list[str]]:
        world = await start_world()
        restarted = await replace_vm(world, "gent-e1")

        async def read_machines() -> Any:
            return Ok(tuple(MACHINES.values()))

        restarted.node.vmlist = cast(Any, SimpleNamespace(read_machines=read_machines))
        reading = asyncio.create_task(restarted.gossiper.read_vm_list_forever())
        for _ in range(START_TURNS):
            await asyncio.sleep(0)
        reading.cancel()
        await drain_vm(world.vms["gent-e2"])
        return {name: list_usable(vm, "gent") for name, vm in world.vms.items()}

    assert asyncio.run(run()) == {name: ["gent-e1"] for name in NAMES}


def test_draining_vm_names_the_restarted_one() -> None:
    """Guards against a shutdown that leaves others without a VM of its domain."""

    async def run() -> list[str]:
        world = await start_world()
        await replace_vm(world, "gent-e1")
        await greet_vm(world.vms["gent-e2"], "gent-e1")
        await drain_vm(world.vms["gent-e2"])
        return list_usable(world.vms["lokeren-e1"], "gent")

    assert asyncio.run(run()) == ["gent-e1"]
