"""Each report of a backend server is counted exactly once, whatever fails."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from cardamomdyke.metering.fold import (
    Phase,
    UsageState,
    check_counted,
    find_counted_prefix,
    fold_page,
    make_summary,
    name_month,
)
from cardamomdyke.metering.records import (
    PricedReport,
    StoredRecord,
    Summary,
    UsageBatch,
    encode_usage_record,
)

HISTORIES = 600
STEPS = 40
PAGE_RECORDS = 3
SERVERS = ("w1", "w2")
VMS = (0, 1, 2)
RETAINED_MONTHS = 3
START = 1_790_000_000.0
STEP_SECONDS = 86_400.0 * 4


@dataclass
class Server:
    """A backend server's current boot and its reports."""

    boot: int = 0
    current: list[PricedReport] = field(default_factory=list)


@dataclass
class Vm:
    """One VM's fold, and the reports that it has read but not appended."""

    state: UsageState = field(default_factory=UsageState)
    unsent: list[PricedReport] = field(default_factory=list)


class UsageHistory(RuleBasedStateMachine):
    """VMs read reports, append, lose answers and restart; the log is trimmed."""

    def __init__(self) -> None:
        super().__init__()
        self.servers = {name: Server() for name in SERVERS}
        self.vms = {number: Vm() for number in VMS}
        self.log: list[bytes] = []
        self.first = 0
        self.now = START
        self.appended: dict[tuple[str, str, int], PricedReport] = {}
        self.due: list[PricedReport] = []
        self.newest_month = 0
        self.covered = 0
        self.prepared: list[Summary] = []
        self.checked: tuple[int, int] = (0, 0)

    def append(self, data: bytes) -> None:
        self.log.append(data)

    def catch_up(self, vm: Vm) -> None:
        while True:
            start = max(vm.state.next_offset, self.first)
            page = [
                StoredRecord(offset, self.log[offset])
                for offset in range(start, min(start + PAGE_RECORDS, len(self.log)))
            ]
            vm.state = fold_page(vm.state, self.first, len(self.log), page)
            done = vm.state.next_offset >= len(self.log)
            if done and vm.state.phase is not Phase.SEEKING:
                return

    @rule(
        name=st.sampled_from(SERVERS),
        account=st.sampled_from(("a", "b")),
        amount=st.integers(1, 1000),
        late=st.integers(0, 2),
    )
    def use(self, name: str, account: str, amount: int, late: int) -> None:
        server = self.servers[name]
        server.current.append(
            PricedReport(
                server=name,
                boot_id=f"boot{server.boot}",
                sequence=len(server.current) + 1,
                client_account=account,
                pool="pool",
                accelerator_ms=amount,
                requests=1,
                ended_at=self.now - late * STEP_SECONDS,
                cost_micros=amount * 3,
            )
        )

    @rule(name=st.sampled_from(SERVERS))
    def restart_server(self, name: str) -> None:
        server = self.servers[name]
        server.boot += 1
        server.current = []

    @rule(
        number=st.sampled_from(VMS), name=st.sampled_from(SERVERS), fresh=st.booleans()
    )
    def read_server(self, number: int, name: str, fresh: bool) -> None:
        """Read what the VM's fold, which may be old, has not counted."""
        vm, server = self.vms[number], self.servers[name]
        if fresh:
            self.catch_up(vm)
        prefix = find_counted_prefix(vm.state, name, f"boot{server.boot}")
        page = server.current[prefix:]
        vm.unsent += [r for r in page if not check_counted(vm.state, r)]

    @rule(number=st.sampled_from(VMS), data=st.data())
    def append_batch(self, number: int, data: Any) -> None:
        """Append some reports in any order; the answer may be lost."""
        vm = self.vms[number]
        if not vm.unsent:
            self.read_server(number, data.draw(st.sampled_from(SERVERS)), fresh=False)
        if not vm.unsent:
            return
        chosen = data.draw(st.lists(st.sampled_from(vm.unsent), min_size=1, max_size=4))
        batch = UsageBatch(f"vm{number}", self.now, tuple(chosen))
        self.append(encode_usage_record(batch))
        self.expect(chosen)
        if data.draw(st.booleans(), label="answered"):
            vm.unsent = [r for r in vm.unsent if r not in chosen]

    def expect(self, reports: list[PricedReport]) -> None:
        """Record what the log holds; reports of closed months come too late."""
        closed = self.newest_month - RETAINED_MONTHS
        for report in reports:
            key = (report.server, report.boot_id, report.sequence)
            if key in self.appended:
                continue
            self.appended[key] = report
            if count_months(report) > closed:
                self.due.append(report)
        newest = max((count_months(report) for report in self.due), default=0)
        self.newest_month = newest

    @rule(number=st.sampled_from(VMS))
    def deliver_everything(self, number: int) -> None:
        """Guards against reports that stay uncounted although they can be read."""
        vm = self.vms[number]
        for name, server in self.servers.items():
            self.read_server(number, name, fresh=True)
            if vm.unsent:
                batch = UsageBatch(f"vm{number}", self.now, tuple(vm.unsent))
                self.append(encode_usage_record(batch))
                self.expect(vm.unsent)
                vm.unsent = []
            self.catch_up(vm)
            prefix = find_counted_prefix(vm.state, name, f"boot{server.boot}")
            assert prefix == len(server.current)

    @rule(number=st.sampled_from(VMS))
    def prepare_summary(self, number: int) -> None:
        """Make a summary; other records may be appended before it is."""
        vm = self.vms[number]
        self.catch_up(vm)
        self.prepared.append(make_summary(vm.state, f"vm{number}", self.now))

    @precondition(lambda self: self.prepared)
    @rule(copies=st.integers(1, 2))
    def append_summary(self, copies: int) -> None:
        """Append a summary once, or twice when the first answer was lost."""
        summary = self.prepared.pop(0)
        for _ in range(copies):
            self.append(encode_usage_record(summary))
        self.covered = max(self.covered, summary.covers_until)

    @precondition(lambda self: self.log)
    @rule(data=st.data())
    def append_old_record(self, data: Any) -> None:
        """Append an old record again, as a frozen VM does."""
        offset = data.draw(st.integers(0, len(self.log) - 1))
        self.append(self.log[offset])

    @precondition(lambda self: self.covered > self.first)
    @rule(data=st.data())
    def trim(self, data: Any) -> None:
        """Trim records that an appended summary covers."""
        self.first = data.draw(st.integers(self.first + 1, self.covered))

    @rule(number=st.sampled_from(VMS))
    def replace_vm(self, number: int) -> None:
        self.vms[number] = Vm()

    @rule()
    def replace_all_vms(self) -> None:
        self.vms = {number: Vm() for number in VMS}

    @precondition(lambda self: self.log)
    @rule()
    def pass_time(self) -> None:
        self.now += STEP_SECONDS

    @invariant()
    def total_equals_reported(self) -> None:
        """Every VM that reads to the end has exactly the reported totals."""
        if self.checked == (len(self.log), self.first):
            return
        self.checked = (len(self.log), self.first)
        fresh = Vm()
        for vm in (*self.vms.values(), fresh):
            probe = Vm(vm.state)
            self.catch_up(probe)
            assert probe.state.phase is Phase.COMPLETE
            open_from = self.newest_month - RETAINED_MONTHS
            due = [r for r in self.due if count_months(r) > open_from]
            assert sum_by_account(probe.state.totals.values()) == sum_by_account(due)


def count_months(report: PricedReport) -> int:
    """Return a report's month as a number that rises by 1 each month."""
    year, month = name_month(report.ended_at).split("-")
    return int(year) * 12 + int(month)


def sum_by_account(rows: Iterable[Any]) -> Counter[tuple[str, str]]:
    """Return the sums of rows or reports by client account and field."""
    sums: Counter[tuple[str, str]] = Counter()
    for row in rows:
        for name in ("accelerator_ms", "requests", "cost_micros"):
            sums[row.client_account, name] += getattr(row, name)
    return sums


def test_total_equals_reports_of_backend_servers() -> None:
    """Guards against usage that is billed twice or not at all."""
    run_state_machine_as_test(  # type: ignore[no-untyped-call]
        UsageHistory,
        settings=settings(
            max_examples=HISTORIES,
            stateful_step_count=STEPS,
            deadline=None,
            derandomize=True,
        ),
    )
