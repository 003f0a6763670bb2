"""HTTP handlers for status, timeline, settings and usage."""

from dataclasses import asdict, dataclass
from time import time

from cardamomdyke.adapters.vmlist import MachineKind
from cardamomdyke.daemon.callers import MAX_QUOTED_CHARACTERS, NodeHandler
from cardamomdyke.daemon.node import Node
from cardamomdyke.daemon.permits import find_standing
from cardamomdyke.daemon.replies import write_reply
from cardamomdyke.daemon.usage import UsageCollector
from cardamomdyke.membership.view import list_live
from cardamomdyke.metering.bill import AccountBill, make_bills
from cardamomdyke.metering.fold import Phase, name_month
from cardamomdyke.model.errors import ProblemKind, make_problem
from cardamomdyke.model.outcomes import NotRun
from cardamomdyke.observability.events import RETAINED_EVENTS

DEFAULT_EVENTS = 500
MAX_LIMIT_DIGITS = 9


@dataclass(frozen=True, slots=True)
class VmAddress:
    """Address at which operators reach a VM.

    Attributes
    ----------
    vm : str
        Name of the VM.
    failure_domain : str
        Failure domain of the VM.
    caller_address : str
        ``host:port`` for callers and operators.
    live : bool
        True if heard of within `HEARTBEAT_TIMEOUT_SECONDS`.
    """

    vm: str
    failure_domain: str
    caller_address: str
    live: bool


@dataclass(frozen=True, slots=True)
class UsageView:
    """Reply to ``GET /v1/usage``.

    Attributes
    ----------
    month : str
        ``YYYY-MM``, in UTC.
    phase : Phase
        ``complete``, or ``incomplete`` if records of the log were missed.
    up_to_date : bool
        False if the log could not be read just now.
    next_offset : int
        All records before this offset are counted.
    unsent_reports : int
        Reports that this VM has read and not yet appended.
    repeated_reports : int
        Duplicate reports in the log, each counted once.
    refused_reports : int
        Reports too old to be counted.
    malformed_records : int
        Records of the log that could not be decoded.
    bills : tuple of AccountBill
        One entry per client account.
    """

    month: str
    phase: Phase
    up_to_date: bool
    next_offset: int
    unsent_reports: int
    repeated_reports: int
    refused_reports: int
    malformed_records: int
    bills: tuple[AccountBill, ...]


def list_addresses(node: Node) -> list[VmAddress]:
    """Return the VMs that are live or on the platform's VM list.

    The view keeps replaced VMs for long, so being in it is not enough.
    """
    addresses = {
        machine.name: VmAddress(
            machine.name, machine.failure_domain, machine.caller_address, False
        )
        for machine in node.machines.values()
        if machine.kind is MachineKind.ENTRY
    }
    for member in list_live(node.view, node.clock()):
        addresses[member.name] = VmAddress(
            member.name, member.failure_domain, member.caller_address, True
        )
    return [addresses[name] for name in sorted(addresses)]


class StatusHandler(NodeHandler):
    """``GET /v1/status``."""

    def get(self) -> None:
        """Show this VM's state, its view of the others and its counters."""
        node = self.node
        now = node.clock()
        evidence_age = now - node.evidence.observed_at
        self.finish_json(
            {
                "vm": node.settings.vm,
                "failure_domain": node.settings.failure_domain,
                "version": node.fold.version,
                "behind": node.fold.behind,
                "skipped_records": node.counters.values["configuration.invalid"],
                "orders": node.orders,
                "standing": find_standing(node),
                "evidence_version": node.evidence.version,
                "evidence_age_seconds": (
                    None if evidence_age == float("inf") else round(evidence_age, 3)
                ),
                "log_down": node.log_down,
                "draining": node.draining,
                "live_vms": sorted(member.name for member in list_live(node.view, now)),
                "vms": list_addresses(node),
                "counters": dict(node.counters.values),
            }
        )


class TimelineHandler(NodeHandler):
    """``GET /v1/timeline``."""

    def get(self) -> None:
        """Show this VM's newest events, oldest first, optionally of one subject.

        The header ``Events-Left-Out`` counts older events over ``limit``.
        """
        subject = self.get_query_argument("subject", "")
        limit_text = self.get_query_argument("limit", str(DEFAULT_EVENTS))
        limit = parse_limit(limit_text)
        if not limit:
            message = (
                f"limit is not a whole number from 1 to {RETAINED_EVENTS}: "
                f"{limit_text[:MAX_QUOTED_CHARACTERS]!r}"
            )
            write_reply(NotRun(make_problem(ProblemKind.BAD_REQUEST, message)), self)
            return
        events = self.node.timeline.select_events(subject)
        self.set_header("Events-Left-Out", str(max(0, len(events) - limit)))
        self.finish_json(events[-limit:])


def parse_limit(text: str) -> int:
    """Parse a number of events, at most ``RETAINED_EVENTS``; 0 if it is none."""
    digits = text.lstrip("0")
    if not digits.isascii() or not digits.isdigit():
        return 0
    # Python converts at most 4,300 digits.
    if len(digits) > MAX_LIMIT_DIGITS:
        return 0
    return min(int(digits), RETAINED_EVENTS)


class UsageHandler(NodeHandler):
    """``GET /v1/usage``."""

    usage: UsageCollector

    async def get(self) -> None:
        """Fold new usage records and show usage, cost and forecast."""
        up_to_date = await self.usage.fold_new_records()
        state, unix_now = self.usage.state, time()
        self.finish_json(
            UsageView(
                month=name_month(unix_now),
                phase=state.phase,
                up_to_date=up_to_date,
                next_offset=state.next_offset,
                unsent_reports=len(self.usage.unsent),
                repeated_reports=state.repeated,
                refused_reports=state.refused,
                malformed_records=state.malformed,
                bills=make_bills(state, unix_now),
            )
        )


class SettingsHandler(NodeHandler):
    """``GET /v1/settings``."""

    def get(self) -> None:
        """Show the value of each setting and its origin."""
        values = asdict(self.node.settings)
        self.finish_json(
            {
                name: {"value": value, "origin": self.node.origins.get(name, "default")}
                for name, value in values.items()
            }
        )
