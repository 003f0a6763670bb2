"""Counters, sent to statsd and shown by the status command."""

from collections import Counter
from dataclasses import dataclass, field

from statsd import StatsClient

STATSD_PREFIX = "cardamomdyke"


@dataclass(frozen=True)
class Counters:
    """Counts since the daemon started.

    Attributes
    ----------
    values : Counter of str to int
        Count by counter name.
    client : StatsClient or None
        Receives each increment over UDP; None sends nothing.
    """

    values: Counter[str] = field(default_factory=Counter)
    client: StatsClient | None = None

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""
        self.values[name] += amount
        if self.client is not None:
            self.client.incr(name, amount)


def make_counters(statsd_address: str) -> Counters:
    """Create counters; an empty address disables statsd."""
    if not statsd_address:
        return Counters()
    host, _, port = statsd_address.rpartition(":")
    return Counters(client=StatsClient(host, int(port), prefix=STATSD_PREFIX))
