"""Shared objects of a platform daemon."""

import asyncio
from dataclasses import dataclass, field

from tornado.curl_httpclient import CurlAsyncHTTPClient

from cardamomdyke.control.admission_view import AdmissionView
from cardamomdyke.control.appends import Appender
from cardamomdyke.control.clock import UnixClock, make_unix_clock
from cardamomdyke.control.feeds import TopicFeed
from cardamomdyke.control.journal import Journal
from cardamomdyke.control.metrics import Metrics
from cardamomdyke.jobs.budget import JobBudget, make_job_budget
from cardamomdyke.jobs.ledger import Ledger
from cardamomdyke.jobs.retention import Retention
from cardamomdyke.membership.peers import Peer
from cardamomdyke.model.queues import QueueTables, is_superseded
from cardamomdyke.model.servers import ServerEntry
from cardamomdyke.planner.silences import SilenceLedger
from cardamomdyke.platform.records import KeyedRecord
from cardamomdyke.platform.servers import decode_entry
from cardamomdyke.platform.settings import NodeSettings
from cardamomdyke.platform.store import SERVERS_TOPIC, StoreClient
from cardamomdyke.platform.tables import (
    TABLES_KEY,
    decode_tables,
    parse_evacuated_domain,
)

# The store is asked every 0.2 s whether this daemon may plan. After this long
# without any answer, nothing is sent that could not be undone.
CONTACT_TIMEOUT_SECONDS = 0.7


@dataclass
class OperatorState:
    """Configuration and evacuations that the operator has published.

    Attributes
    ----------
    journal : Journal
        Log of the daemon.
    tables : QueueTables or None
        Newest configuration that could be decoded; None before the first.
    evacuated : set of str
        Failure domains that are out of service.
    served_version : int
        Newest version that this daemon has served by, here or through a peer.
    """

    journal: Journal
    tables: QueueTables | None = None
    evacuated: set[str] = field(default_factory=set)
    served_version: int = 0

    @property
    def is_behind(self) -> bool:
        """Whether callers were served by a newer configuration than `tables`."""
        return self.tables is not None and self.tables.version < self.served_version

    def record_served(self, version: int) -> None:
        """Record the version by which a request was served."""
        self.served_version = max(self.served_version, version)

    def apply(self, record: KeyedRecord) -> None:
        """Apply one record of the operator's topic."""
        if record.key == TABLES_KEY:
            self.apply_tables(record.value)
        domain = parse_evacuated_domain(record.key)
        if not domain:
            return
        if record.value:
            self.evacuated.add(domain)
        else:
            self.evacuated.discard(domain)
        self.journal.write("domain.changed", domain, evacuated=bool(record.value))

    def apply_tables(self, data: bytes) -> None:
        """Put a configuration in force if its version is higher."""
        result = decode_tables(data)
        if result.is_error():
            self.journal.write("tables.malformed", TABLES_KEY, detail=result.error)
            return
        tables = result.ok
        if self.tables is not None and not is_superseded(self.tables, tables):
            return
        previous_version = None if self.tables is None else self.tables.version
        self.tables = tables
        self.journal.write(
            "tables.in_force",
            str(tables.version),
            former=previous_version,
            routes=len(tables.routes),
            accounts=len(tables.accounts),
        )

    def reset(self) -> None:
        """Clear the evacuations before a full read; tables never go back."""
        self.evacuated.clear()


@dataclass
class ServerDirectory:
    """Backend servers listed in the store.

    Attributes
    ----------
    store : StoreClient
        The platform's store.
    journal : Journal
        Log of the daemon.
    entries : dict of str to ServerEntry
        Entries that could be decoded, by server name.
    """

    store: StoreClient
    journal: Journal
    entries: dict[str, ServerEntry] = field(default_factory=dict)

    def apply(self, record: KeyedRecord) -> None:
        """Apply one record; an empty value removes the entry."""
        if not record.value:
            self.entries.pop(record.key, None)
            return
        result = decode_entry(record.key, record.value)
        if result.is_ok():
            self.entries[record.key] = result.ok
            return
        self.entries.pop(record.key, None)
        self.journal.write("server.malformed", record.key, detail=result.error)

    def reset(self) -> None:
        """Clear all entries before a full read."""
        self.entries.clear()

    def list_entries(self) -> list[ServerEntry]:
        """Return the decoded entries."""
        return list(self.entries.values())


def make_server_feed(directory: ServerDirectory, pause_seconds: float) -> TopicFeed:
    """Create the feed that keeps a directory current."""
    return TopicFeed(
        directory.store,
        SERVERS_TOPIC,
        directory.journal,
        directory.apply,
        directory.reset,
        lambda: None,
        wait_seconds=0.0,
        pause_seconds=pause_seconds,
    )


@dataclass
class Context:
    """Shared objects of one daemon.

    Attributes
    ----------
    settings : NodeSettings
        Settings of the daemon; replaced after a reload.
    http : CurlAsyncHTTPClient
        HTTP client of the event loop.
    store : StoreClient
        The platform's store.
    journal : Journal
        Log and counters.
    ledger : Ledger
        All jobs in the store.
    operator : OperatorState
        Configuration and evacuations.
    work_feed : TopicFeed
        Keeps the ledger and the peers current.
    retention : Retention
        Ended jobs, and when this VM read their end.
    metrics : Metrics
        Registry and histograms for scrapers.
    appender : Appender
        Appends the records of caller requests.
    silences : SilenceLedger
        Servers that planners have recorded as silent.
    admission : AdmissionView
        What admissions are decided by.
    job_budget : JobBudget
        Memory of the jobs in the store.
    heartbeat_fence : int
        Fencing token in the newest heartbeat of a planner; 0 before the first.
    slow_servers : int
        Servers that this daemon's current or last term found slow.
    peers : dict of str to Peer
        Daemons that have announced themselves, by VM.
    ledger_changed : asyncio.Event
        Set, and replaced, when the ledger has changed.
    unix_clock : UnixClock
        Unix time without jumps.
    announced : asyncio.Event
        Set while the store holds this daemon's announcement.
    stopping : bool
        True after a termination signal.
    """

    settings: NodeSettings
    http: CurlAsyncHTTPClient
    store: StoreClient
    journal: Journal
    ledger: Ledger
    operator: OperatorState
    work_feed: TopicFeed
    retention: Retention
    metrics: Metrics
    appender: Appender
    silences: SilenceLedger = field(default_factory=SilenceLedger)
    admission: AdmissionView = field(default_factory=AdmissionView)
    job_budget: JobBudget = field(default_factory=make_job_budget)
    heartbeat_fence: int = 0
    slow_servers: int = 0
    peers: dict[str, Peer] = field(default_factory=dict)
    ledger_changed: asyncio.Event = field(default_factory=asyncio.Event)
    unix_clock: UnixClock = field(default_factory=make_unix_clock)
    announced: asyncio.Event = field(default_factory=asyncio.Event)
    stopping: bool = False

    def notify_ledger_changed(self) -> None:
        """Wake all tasks that wait for a ledger change."""
        self.ledger_changed.set()
        self.ledger_changed = asyncio.Event()

    def apply_settings(self, settings: NodeSettings) -> None:
        """Replace the settings after a reload."""
        self.settings = settings


def check_contact(
    context: Context, limit_seconds: float = CONTACT_TIMEOUT_SECONDS
) -> bool:
    """Return whether the store's last answer is at most `limit_seconds` old."""
    contact = context.store.contact
    return contact.clock() - contact.answered_at <= limit_seconds
