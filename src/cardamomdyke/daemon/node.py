"""State and clients shared by a daemon's components."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from tornado.curl_httpclient import CurlAsyncHTTPClient

from cardamomdyke.adapters.backend import BackendClient
from cardamomdyke.adapters.vmlist import Machine, VmListClient
from cardamomdyke.configuration.evidence import NEVER, Contact, Evidence
from cardamomdyke.configuration.fold import FoldState
from cardamomdyke.configuration.orders import Order
from cardamomdyke.daemon.appends import LimitedLogClient
from cardamomdyke.daemon.settings import Settings
from cardamomdyke.membership.view import View
from cardamomdyke.model.tables import Configuration
from cardamomdyke.observability.counters import Counters
from cardamomdyke.observability.events import Timeline
from cardamomdyke.protocol.client import PeerClient
from cardamomdyke.protocol.progress import Progress

TICK_PERIOD_SECONDS = 0.25
# A longer gap between ticks counts as a pause of the event loop.
MIN_PAUSE_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class Ticket:
    """Newest start ticket of a backend server.

    Attributes
    ----------
    text : str
        The ticket, opaque here.
    received_at : float
        Steady-clock seconds.
    """

    text: str
    received_at: float


@dataclass
class Node:
    """Shared state of a daemon; only code on its event loop changes it.

    Attributes
    ----------
    settings : Settings
        Validated settings.
    origins : dict of str to str
        Flag or variable that each setting came from, or ``default``.
    incarnation : int
        Unix milliseconds at the daemon's start.
    clock : callable
        Steady clock, in seconds.
    http, backend, log, vmlist, peers
        Clients of other processes.
    counters : Counters
        Counts since the start.
    timeline : Timeline
        Newest events.
    fold : FoldState
        Configuration in force and how far the log was read.
    evidence : Evidence
        Newest evidence of the current version.
    contacts : tuple of Contact
        Reports of the failure domains on whether the log is down.
    orders : tuple of Order
        Direct orders in force.
    edits_undecided : int
        Edits appended here whose result is not known.
    view : View
        The other VMs.
    machines : dict of str to Machine
        The platform's VM list, by name.
    tickets : dict of str to Ticket
        Newest start ticket, by backend server.
    log_down : bool
        True if the last read of the log failed.
    progress : Progress
        Requests of callers and peers not yet answered.
    changed : asyncio.Event
        Set and replaced whenever a new configuration is in force.
    ticked_at : float
        Steady-clock seconds of the last tick; infinite before it.
    """

    settings: Settings
    origins: dict[str, str]
    incarnation: int
    clock: Callable[[], float]
    http: CurlAsyncHTTPClient
    backend: BackendClient
    log: LimitedLogClient
    vmlist: VmListClient
    peers: PeerClient
    counters: Counters
    timeline: Timeline
    fold: FoldState = FoldState()
    evidence: Evidence = Evidence()
    contacts: tuple[Contact, ...] = ()
    orders: tuple[Order, ...] = ()
    edits_undecided: int = 0
    view: View = field(default_factory=lambda: View({}))
    machines: dict[str, Machine] = field(default_factory=dict)
    tickets: dict[str, Ticket] = field(default_factory=dict)
    log_down: bool = False
    progress: Progress = field(default_factory=Progress)
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    ticked_at: float = float("inf")

    @property
    def configuration(self) -> Configuration | None:
        """Configuration in force; None until one is known."""
        return self.fold.configuration

    @property
    def draining(self) -> bool:
        """True after shutdown began."""
        return self.progress.draining

    @property
    def holder(self) -> str:
        """Second part of this daemon's fencing tokens."""
        return f"{self.settings.vm}:{self.incarnation}"

    def update_ticket(self, server: str, text: str) -> None:
        """Store a newer start ticket, unless it is empty."""
        if text:
            self.tickets[server] = Ticket(text, self.clock())

    def find_ticket(self, server: str) -> str:
        """Return the newest start ticket of a backend server, or an empty text."""
        self.detect_pause()
        ticket = self.tickets.get(server)
        return ticket.text if ticket else ""

    def find_ticket_age(self, server: str, now: float) -> float:
        """Return the seconds since the newest start ticket came, or 0 without one."""
        ticket = self.tickets.get(server)
        return now - ticket.received_at if ticket else 0.0

    def detect_pause(self) -> None:
        """Drop tickets, evidence and contacts after a pause of the event loop."""
        now = self.clock()
        gap = now - self.ticked_at
        self.ticked_at = now
        if gap <= MIN_PAUSE_SECONDS:
            return
        self.tickets.clear()
        self.evidence = replace(self.evidence, observed_at=NEVER)
        self.contacts = ()
        self.counters.count("daemon.pauses")
        self.timeline.record_change("daemon.paused", self.settings.vm, f"{gap:.1f} s")

    async def tick_forever(self) -> None:
        """Detect pauses of the event loop until cancelled."""
        while True:
            self.detect_pause()
            await asyncio.sleep(TICK_PERIOD_SECONDS)

    def announce_change(self) -> None:
        """Wake the tasks that wait for a new configuration."""
        self.changed.set()
        self.changed = asyncio.Event()
