"""Random histories of several VMs that share a log."""

from dataclasses import replace

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from cardamomdyke.configuration.evidence import Standing
from cardamomdyke.configuration.fold import find_decision, make_snapshot
from cardamomdyke.configuration.orders import Order
from cardamomdyke.configuration.records import Edit, add_snapshot_digest, encode_record
from cardamomdyke.daemon.domains import set_in_service
from cardamomdyke.daemon.gossip import make_gossip
from cardamomdyke.daemon.permits import check_start, find_standing
from cardamomdyke.model.tables import Tables, find_failure_domain
from cardamomdyke.protocol.gen.ttypes import Gossip
from tests.configuration.simulation import (
    DOMAINS,
    NO_LIMIT,
    SERVING_DOMAIN,
    World,
    make_tables,
    run_now,
    start_vm,
)

VMS = tuple(f"{domain}-e1" for domain in DOMAINS)
HELD_DOMAINS = tuple(domain for domain in DOMAINS if domain != SERVING_DOMAIN)
# Target: no start later than this after its domain was taken out.
LATEST_START_SECONDS = 3.0
ROUNDING_SECONDS = 1e-6

vm_names = st.sampled_from(VMS)
domain_names = st.sampled_from([*HELD_DOMAINS, *DOMAINS])
delays = st.sampled_from([0.0, 0.05, 0.4])


class Histories(RuleBasedStateMachine):
    """Guards against VMs that disagree, go back, or start tasks in a domain out."""

    @initialize()
    def start(self) -> None:
        self.world = World()
        self.serial = 0
        self.edits: list[Edit] = []
        self.requests: list[Gossip] = []
        self.out_since: dict[str, float] = {}
        # Mutual contact cannot know of an edit whose author ended.
        self.out_author: dict[str, tuple[str, int]] = {}
        self.undecided: dict[str, set[str]] = {name: set() for name in VMS}
        self.received_orders: dict[str, list[Order]] = {name: [] for name in VMS}
        self.append_edit(VMS[0], make_tables(), 0)
        for number, name in enumerate(VMS):
            start_vm(self.world, name, number).poll()

    def append_edit(
        self, author: str, tables: Tables, base: int, orders: tuple[str, ...] = ()
    ) -> Edit:
        self.serial += 1
        written_at = self.world.now
        edit = Edit(f"e{self.serial}", base, tables, written_at, author, orders)
        self.edits.append(edit)
        self.append(encode_record(edit), author)
        return edit

    def append(self, data: bytes, author: str) -> None:
        """Append a record and track since when failure domains are out."""
        before = self.world.reference[-1]
        after = self.world.append(data)
        if after.configuration == before.configuration:
            return
        for domain in after.configuration.tables.failure_domains:
            if domain.in_service:
                self.out_since.pop(domain.name, None)
            elif domain.name not in self.out_since:
                self.out_since[domain.name] = self.world.now
                vm = self.world.vms.get(author)
                self.out_author[domain.name] = (author, vm.incarnation if vm else -1)

    @rule(
        name=vm_names,
        domain=domain_names,
        out=st.sampled_from([True, True, False]),
        lost=st.booleans(),
    )
    def edit_domain(self, name: str, domain: str, out: bool, lost: bool) -> None:
        """Edit from the VM's version, which may be outdated."""
        vm = self.world.vms[name]
        configuration = vm.node.configuration
        if configuration is None or not self.world.reach_log(name):
            return
        tables = set_in_service(
            configuration.tables, domain, not out, f"o{self.serial}"
        )
        ids = tuple(o.order_id for o in vm.node.orders if o.failure_domain == domain)
        edit = self.append_edit(name, tables, configuration.version, ids)
        self.undecided[name].add(edit.record_id)
        if not lost:
            vm.poll()
        self.update_undecided(name)

    def update_undecided(self, name: str) -> None:
        node = self.world.vms[name].node
        self.undecided[name] = {
            i for i in self.undecided[name] if find_decision(node.fold, i) is None
        }
        node.edits_undecided = len(self.undecided[name])

    @precondition(lambda self: self.edits)
    @rule(data=st.data(), name=vm_names)
    def repeat_append(self, data: st.DataObject, name: str) -> None:
        """Append the same record again, as after a lost answer."""
        edit = data.draw(st.sampled_from(self.edits))
        self.append(encode_record(edit), name)

    @precondition(lambda self: self.edits)
    @rule(data=st.data(), shift=st.integers(-3, 3), reuse=st.booleans())
    def append_by_hand(self, data: st.DataObject, shift: int, reuse: bool) -> None:
        """Append invalid data, an unknown base version or a used record id."""
        if data.draw(st.booleans()):
            self.append(data.draw(st.binary(max_size=8)), "")
            return
        base = max(0, self.world.reference[-1].version + shift)
        if shift == 0 and not reuse:
            return
        self.serial += 1
        name = data.draw(st.sampled_from(self.edits)).record_id if reuse else "hand"
        domain = DOMAINS[self.serial % len(DOMAINS)]
        tables = set_in_service(make_tables(), domain, False, "")
        edit = Edit(f"{name}", base, tables, self.world.now)
        self.append(encode_record(edit), "")

    @rule(name=vm_names, forgery=st.sampled_from(["", "digest", "version", "offset"]))
    def append_snapshot(self, name: str, forgery: str) -> None:
        """Append a VM's snapshot, which may be stale, or an invalid one."""
        fold = self.world.vms[name].node.fold
        if fold.behind or fold.configuration is None:
            return
        snapshot = make_snapshot(fold, self.world.now)
        end = len(self.world.records)
        if forgery == "digest":
            snapshot = replace(snapshot, digest="0")
        if forgery == "version":
            newer = replace(fold.configuration, version=end + 5)
            snapshot = add_snapshot_digest(replace(snapshot, configuration=newer))
        if forgery == "offset":
            snapshot = add_snapshot_digest(replace(snapshot, folded_to=end + 1))
        self.append(encode_record(snapshot), name)

    @rule(data=st.data())
    def trim(self, data: st.DataObject) -> None:
        """Trim old records, read or not."""
        end = len(self.world.records)
        self.world.first = data.draw(st.integers(self.world.first, end))

    @rule(name=vm_names, pages=st.sampled_from([0, 1, NO_LIMIT, NO_LIMIT]))
    def poll(self, name: str, pages: int) -> None:
        """Read the log, which may stop answering after some pages."""
        self.world.pages_left = pages
        self.world.vms[name].poll()
        self.world.pages_left = NO_LIMIT
        self.update_undecided(name)

    @rule(data=st.data(), name=vm_names, keep=st.booleans())
    def delay_request(self, data: st.DataObject, name: str, keep: bool) -> None:
        """Keep a gossip request or deliver a kept one, maybe again."""
        if keep or not self.requests:
            vm = self.world.vms[name]
            vm.gossiper.increment_heartbeat()
            self.requests.append(make_gossip(vm.node, False, False))
            return
        request = data.draw(st.sampled_from(self.requests))
        vm = self.world.vms[name]
        run_now(vm.gossiper.answer_gossip(request))

    @rule(one=vm_names, other=vm_names, delay=delays)
    def exchange(self, one: str, other: str, delay: float) -> None:
        if one != other:
            self.world.vms[one].exchange(self.world.vms[other], delay)
            self.update_undecided(one)

    @rule(name=vm_names, domain=domain_names)
    def order_out(self, name: str, domain: str) -> None:
        """Send a direct order to every VM that can be reached."""
        self.serial += 1
        order = Order(f"d{self.serial}", domain, self.world.now)
        for other, vm in self.world.vms.items():
            if other == name or self.world.reach_peer(name, other):
                vm.store.add_orders((order,))
                self.received_orders[other].append(order)

    @rule(name=vm_names)
    def restart(self, name: str) -> None:
        self.serial += 1
        self.undecided[name] = set()
        self.received_orders[name] = []
        start_vm(self.world, name, 100 + self.serial)

    @rule(name=vm_names, seconds=st.sampled_from([1.5, 10.0]))
    def pause(self, name: str, seconds: float) -> None:
        self.world.advance(seconds, paused=name)
        for domain in HELD_DOMAINS:
            assert check_start(self.world.vms[name].node, domain) is not None

    @rule(seconds=st.sampled_from([0.2, 0.9, 2.0, 3.5]))
    def wait(self, seconds: float) -> None:
        self.world.advance(seconds)

    @rule(
        one=vm_names,
        other=st.sampled_from([*VMS, "log", "log"]),
        cut=st.booleans(),
    )
    def switch_link(self, one: str, other: str, cut: bool) -> None:
        """Cut or restore the link of two VMs, or of a VM and the log.

        If both VMs are the same, the log is down or up for all.
        """
        world = self.world
        if one == other:
            world.log_down = cut
        elif other == "log":
            (world.log_cuts.add if cut else world.log_cuts.discard)(one)
        else:
            pair = frozenset((one, other))
            (world.cuts.add if cut else world.cuts.discard)(pair)

    @invariant()
    def check_versions_rise(self) -> None:
        for vm in self.world.vms.values():
            assert vm.node.fold.version >= vm.highest
            vm.highest = vm.node.fold.version

    @invariant()
    def check_agreement(self) -> None:
        """VMs without a gap have the reference's configuration."""
        for vm in self.world.vms.values():
            fold = vm.node.fold
            if fold.behind:
                continue
            expected = self.world.reference[fold.next_offset]
            assert fold.configuration == expected.configuration
            assert fold.decisions == expected.decisions

    @invariant()
    def check_no_late_start(self) -> None:
        for vm in self.world.vms.values():
            for domain in HELD_DOMAINS:
                self.check_domain(vm.node, domain)

    def check_domain(self, node, domain: str) -> None:  # type: ignore[no-untyped-def]
        if check_start(node, domain) is not None or domain not in self.out_since:
            return
        author, incarnation = self.out_author[domain]
        vm = self.world.vms.get(author)
        author_ended = vm is None or vm.incarnation != incarnation
        if author_ended and find_standing(node) is Standing.MUTUAL_CONTACT:
            return
        late = self.world.now - self.out_since[domain]
        assert late <= LATEST_START_SECONDS + ROUNDING_SECONDS

    @invariant()
    def check_orders_hold(self) -> None:
        for name, orders in self.received_orders.items():
            node = self.world.vms[name].node
            settled = node.configuration.settled_orders if node.configuration else ()
            for order in orders:
                if order.order_id not in settled:
                    assert check_start(node, order.failure_domain) is not None

    def teardown(self) -> None:
        """After all faults end, the VMs converge if one has no gap."""
        if not hasattr(self, "world"):
            return
        world = self.world
        world.log_down = False
        world.log_cuts.clear()
        world.cuts.clear()
        for _ in range(2):
            for vm in world.vms.values():
                vm.poll()
            for vm in world.vms.values():
                for peer in world.vms.values():
                    if peer is not vm:
                        vm.exchange(peer, 0.0)
        folds = [vm.node.fold for vm in world.vms.values()]
        if all(fold.behind for fold in folds):
            return
        end = world.reference[-1]
        for vm in world.vms.values():
            assert vm.node.fold.configuration == end.configuration
            assert vm.node.fold.next_offset == len(world.records)
            for domain in DOMAINS:
                self.check_served(vm.node, domain, end.configuration)

    def check_served(self, node, domain, configuration) -> None:  # type: ignore[no-untyped-def]
        row = find_failure_domain(configuration.tables, domain)
        ordered = any(order.failure_domain == domain for order in node.orders)
        permitted = check_start(node, domain) is None
        assert permitted is (row.in_service and not ordered)


TestHistories = Histories.TestCase
TestHistories.settings = settings(
    max_examples=700,
    stateful_step_count=40,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
