"""Assembles a platform daemon and runs it until a termination signal."""

import asyncio
import signal

from tornado.httpserver import HTTPServer
from tornado.web import Application

from cardamomdyke.adapters.http import make_http_client
from cardamomdyke.control.appends import Appender
from cardamomdyke.control.candidacy import make_candidacy
from cardamomdyke.control.clock import read_clock, read_unix_time
from cardamomdyke.control.context import Context, OperatorState
from cardamomdyke.control.feeds import TopicFeed
from cardamomdyke.control.forecasting import apply_summary, confirm_summaries
from cardamomdyke.control.ingress import (
    make_caller_application,
    make_header_refusal,
    make_readiness_application,
)
from cardamomdyke.control.inputs import MAX_BODY_BYTES, make_node_guard
from cardamomdyke.control.journal import make_journal
from cardamomdyke.control.leadership import Leadership
from cardamomdyke.control.metrics import (
    Gauges,
    GaugesCollector,
    make_metrics,
    make_metrics_application,
)
from cardamomdyke.control.processor import RequestProcessor
from cardamomdyke.control.relay import Relay, RequestReceiver
from cardamomdyke.control.reload import Reloader
from cardamomdyke.control.supervision import run_supervised
from cardamomdyke.control.terms import PlannerRunner
from cardamomdyke.jobs.budget import make_job_budget
from cardamomdyke.jobs.ledger import Ledger, apply_record, is_waiting
from cardamomdyke.jobs.retention import make_retention
from cardamomdyke.membership.peers import (
    HEARTBEAT_KEY,
    PEER_PREFIX,
    Peer,
    decode_peer,
    encode_peer,
)
from cardamomdyke.planner.silences import SILENCE_PREFIX
from cardamomdyke.planner.summaries import SUMMARY_PREFIX
from cardamomdyke.platform.records import KeyedRecord
from cardamomdyke.platform.settings import NodeSettings
from cardamomdyke.platform.store import (
    OPERATOR_TOPIC,
    WORK_TOPIC,
    StoreClient,
    StoreContact,
)
from cardamomdyke.protocol.client import PeerClient
from cardamomdyke.protocol.connections import (
    MAX_HEADER_BYTES,
    SMALL_BODY_BYTES,
    start_caller_server,
)
from cardamomdyke.protocol.gen.ttypes import RelayCall
from cardamomdyke.protocol.guard import InputGuard
from cardamomdyke.protocol.limits import PortClass, RequestLimits
from cardamomdyke.protocol.progress import Progress
from cardamomdyke.protocol.server import make_peer_application

# Longest long poll. It bounds how long a dead connection goes unnoticed; a new
# configuration has to be in force within 2 s.
POLL_WAIT_SECONDS = 1.0
# The load balancer checks every second and stops sending new connections after
# two failed checks.
BALANCER_WAIT_SECONDS = 2.5
# Draining ends this long before SIGKILL, which leaves time for the last answers.
EXIT_MARGIN_SECONDS = 1.0
DRAIN_CHECK_PERIOD_SECONDS = 0.05
# A relayed request is a little longer than its body and the longest headers.
PEER_BODY_BYTES = MAX_BODY_BYTES + 2 * MAX_HEADER_BYTES
# Pause before an announcement without an answer is repeated.
ANNOUNCE_WAIT_SECONDS = 0.5


def make_context(settings: NodeSettings) -> Context:
    """Create the shared objects of a daemon; requires a running event loop."""
    journal = make_journal(settings.vm)
    # Outgoing connections are bound to the VM's own address.
    http = make_http_client(settings.host)
    metrics = make_metrics(journal)
    contact = StoreContact(read_clock, metrics.observe_store_call)
    store = StoreClient(
        http, settings.store.address, contact, settings.store.limits.record_bytes
    )
    ledger = Ledger()
    operator = OperatorState(journal)
    work_feed = TopicFeed(
        store,
        WORK_TOPIC,
        journal,
        apply=lambda record: None,
        reset=lambda: None,
        notify=lambda: None,
        wait_seconds=POLL_WAIT_SECONDS,
    )
    retention = make_retention(settings.bounds.status_seconds)
    return Context(
        settings,
        http,
        store,
        journal,
        ledger,
        operator,
        work_feed,
        retention,
        metrics,
        Appender(store, settings.store.limits.append_bytes),
    )


def connect_ledger(context: Context, planner_runner: PlannerRunner, peer: Peer) -> None:
    """Apply records of the work topic to the ledger, the peers and the planner."""

    def apply(record: KeyedRecord) -> None:
        if record.key == HEARTBEAT_KEY:
            planner_runner.candidacy.record_heartbeat()
            if record.value.isdigit():
                context.heartbeat_fence = int(record.value)
                confirm_summaries(context)
            return
        if record.key.startswith(SUMMARY_PREFIX):
            apply_summary(context, record)
            return
        if record.key.startswith(SILENCE_PREFIX):
            if not context.silences.apply(record.key, record.value, read_clock()):
                context.journal.write("record.malformed", record.key)
            return
        if record.key.startswith(PEER_PREFIX):
            apply_peer(context, record)
            if not record.value and record.key == PEER_PREFIX + peer.vm:
                context.announced.clear()
            return
        change = apply_record(context.ledger, record.key, record.value)
        if change.detail:
            context.journal.write("record.malformed", record.key, detail=change.detail)
        context.admission.handle_change(context.ledger, change)
        context.job_budget.handle_change(context.ledger, change)
        planner_runner.handle_change(change)

    def reset() -> None:
        context.ledger.clear()
        context.silences.silences.clear()
        context.retention.clear()
        context.admission.clear()
        context.job_budget.clear()

    context.work_feed.apply = apply
    context.work_feed.reset = reset
    context.work_feed.notify = context.notify_ledger_changed


def apply_peer(context: Context, record: KeyedRecord) -> None:
    """Apply the announcement of a daemon; an empty value removes the peer."""
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
    """Append this daemon's announcement, again whenever it was removed."""
    record = KeyedRecord(PEER_PREFIX + peer.vm, encode_peer(peer))
    while True:
        if not context.announced.is_set():
            result = await context.store.append_records(WORK_TOPIC, [record])
            if result.is_ok():
                context.announced.set()
        await asyncio.sleep(ANNOUNCE_WAIT_SECONDS)


def make_request_receiver(context: Context, guard: InputGuard) -> RequestReceiver:
    """Create the handler of caller requests."""
    relay = Relay(context, PeerClient(context.http), budget=guard.budget)
    return RequestReceiver(context, RequestProcessor(context), relay)


def start_servers(
    context: Context,
    peer: Peer,
    receiver: RequestReceiver,
    progress: Progress,
    guard: InputGuard,
) -> list[HTTPServer]:
    """Start the HTTP servers for callers, the load balancer and peer daemons."""
    settings = context.settings
    peers = make_peer_application(
        {"relay_request": (receiver.serve_peer, RelayCall)}, progress, PEER_BODY_BYTES
    )
    callers = make_caller_application(receiver, progress)
    host, _, port = settings.caller_address.rpartition(":")
    return [
        start_caller_server(
            callers,
            host,
            int(port),
            lambda: make_header_refusal(receiver, guard),
            guard=guard,
        ),
        start_server(
            make_readiness_application(context),
            settings.readiness_address,
            guard,
            PortClass.READINESS,
        ),
        start_server(peers, peer.address, guard, PortClass.PEERS),
    ]


def make_operator_feed(context: Context) -> TopicFeed:
    """Create the feed that applies configurations and evacuations."""
    return TopicFeed(
        context.store,
        OPERATOR_TOPIC,
        context.journal,
        context.operator.apply,
        context.operator.reset,
        lambda: None,
        wait_seconds=POLL_WAIT_SECONDS,
    )


def start_metrics(
    context: Context, leadership: Leadership, port: int, guard: InputGuard
) -> list[HTTPServer]:
    """Start the metrics server; a port in use is logged, not fatal."""

    def read_gauges() -> Gauges:
        tables = context.operator.tables
        jobs_waiting = sum(
            is_waiting(context.ledger, name) for name in context.ledger.jobs
        )
        return Gauges(
            leadership.term,
            read_clock() - context.store.contact.answered_at,
            jobs_waiting,
            len(context.ledger.jobs),
            0 if tables is None else tables.version,
            context.slow_servers if leadership.term else 0,
            tuple(context.admission.summaries.list_waits(read_clock())),
            context.job_budget.held_bytes.total(),
            context.job_budget.most_bytes,
        )

    if not port:
        return []
    context.metrics.registry.register(GaugesCollector(read_gauges))
    address = f"{context.settings.host}:{port}"
    application = make_metrics_application(context.metrics)
    try:
        return [start_server(application, address, guard, PortClass.METRICS)]
    except OSError as error:
        context.journal.write("metrics.unavailable", address, detail=str(error))
        return []


async def run_node(
    settings: NodeSettings,
    path: str,
    metrics_port: int = 0,
    requests: RequestLimits | None = None,
) -> None:
    """Serve until a termination signal, then drain and return.

    Parameters
    ----------
    settings : NodeSettings
        Settings of the daemon.
    path : str
        Settings file, read again when it changes.
    metrics_port : int
        Port of the metrics server; 0 for none.
    requests : RequestLimits, optional
        Limits of requests where the configuration states none.
    """
    context = make_context(settings)
    journal = context.journal
    started_unix_ms = round(read_unix_time() * 1000)
    candidacy = make_candidacy(context)
    leadership = Leadership(
        context.store,
        journal,
        f"{settings.vm}.{started_unix_ms}",
        is_candidate=candidacy.is_candidate,
    )
    planner_runner = PlannerRunner(context, leadership, candidacy)
    peer = Peer(
        settings.vm,
        f"{settings.host}:{settings.peer_port}",
        settings.failure_domain,
        settings.power,
    )
    connect_ledger(context, planner_runner, peer)
    reloader = Reloader(path, settings, journal, context.apply_settings)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGHUP, reloader.request_reload)
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    progress = Progress()
    limits = requests or RequestLimits()
    context.job_budget = make_job_budget(
        settings.limits.memory_mb, limits.job_share, limits.account_share
    )
    guard = make_node_guard(context, limits)
    receiver = make_request_receiver(context, guard)
    servers = start_servers(context, peer, receiver, progress, guard)
    servers += start_metrics(context, leadership, metrics_port, guard)
    join_task = loop.create_task(
        run_supervised(journal, "join", leadership.join_forever)
    )
    tasks = [
        loop.create_task(run_supervised(journal, name, run))
        for name, run in {
            "operator feed": make_operator_feed(context).follow_forever,
            "work feed": context.work_feed.follow_forever,
            "announcement": lambda: announce_forever(context, peer),
            "planner": planner_runner.run_forever,
            "settings": reloader.watch_forever,
            "clock": context.unix_clock.record_readings_forever,
            "pauses": context.store.contact.watch_pauses_forever,
        }.items()
    ]
    journal.write("daemon.started", settings.vm, domain=settings.failure_domain)
    await stop.wait()
    join_task.cancel()
    await drain(context, leadership, servers, progress)
    for task in tasks:
        task.cancel()
    await asyncio.gather(join_task, *tasks, return_exceptions=True)
    journal.write("daemon.stopped", settings.vm)


def start_server(
    application: Application, address: str, guard: InputGuard, port_class: PortClass
) -> HTTPServer:
    """Start an HTTP server on ``host:port``."""
    host, _, port = address.rpartition(":")
    is_for_peers = port_class is PortClass.PEERS
    return start_caller_server(
        application,
        host,
        int(port),
        guard=guard,
        port_class=port_class,
        body_bytes=PEER_BODY_BYTES if is_for_peers else SMALL_BODY_BYTES,
    )


async def drain(
    context: Context,
    leadership: Leadership,
    servers: list[HTTPServer],
    progress: Progress,
) -> None:
    """Leave the planner group, serve until the load balancer notices, then close."""
    began_at = read_clock()
    context.stopping = True
    progress.draining = True
    context.journal.write("daemon.draining", context.settings.vm)
    await leadership.leave()
    await asyncio.sleep(max(0.0, BALANCER_WAIT_SECONDS - (read_clock() - began_at)))
    for server in servers:
        server.stop()
    grace_seconds = context.settings.bounds.shutdown_grace_seconds - EXIT_MARGIN_SECONDS
    while progress.requests and read_clock() - began_at < grace_seconds:
        await asyncio.sleep(DRAIN_CHECK_PERIOD_SECONDS)
    remaining_seconds = max(0.1, grace_seconds - (read_clock() - began_at))
    try:
        closing = asyncio.gather(
            *(server.close_all_connections() for server in servers)
        )
        await asyncio.wait_for(closing, remaining_seconds)
    except TimeoutError:
        context.journal.write("daemon.drain_cut", context.settings.vm)
