"""Single mechanisms that random histories reach too rarely."""

import asyncio
from dataclasses import replace
from types import SimpleNamespace

from expression import Error, Ok

from cardamomdyke.adapters.log import LogFault
from cardamomdyke.configuration.fold import FoldState, fold_record, make_snapshot
from cardamomdyke.configuration.orders import Order
from cardamomdyke.configuration.records import Edit, Verdict, encode_record
from cardamomdyke.configuration.snapshots import check_snapshot_due, find_turn_delay
from cardamomdyke.daemon.domains import set_in_service
from cardamomdyke.daemon.edits import Editor
from cardamomdyke.daemon.gossip import make_gossip
from cardamomdyke.daemon.permits import check_start
from cardamomdyke.model.tables import Tables
from tests.configuration.simulation import (
    DOMAINS,
    PAGE_RECORDS,
    Vm,
    World,
    make_tables,
    run_now,
    start_vm,
)


def make_world() -> tuple[World, list[Vm]]:
    world = World()
    world.append(encode_record(Edit("e1", 0, make_tables(), world.now)))
    vms = [start_vm(world, f"{domain}-e1", 1) for domain in DOMAINS]
    for vm in vms:
        assert vm.poll()
    return world, vms


def make_edit(record_id: str, base: int, domain: str = "gent") -> bytes:
    tables = set_in_service(make_tables(), domain, False, f"o-{record_id}")
    return encode_record(Edit(record_id, base, tables, 1000.0))


def permits(vm: Vm, domain: str = "gent") -> bool:
    return check_start(vm.node, domain) is None


def test_first_offset_wins_a_race() -> None:
    """Guards against an edit that overwrites one it was not made from."""
    state, verdicts = FoldState(), []
    edits = [("a", 0), ("b", 1), ("c", 1), ("b", 1), ("d", 9), ("e", 2)]
    for offset, (record_id, base) in enumerate(edits):
        state, verdict, _ = fold_record(state, offset, make_edit(record_id, base))
        verdicts.append(verdict)
    assert verdicts == [
        Verdict.ACCEPTED,
        Verdict.ACCEPTED,
        Verdict.LOST_RACE,
        Verdict.DUPLICATE,
        Verdict.INVALID,
        Verdict.ACCEPTED,
    ]
    assert state.version == 6


def test_vm_with_a_gap_decides_nothing_until_a_snapshot() -> None:
    """Guards against accepting an edit that lost the race to a trimmed one."""
    world, (first, second, third) = make_world()
    world.append(make_edit("won", 1))
    first.poll()
    world.append(make_edit("lost", 1, "kortrijk"))
    world.first = 2
    second.poll()
    assert second.node.fold.behind
    assert second.node.fold.version == 1
    world.append(encode_record(make_snapshot(third.node.fold, world.now)))
    second.poll()
    assert second.node.fold.behind, "this snapshot is older than the gap's end"
    world.append(encode_record(make_snapshot(first.node.fold, world.now)))
    second.poll()
    assert not second.node.fold.behind
    assert second.node.fold.configuration == world.reference[-1].configuration


def test_snapshot_carries_the_ids_that_the_fold_drops() -> None:
    """Guards against a VM that accepts an edit that others drop as a duplicate."""
    world, (first, second, _) = make_world()
    world.append(b"junk")
    first.poll()
    world.append(encode_record(make_snapshot(first.node.fold, world.now)))
    world.first = 2
    start_vm(world, second.name, 2).poll()
    world.append(make_edit("e1", 1))
    for vm in world.vms.values():
        vm.poll()
        assert vm.node.fold.version == 1


def test_damaged_snapshot_fills_no_gap() -> None:
    """Guards against adopting a snapshot whose tables do not match its digest."""
    world, (first, second, _) = make_world()
    world.append(b"junk")
    first.poll()
    world.advance(0.1)
    world.append(b"more junk")
    world.first = 2
    snapshot = make_snapshot(first.node.fold, world.now)
    assert snapshot.folded_to == 2
    configuration = replace(snapshot.configuration, tables=Tables())
    damaged = replace(snapshot, configuration=configuration)
    world.append(encode_record(damaged))
    second.poll()
    assert second.node.fold.behind
    assert second.node.counters.values["configuration.invalid"] == 2


def test_interrupted_read_claims_no_evidence() -> None:
    """Guards against evidence for a version that an unread page replaces."""
    world, (vm, _, _) = make_world()
    for _ in range(PAGE_RECORDS):
        world.append(b"junk")
    world.append(make_edit("out", 1))
    world.advance(4.0)
    world.pages_left = 1
    assert not vm.poll()
    assert not permits(vm)


def test_known_higher_version_permits_nothing_until_fetched() -> None:
    """Guards against starts under a version that a peer knows to be replaced."""
    world, (first, second, _) = make_world()
    world.append(make_edit("out", 1, "kortrijk"))
    first.poll()
    assert permits(second)
    second.gossiper.increment_heartbeat()
    run_now(second.gossiper.answer_gossip(make_gossip(first.node, False, False)))
    assert not permits(second)
    second.poll()
    assert permits(second)


def test_age_of_relayed_evidence_counts_from_sending() -> None:
    """Guards against a slow reply that makes evidence look fresh."""
    world, (first, second, _) = make_world()
    world.advance(2.0)
    second.exchange(first, 0.5)
    world.advance(0.2)
    assert not permits(second)


def test_request_that_waited_in_a_socket_gives_no_evidence() -> None:
    """Guards against a resumed VM that takes an old request for a new one."""
    world, (first, second, _) = make_world()
    request = make_gossip(first.node, False, False)
    world.advance(30.0)
    run_now(second.gossiper.answer_gossip(request))
    assert not permits(second)


def gossip_without_log(world: World, vms: list[Vm]) -> None:
    """Take the log down until all evidence expires; the first VM gossips with all."""
    world.log_down = True
    world.advance(4.0)
    for vm in vms:
        vm.poll()
    for peer in vms[1:]:
        vms[0].exchange(peer, 0.0)


def test_mutual_contact_serves_while_the_log_is_down_for_all() -> None:
    """Guards against an outage of the log that stops all starts."""
    world, vms = make_world()
    gossip_without_log(world, vms)
    assert permits(vms[0])
    world.advance(3.5)
    assert not permits(vms[0])


def test_mutual_contact_needs_every_failure_domain() -> None:
    """Guards against starts while an unheard failure domain records an order."""
    world, vms = make_world()
    gossip_without_log(world, vms[:2])
    assert not permits(vms[0])


def test_mutual_contact_ends_when_one_vm_reaches_the_log() -> None:
    """Guards against starts while another VM can record an order."""
    world, vms = make_world()
    world.append(b"junk")
    gossip_without_log(world, vms)
    vms[1].node.log_down = False
    vms[0].exchange(vms[1], 0.0)
    assert not permits(vms[0])


def test_undecided_edit_ends_mutual_contact() -> None:
    """Guards against starts while an edit without an answer may be in the log."""
    world, vms = make_world()
    vms[1].node.edits_undecided = 1
    gossip_without_log(world, vms)
    assert not permits(vms[0])


def test_direct_order_spreads_and_ends_with_its_edit() -> None:
    """Guards against a direct order that gossip loses or that never ends."""
    world, (first, second, _) = make_world()
    first.store.add_orders((Order("o-out", "gent", world.now),))
    second.exchange(first, 0.0)
    assert not permits(second)
    world.append(make_edit("out", 1))
    second.poll()
    assert second.node.orders == ()
    assert not permits(second)


def submit_with_lost_answer(takes_effect: bool) -> tuple[World, object]:
    """Submit an edit whose first append gets no answer; count the appends."""
    world, (vm, _, _) = make_world()
    appends = []

    async def append_record(stream: str, data: bytes) -> object:
        appends.append(data)
        if len(appends) > 1 or takes_effect:
            world.append(data)
        if len(appends) == 1:
            return Error(LogFault(True, "lost"))
        return Ok(len(world.records) - 1)

    vm.node.log = SimpleNamespace(
        read_records=vm.node.log.read_records, append_record=append_record
    )
    tables = set_in_service(make_tables(), "gent", False, "o")
    result = asyncio.run(Editor(vm.node, vm.store).submit_edit(tables, 1))
    assert vm.node.edits_undecided == 0
    assert len(set(appends)) == 1
    return world, (len(appends), result)


def test_lost_answer_of_an_append_that_took_effect() -> None:
    """Guards against a second record for an edit that is already in the log."""
    world, outcome = submit_with_lost_answer(takes_effect=True)
    assert outcome == (1, Ok(2))
    assert len(world.records) == 2


def test_lost_append_is_repeated_under_its_id() -> None:
    """Guards against failing an edit although the log answers again."""
    _, outcome = submit_with_lost_answer(takes_effect=False)
    assert outcome == (2, Ok(2))


def test_one_vm_appends_the_snapshot() -> None:
    """Guards against many VMs appending, and none if the first one is silent."""
    names = [f"vm{number}" for number in range(49)]
    ranked = sorted(names, key=lambda name: find_turn_delay("snapshot:7", name, names))
    for silent in (0, 1):
        carried_at, appended = 0.0, 0
        for now in range(1000):
            # All VMs check at once and see an append at the next step.
            due = [
                name
                for name in ranked[silent:]
                if check_snapshot_due(
                    carried_at, now, 2000.0, find_turn_delay("snapshot:7", name, names)
                )
            ]
            carried_at, appended = now if due else carried_at, appended + len(due)
        assert appended == 1
