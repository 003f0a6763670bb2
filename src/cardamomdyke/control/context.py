"""What the parts of a daemon on the platform share."""

import asyncio
from dataclasses import dataclass, field

from tornado.curl_httpclient import CurlAsyncHTTPClient

from cardamomdyke.control.appends import Appender
from cardamomdyke.control.clock import UnixClock, make_unix_clock
from cardamomdyke.control.feeds import TopicFeed
from cardamomdyke.control.journal import Journal
from cardamomdyke.control.metrics import Metrics
from cardamomdyke.jobs.ledger import Ledger
from cardamomdyke.jobs.retention import Retention
from cardamomdyke.membership.peers import Peer
from cardamomdyke.model.queues import QueueTables
from cardamomdyke.model.servers import ServerEntry
from cardamomdyke.platform.records import KeyedRecord
from cardamomdyke.platform.servers import decode_entry
from cardamomdyke.platform.settings import NodeSettings
from cardamomdyke.platform.store import SERVERS_TOPIC, StoreClient
from cardamomdyke.platform.tables import (
    TABLES_KEY,
    decode_tables,
    read_evacuated_domain,
)

# The store is asked each 0.2 s whether this daemon may plan. Without an answer to
# anything for this long, nothing more is sent that could not be taken back.
CONTACT_SECONDS = 0.7


@dataclass
class OperatorState:
    """What the operator has published.

    Attributes
    ----------
    journal : Journal
        Log of the daemon.
    tables : QueueTables or None
        Newest configuration that could be read; None before the first.
    evacuated : set of str
        Failure domains that are out of service.
    """

    journal: Journal
    tables: QueueTables | None = None
    evacuated: set[str] = field(default_factory=set)

    def apply(self, record: KeyedRecord) -> None:
        """Take one record of the operator into account."""
        if record.key == TABLES_KEY:
            self.apply_tables(record.value)
        domain = read_evacuated_domain(record.key)
        if not domain:
            return
        if record.value:
            self.evacuated.add(domain)
        else:
            self.evacuated.discard(domain)
        self.journal.write("domain.changed", domain, evacuated=bool(record.value))

    def apply_tables(self, data: bytes) -> None:
        """Put a configuration in force unless it is older than the current one."""
        result = decode_tables(data)
        if result.is_error():
            self.journal.write("tables.malformed", TABLES_KEY, detail=result.error)
            return
        tables = result.ok
        if self.tables is not None and tables.version <= self.tables.version:
            return
        former = None if self.tables is None else self.tables.version
        self.tables = tables
        self.journal.write(
            "tables.in_force",
            str(tables.version),
            former=former,
            routes=len(tables.routes),
            accounts=len(tables.accounts),
        )

    def reset(self) -> None:
        """Forget evacuations before they are read anew; tables never go back."""
        self.evacuated.clear()


@dataclass
class ServerDirectory:
    """Backend servers that the store lists.

    Attributes
    ----------
    store : StoreClient
        The platform's store.
    journal : Journal
        Log of the daemon.
    entries : dict of str to ServerEntry
        Entries that can be used, by name.
    """

    store: StoreClient
    journal: Journal
    entries: dict[str, ServerEntry] = field(default_factory=dict)

    def apply(self, record: KeyedRecord) -> None:
        """Take one record of a backend server into account."""
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
        """Forget all entries before they are read anew."""
        self.entries.clear()

    def list_entries(self) -> list[ServerEntry]:
        """Return the entries that can be used."""
        return list(self.entries.values())


def make_server_feed(directory: ServerDirectory, pause_seconds: float) -> TopicFeed:
    """Build the feed that keeps a directory of backend servers current."""
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
    """Shared parts of one daemon.

    Attributes
    ----------
    settings : NodeSettings
        Settings of the daemon.
    http : CurlAsyncHTTPClient
        The loop's HTTP client.
    store : StoreClient
        The platform's store.
    journal : Journal
        Log and counters.
    ledger : Ledger
        All jobs.
    operator : OperatorState
        Configuration and evacuations.
    work : TopicFeed
        Keeps the ledger current.
    retention : Retention
        Jobs that ended, and since when this VM knows.
    metrics : Metrics
        Histograms, and what else a scraper reads.
    appender : Appender
        Appends what callers' requests cause.
    peers : dict of str to Peer
        Daemons that have announced themselves, by VM.
    changed : asyncio.Event
        Set, and replaced by a new one, when the ledger has changed.
    unix_clock : UnixClock
        Time of day without jumps.
    announcement : asyncio.Event
        Set while the store holds what this daemon announces of itself.
    stopping : bool
        True once the daemon has been told to stop.
    """

    settings: NodeSettings
    http: CurlAsyncHTTPClient
    store: StoreClient
    journal: Journal
    ledger: Ledger
    operator: OperatorState
    work: TopicFeed
    retention: Retention
    metrics: Metrics
    appender: Appender
    peers: dict[str, Peer] = field(default_factory=dict)
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    unix_clock: UnixClock = field(default_factory=make_unix_clock)
    announcement: asyncio.Event = field(default_factory=asyncio.Event)
    stopping: bool = False

    def announce_change(self) -> None:
        """Wake everything that waits for a change of the ledger."""
        self.changed.set()
        self.changed = asyncio.Event()

    def apply_settings(self, settings: NodeSettings) -> None:
        """Take over settings that were read again."""
        self.settings = settings


def check_contact(context: Context, seconds: float = CONTACT_SECONDS) -> bool:
    """Tell whether the store answered a short time ago."""
    contact = context.store.contact
    return contact.clock() - contact.answered_at <= seconds
