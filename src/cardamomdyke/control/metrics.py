"""Counters, latency histograms and gauges of a daemon in Prometheus format."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass

from prometheus_client import CollectorRegistry, Counter, Histogram, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily
from prometheus_client.metrics_core import Metric
from prometheus_client.registry import Collector
from tornado.web import Application, RequestHandler

from cardamomdyke.control.journal import Journal

METRICS_PATH = "/metrics"
CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
# Seconds, from one answer of the store (4 ms) to the longest wait of a caller (3 s)
# and the longest long poll.
CALL_BUCKETS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 4.0)
# Seconds, from a job that finds a free server to one that waits for a whole rack.
WAIT_BUCKETS = (0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0, 60.0)


@dataclass(frozen=True)
class Gauges:
    """Gauges of a daemon at the time of a scrape.

    Attributes
    ----------
    term : int
        Fencing token of its term as planner; 0 while another daemon plans.
    store_silent_seconds : float
        Time since the store's last answer.
    jobs_waiting : int
        Accepted jobs of which no task has started.
    jobs_known : int
        Jobs in the ledger.
    tables_version : int
        Version of the configuration in force; 0 for none.
    slow_servers : int
        Backend servers that the planner found slow; 0 while another daemon plans.
    expected_waits : tuple of (str, int, float)
        Pool, priority and longest expected wait in seconds, from summaries in force.
    jobs_held_bytes, jobs_most_bytes : int
        Memory that jobs count for, and its bound.
    """

    term: int
    store_silent_seconds: float
    jobs_waiting: int
    jobs_known: int
    tables_version: int
    slow_servers: int = 0
    expected_waits: tuple[tuple[str, int, float], ...] = ()
    jobs_held_bytes: int = 0
    jobs_most_bytes: int = 0


@dataclass
class Metrics:
    """Metrics of one daemon.

    Attributes
    ----------
    registry : CollectorRegistry
        Registry of all metrics.
    request_seconds : Histogram
        Time from a request's receipt to its answer, by method and status.
    store_call_seconds : Histogram
        Duration of a call to the store, by path.
    start_wait_seconds : Histogram
        Time from a job's arrival to a unit's placement, by priority.
    starts : Counter
        Units placed, by priority, by what decided the job's place, and by whether the
        job ranked before an older one of its priority.
    """

    registry: CollectorRegistry
    request_seconds: Histogram
    store_call_seconds: Histogram
    start_wait_seconds: Histogram
    starts: Counter

    def observe_store_call(self, path: str, seconds: float) -> None:
        """Observe one call to the store."""
        self.store_call_seconds.labels(path).observe(seconds)

    def observe_request(self, method: str, code: int, seconds: float) -> None:
        """Observe one answered request."""
        self.request_seconds.labels(method, str(code)).observe(seconds)

    def observe_start(self, priority: int, seconds: float) -> None:
        """Observe one unit that was placed."""
        self.start_wait_seconds.labels(str(priority)).observe(seconds)

    def count_start(self, priority: int, standing: str, ahead_of: str) -> None:
        """Count one unit that was placed.

        Parameters
        ----------
        priority : int
            Priority of its job.
        standing : str
            What decided the job's place.
        ahead_of : str
            Older job of its priority that ranked after it; empty for none.
        """
        ahead = "yes" if ahead_of else "no"
        self.starts.labels(str(priority), standing, ahead).inc()


# The registry hashes collectors, so they are compared by identity.
@dataclass(eq=False)
class JournalCollector(Collector):
    """Exposes the journal's counters.

    Attributes
    ----------
    journal : Journal
        Log and counters of the daemon.
    """

    journal: Journal

    def collect(self) -> Iterator[Metric]:
        """Yield the counters and the number of dropped lines."""
        events = CounterMetricFamily(
            "cardamomdyke_events", "Events by kind, as in the log.", labels=["event"]
        )
        for name, amount in sorted(self.journal.counts.items()):
            events.add_metric([name], amount)
        yield events
        yield CounterMetricFamily(
            "cardamomdyke_log_lines_left_out",
            "Log lines above the limit, or not read in time.",
            value=self.journal.dropped_total,
        )


@dataclass(eq=False)
class GaugesCollector(Collector):
    """Exposes the gauges of the daemon.

    Attributes
    ----------
    read : callable
        Returns the current values.
    """

    read: Callable[[], Gauges]

    def collect(self) -> Iterator[Metric]:
        """Yield one gauge for each value."""
        gauges = self.read()
        for name, text, value in (
            ("term", "Term as planner; 0 while another plans.", gauges.term),
            (
                "store_silent_seconds",
                "Time since the store's last answer.",
                gauges.store_silent_seconds,
            ),
            ("jobs_waiting", "Jobs without a task begun.", gauges.jobs_waiting),
            ("jobs_known", "Jobs in the store.", gauges.jobs_known),
            ("tables_version", "Configuration in force.", gauges.tables_version),
            (
                "slow_servers",
                "Servers that the planner found slow.",
                gauges.slow_servers,
            ),
            (
                "jobs_held_bytes",
                "Memory that jobs count for.",
                gauges.jobs_held_bytes,
            ),
            (
                "jobs_most_bytes",
                "Most memory that jobs may count for.",
                gauges.jobs_most_bytes,
            ),
        ):
            yield GaugeMetricFamily(f"cardamomdyke_{name}", text, value=value)
        waits = GaugeMetricFamily(
            "cardamomdyke_expected_wait_seconds",
            "Longest expected wait of new work; no series for less than 1 s.",
            labels=["pool", "priority"],
        )
        for pool, priority, seconds in gauges.expected_waits:
            waits.add_metric([pool, str(priority)], seconds)
        yield waits


def make_metrics(journal: Journal) -> Metrics:
    """Create a daemon's metrics in their own registry."""
    registry = CollectorRegistry()
    registry.register(JournalCollector(journal))
    return Metrics(
        registry,
        Histogram(
            "cardamomdyke_request_seconds",
            "Time to the answer of a caller's request.",
            ("method", "code"),
            buckets=CALL_BUCKETS,
            registry=registry,
        ),
        Histogram(
            "cardamomdyke_store_call_seconds",
            "Time of a call to the store; reads include their long poll.",
            ("call",),
            buckets=CALL_BUCKETS,
            registry=registry,
        ),
        Histogram(
            "cardamomdyke_start_wait_seconds",
            "Time from a job's arrival to the placing of a unit.",
            ("priority",),
            buckets=WAIT_BUCKETS,
            registry=registry,
        ),
        Counter(
            "cardamomdyke_starts",
            "Placed units, by what decided the place of their job.",
            ("priority", "standing", "ahead"),
            registry=registry,
        ),
    )


class MetricsHandler(RequestHandler):
    """Answers scrapes."""

    def initialize(self, metrics: Metrics) -> None:
        """Store the metrics to expose."""
        self.metrics = metrics

    def get(self) -> None:
        """Answer with all metrics as text."""
        self.set_header("Content-Type", CONTENT_TYPE)
        self.finish(generate_latest(self.metrics.registry))


def make_metrics_application(metrics: Metrics) -> Application:
    """Create the application for scrapers."""
    return Application(
        [(METRICS_PATH, MetricsHandler, {"metrics": metrics})],
        log_function=lambda handler: None,
    )
