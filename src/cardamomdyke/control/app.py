"""Wires the parts of a daemon on the platform together and runs its loop."""

import asyncio
import signal

from tornado.httpserver import HTTPServer
from tornado.web import Application

from cardamomdyke.adapters.http import make_http_client
from cardamomdyke.control.appends import Appender
from cardamomdyke.control.candidacy import make_candidacy
from cardamomdyke.control.clock import read_clock, read_unix_time
from cardamomdyke.control.context import Context, OperatorState
from cardamomdyke.control.driver import Planning
from cardamomdyke.control.feeds import TopicFeed
from cardamomdyke.control.ingress import (
    make_caller_application,
    make_readiness_application,
)
from cardamomdyke.control.journal import make_journal
from cardamomdyke.control.leadership import Leadership
from cardamomdyke.control.metrics import (
    Reading,
    ReadingCollector,
    make_metrics,
    make_metrics_application,
)
from cardamomdyke.control.processor import RequestProcessor
from cardamomdyke.control.relay import Relay, RequestReceiver
from cardamomdyke.control.reload import Reloader
from cardamomdyke.jobs.ledger import Ledger, apply_record, is_waiting
from cardamomdyke.jobs.retention import make_retention
from cardamomdyke.membership.peers import (
    HEARTBEAT_KEY,
    PEER_PREFIX,
    Peer,
    decode_peer,
    encode_peer,
)
from cardamomdyke.platform.records import KeyedRecord
from cardamomdyke.platform.settings import NodeSettings
from cardamomdyke.platform.store import (
    OPERATOR_TOPIC,
    WORK_TOPIC,
    StoreClient,
    StoreContact,
)
from cardamomdyke.protocol.client import PeerClient
from cardamomdyke.protocol.gen.ttypes import RelayCall
from cardamomdyke.protocol.progress import Progress
from cardamomdyke.protocol.server import make_peer_application

# Long polls end after this time, so that a connection that went silent is
# noticed; the configuration has to be in force within 2 s.
POLL_SECONDS = 1.0
# The balancer asks each second and needs two misses before it sends new
# connections elsewhere.
BALANCER_SECONDS = 2.5
# Left of the time between SIGTERM and SIGKILL for the last answers.
EXIT_MARGIN_SECONDS = 1.0
DRAIN_STEP_SECONDS = 0.05
IDLE_CONNECTION_SECONDS = 30.0
# Pause before a daemon announces itself again to a store that did not answer.
ANNOUNCE_SECONDS = 0.5
MAX_BODY_BYTES = 1_048_576


def make_context(settings: NodeSettings) -> Context:
    """Build the shared parts of a daemon; needs a running loop."""
    journal = make_journal(settings.vm)
    # Outgoing connections come from the VM's own address.
    http = make_http_client(settings.host)
    metrics = make_metrics(journal)
    contact = StoreContact(read_clock, metrics.observe_store_call)
    store = StoreClient(http, settings.store.address, contact)
    ledger = Ledger()
    operator = OperatorState(journal)
    work = TopicFeed(
        store,
        WORK_TOPIC,
        journal,
        apply=lambda record: None,
        reset=lambda: None,
        notify=lambda: None,
        wait_seconds=POLL_SECONDS,
    )
    retention = make_retention(settings.bounds.status_seconds)
    return Context(
        settings,
        http,
        store,
        journal,
        ledger,
        operator,
        work,
        retention,
        metrics,
        Appender(store, settings.store.append_limit_bytes),
    )


def connect_ledger(context: Context, planning: Planning, peer: Peer) -> None:
    """Let the feed of jobs keep the ledger, the peers and the planner current."""

    def apply(record: KeyedRecord) -> None:
        if record.key == HEARTBEAT_KEY:
            planning.candidacy.record_heartbeat()
            return
        if record.key.startswith(PEER_PREFIX):
            apply_peer(context, record)
            if not record.value and record.key == PEER_PREFIX + peer.vm:
                context.announcement.clear()
            return
        change = apply_record(context.ledger, record.key, record.value)
        if change.detail:
            context.journal.write("record.malformed", record.key, detail=change.detail)
        planning.handle_change(change)

    def reset() -> None:
        context.ledger.jobs.clear()
        context.ledger.cancelled.clear()
        context.ledger.progress.clear()
        context.retention.ended.clear()

    context.work.apply = apply
    context.work.reset = reset
    context.work.notify = context.announce_change


def apply_peer(context: Context, record: KeyedRecord) -> None:
    """Take over what a daemon announces of itself."""
    vm = record.key.removeprefix(PEER_PREFIX)
    if not record.value:
        context.peers.pop(vm, None)
        return
    result = decode_peer(record.value)
    if result.is_error():
        context.journal.write("record.malformed", record.key, detail=result.error)
        return
    context.peers[vm] = result.ok


async def announce_forever(context: Context, peer: Peer) -> None:
    """Tell the other daemons where this one is, again when that was dropped."""
    record = KeyedRecord(PEER_PREFIX + peer.vm, encode_peer(peer))
    while True:
        if not context.announcement.is_set():
            result = await context.store.append_records(WORK_TOPIC, [record])
            if result.is_ok():
                context.announcement.set()
        await asyncio.sleep(ANNOUNCE_SECONDS)


def make_request_receiver(context: Context) -> RequestReceiver:
    """Build what serves callers."""
    relay = Relay(context, PeerClient(context.http))
    return RequestReceiver(context, RequestProcessor(context), relay)


def start_servers(
    context: Context, peer: Peer, reception: RequestReceiver, progress: Progress
) -> list[HTTPServer]:
    """Listen for callers, for the balancer and for the other daemons."""
    settings = context.settings
    peers = make_peer_application(
        {"relay_request": (reception.answer_peer, RelayCall)}, progress
    )
    callers = make_caller_application(reception, progress)
    return [
        start_server(callers, settings.caller_address),
        start_server(make_readiness_application(context), settings.readiness_address),
        start_server(peers, peer.address),
    ]


def make_operator_feed(context: Context) -> TopicFeed:
    """Build the feed that keeps configuration and evacuations current."""
    return TopicFeed(
        context.store,
        OPERATOR_TOPIC,
        context.journal,
        context.operator.apply,
        context.operator.reset,
        lambda: None,
        wait_seconds=POLL_SECONDS,
    )


def start_metrics(
    context: Context, leadership: Leadership, port: int
) -> list[HTTPServer]:
    """Listen for scrapers; without the port the daemon serves callers all the same."""

    def read_state() -> Reading:
        tables = context.operator.tables
        waiting = sum(is_waiting(context.ledger, name) for name in context.ledger.jobs)
        return Reading(
            leadership.term,
            read_clock() - context.store.contact.answered_at,
            waiting,
            len(context.ledger.jobs),
            0 if tables is None else tables.version,
        )

    if not port:
        return []
    context.metrics.registry.register(ReadingCollector(read_state))
    address = f"{context.settings.host}:{port}"
    application = make_metrics_application(context.metrics)
    try:
        return [start_server(application, address)]
    except OSError as error:
        context.journal.write("metrics.unavailable", address, detail=str(error))
        return []


async def run_node(settings: NodeSettings, path: str, metrics_port: int = 0) -> None:
    """Serve until a termination signal, then drain and return.

    Parameters
    ----------
    settings : NodeSettings
        Settings of the daemon.
    path : str
        File that they were read from; it is read again when it changes.
    metrics_port : int
        Port for scrapers; 0 for none.
    """
    context = make_context(settings)
    journal = context.journal
    started = round(read_unix_time() * 1000)
    candidacy = make_candidacy(context)
    leadership = Leadership(
        context.store,
        journal,
        f"{settings.vm}.{started}",
        is_candidate=candidacy.check_standing,
    )
    planning = Planning(context, leadership, candidacy)
    peer = Peer(
        settings.vm,
        f"{settings.host}:{settings.peer_port}",
        settings.failure_domain,
        settings.power,
    )
    connect_ledger(context, planning, peer)
    reloader = Reloader(path, settings, journal, context.apply_settings)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGHUP, reloader.ask)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    progress = Progress()
    servers = start_servers(context, peer, make_request_receiver(context), progress)
    servers += start_metrics(context, leadership, metrics_port)
    joining = loop.create_task(leadership.join_forever())
    tasks = [
        loop.create_task(coroutine)
        for coroutine in (
            make_operator_feed(context).follow_forever(),
            context.work.follow_forever(),
            announce_forever(context, peer),
            planning.run_forever(),
            reloader.watch_forever(),
            context.unix_clock.take_readings_forever(),
        )
    ]
    journal.write("daemon.started", settings.vm, domain=settings.failure_domain)
    await stop.wait()
    joining.cancel()
    await drain(context, leadership, servers, progress)
    for task in tasks:
        task.cancel()
    await asyncio.gather(joining, *tasks, return_exceptions=True)
    journal.write("daemon.stopped", settings.vm)


def start_server(application: Application, address: str) -> HTTPServer:
    """Listen on an address."""
    host, _, port = address.rpartition(":")
    server = HTTPServer(
        application,
        idle_connection_timeout=IDLE_CONNECTION_SECONDS,
        max_body_size=MAX_BODY_BYTES,
    )
    server.listen(int(port), host)
    return server


async def drain(
    context: Context,
    leadership: Leadership,
    servers: list[HTTPServer],
    progress: Progress,
) -> None:
    """Hand the planning over, and serve on until the balancer has noticed."""
    began = read_clock()
    context.stopping = True
    progress.draining = True
    context.journal.write("daemon.draining", context.settings.vm)
    await leadership.leave()
    await asyncio.sleep(max(0.0, BALANCER_SECONDS - (read_clock() - began)))
    for server in servers:
        server.stop()
    grace = context.settings.bounds.shutdown_grace_seconds - EXIT_MARGIN_SECONDS
    while progress.requests and read_clock() - began < grace:
        await asyncio.sleep(DRAIN_STEP_SECONDS)
    left = max(0.1, grace - (read_clock() - began))
    try:
        closing = asyncio.gather(
            *(server.close_all_connections() for server in servers)
        )
        await asyncio.wait_for(closing, left)
    except TimeoutError:
        context.journal.write("daemon.drain_cut", context.settings.vm)
