"""Limits of clients on a platform daemon, and their metrics."""

from collections.abc import Iterator
from dataclasses import dataclass, replace

from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily
from prometheus_client.metrics_core import Metric
from prometheus_client.registry import Collector

from cardamomdyke.control.context import Context, check_contact
from cardamomdyke.model.queues import QueueTables
from cardamomdyke.protocol.connections import MAX_HEADER_BYTES
from cardamomdyke.protocol.guard import InputGuard, make_guard
from cardamomdyke.protocol.limits import (
    PortClass,
    RequestLimits,
    make_input_limits,
    read_descriptor_limit,
)

# A configuration may set a lower limit.
MAX_BODY_BYTES = 1_048_576


def find_body_limit(context: Context) -> int:
    """Return the limit of a caller's body, in bytes.

    A daemon that may have an old configuration leaves the decision to its peers.
    """
    operator = context.operator
    tables = operator.tables
    if tables is None or operator.is_behind or not check_contact(context):
        return MAX_BODY_BYTES
    return min(MAX_BODY_BYTES, tables.body_limit_bytes)


def apply_tables(base: RequestLimits, tables: QueueTables | None) -> RequestLimits:
    """Return limits of requests with those that a configuration states."""
    if tables is None:
        return base
    return replace(
        base,
        header_bytes=min(
            MAX_HEADER_BYTES, tables.header_limit_bytes or base.header_bytes
        ),
        header_seconds=tables.header_timeout_seconds or base.header_seconds,
        idle_seconds=tables.idle_timeout_seconds or base.idle_seconds,
    )


def make_node_guard(context: Context, base: RequestLimits) -> InputGuard:
    """Create the owner of the input of a platform daemon.

    Parameters
    ----------
    context : Context
        Shared objects of the daemon.
    base : RequestLimits
        Limits where the configuration states none.
    """
    vm = context.settings.limits
    limits = make_input_limits(
        vm.memory_mb, read_descriptor_limit(vm.file_descriptors), MAX_BODY_BYTES
    )

    def report(kind: str, subject: str, fields: dict[str, object]) -> None:
        context.journal.write(kind, subject, **fields)

    def read_limits() -> RequestLimits:
        return apply_tables(base, context.operator.tables)

    guard = make_guard(limits, read_limits, report)
    context.metrics.registry.register(InputCollector(guard))
    return guard


# The registry hashes collectors, so they are compared by identity.
@dataclass(eq=False)
class InputCollector(Collector):
    """Exposes what clients hold, the limits and the dropped connections.

    Attributes
    ----------
    guard : InputGuard
        Owner of the input.
    """

    guard: InputGuard

    def collect(self) -> Iterator[Metric]:
        """Yield gauges by port, and counters by port and reason."""
        rows = {port: self.guard.describe(port) for port in PortClass}
        for name, text in (
            ("held_bytes", "Bytes that connections hold."),
            ("most_bytes", "Most bytes that connections may hold."),
            ("connections", "Open connections."),
            ("most_connections", "Most open connections."),
            ("buffer_bytes", "Bytes reserved for enlarged receive buffers."),
        ):
            family = GaugeMetricFamily(
                f"cardamomdyke_input_{name}", text, labels=["port"]
            )
            for port, row in rows.items():
                family.add_metric([port], float(str(row[name])))
            yield family
        yield GaugeMetricFamily(
            "cardamomdyke_input_relayed_bytes",
            "Bytes of requests that are relayed to peers.",
            value=self.guard.budget.relayed_bytes,
        )
        dropped = CounterMetricFamily(
            "cardamomdyke_connections_dropped",
            "Connections dropped, by port and reason.",
            labels=["port", "reason"],
        )
        for name, amount in sorted(self.guard.counts.items()):
            dropped.add_metric(name.split("."), amount)
        yield dropped
