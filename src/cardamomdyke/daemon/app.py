"""Wires the parts of one daemon together and runs its loop."""

import asyncio
import signal
import time
from dataclasses import dataclass

from tornado.httpserver import HTTPServer
from tornado.web import Application

from cardamomdyke.adapters.backend import BackendClient
from cardamomdyke.adapters.http import make_http_client
from cardamomdyke.adapters.vmlist import VmListClient
from cardamomdyke.daemon.appends import LimitedLogClient
from cardamomdyke.daemon.callers import (
    JobAnswerHandler,
    JobHandler,
    JobsHandler,
    ShortRequestHandler,
)
from cardamomdyke.daemon.coordinator import Coordinator, make_coordinator
from cardamomdyke.daemon.domains import DomainManager
from cardamomdyke.daemon.edits import Editor
from cardamomdyke.daemon.gang_calls import GangCaller
from cardamomdyke.daemon.gossip import Gossiper
from cardamomdyke.daemon.inventories import Inventories
from cardamomdyke.daemon.job_log import JobLog
from cardamomdyke.daemon.jobs import JobManager
from cardamomdyke.daemon.node import Node
from cardamomdyke.daemon.operators import (
    DomainHandler,
    HealthHandler,
    TablesHandler,
)
from cardamomdyke.daemon.planner import Planner
from cardamomdyke.daemon.reports import (
    SettingsHandler,
    StatusHandler,
    TimelineHandler,
    UsageHandler,
)
from cardamomdyke.daemon.settings import Settings, split_address
from cardamomdyke.daemon.store import ConfigurationStore
from cardamomdyke.daemon.takeover import Takeover
from cardamomdyke.daemon.usage import UsageCollector
from cardamomdyke.observability.counters import make_counters
from cardamomdyke.observability.events import Timeline
from cardamomdyke.protocol.client import PeerClient
from cardamomdyke.protocol.gen.ttypes import (
    ConfigurationCall,
    DirectOrder,
    DispatchCall,
    Gossip,
    JobCall,
)
from cardamomdyke.protocol.server import make_peer_application

DRAIN_STEP_SECONDS = 0.05
BODY_MARGIN = 64
# Connections without a request, or with one whose headers are not complete,
# close after this time.
HEADER_SECONDS = 20.0
MAX_BODY_SECONDS = 60.0
# Time for the balancer to see that the health check fails.
BALANCER_SECONDS = 1.0


@dataclass(frozen=True)
class NodeComponents:
    """The parts of one daemon.

    Attributes
    ----------
    node : Node
        Shared state.
    store : ConfigurationStore
        Configuration.
    editor : Editor
        Edits and snapshots.
    domains : DomainManager
        Orders about failure domains.
    gossiper : Gossiper
        Membership.
    coordinator : Coordinator
        Short requests.
    planner : Planner
        Jobs of the own failure domain.
    takeover : Takeover
        Jobs of former and later planners.
    job_manager : JobManager
        Jobs from callers.
    usage : UsageCollector
        Usage of the own failure domain, and all bills.
    """

    node: Node
    store: ConfigurationStore
    editor: Editor
    domains: DomainManager
    gossiper: Gossiper
    coordinator: Coordinator
    planner: Planner
    takeover: Takeover
    job_manager: JobManager
    usage: UsageCollector


def make_node(settings: Settings, origins: dict[str, str]) -> Node:
    """Build the shared state of a daemon; needs a running loop."""
    # Outgoing connections come from the VM's own address.
    http = make_http_client(split_address(settings.peer_address)[0])
    return Node(
        settings=settings,
        origins=origins,
        incarnation=int(time.time() * 1000),
        clock=time.monotonic,
        http=http,
        backend=BackendClient(http),
        log=LimitedLogClient(http, settings.log_url),
        vmlist=VmListClient(http, settings.vmlist_url),
        peers=PeerClient(http),
        counters=make_counters(settings.statsd_address),
        timeline=Timeline(settings.vm, time.time),
    )


def make_components(node: Node) -> NodeComponents:
    """Build the parts of a daemon around its shared state."""
    store = ConfigurationStore(node)
    editor = Editor(node, store)
    domains = DomainManager(node, store, editor)
    gossiper = Gossiper(node, store)
    coordinator = make_coordinator(node)
    log = JobLog(node)
    planner = Planner(node, coordinator, log, Inventories(node), GangCaller(node))
    takeover = Takeover(node, planner, gossiper)
    job_manager = JobManager(node, planner, gossiper)
    usage = UsageCollector(node, gossiper)
    return NodeComponents(
        node,
        store,
        editor,
        domains,
        gossiper,
        coordinator,
        planner,
        takeover,
        job_manager,
        usage,
    )


def make_caller_application(parts: NodeComponents) -> Application:
    """Build the web application for callers and operators."""
    node = {"node": parts.node}
    editor = {**node, "editor": parts.editor}
    domains = {**node, "domains": parts.domains}
    job_manager = {**node, "job_manager": parts.job_manager}
    return Application(
        [
            (
                r"/v1/services/([^/]+)/requests",
                ShortRequestHandler,
                {**node, "coordinator": parts.coordinator},
            ),
            (r"/v1/jobs", JobsHandler, job_manager),
            (r"/v1/jobs/([^/]+)", JobHandler, job_manager),
            (r"/v1/jobs/([^/]+)/answer", JobAnswerHandler, job_manager),
            (r"/v1/tables", TablesHandler, editor),
            (r"/v1/domains/([^/]+)/(out|in)", DomainHandler, domains),
            (r"/v1/status", StatusHandler, node),
            (r"/v1/timeline", TimelineHandler, node),
            (r"/v1/settings", SettingsHandler, node),
            (r"/v1/usage", UsageHandler, {**node, "usage": parts.usage}),
            (r"/healthz", HealthHandler, node),
        ],
        log_function=lambda handler: None,
    )


def make_peer_server(parts: NodeComponents) -> Application:
    """Build the web application for other VMs."""
    return make_peer_application(
        {
            "exchange_gossip": (parts.gossiper.answer_gossip, Gossip),
            "fetch_configuration": (
                parts.gossiper.answer_configuration,
                ConfigurationCall,
            ),
            "deliver_order": (parts.gossiper.answer_order, DirectOrder),
            "dispatch_request": (parts.coordinator.answer_dispatch, DispatchCall),
            "handle_job": (parts.job_manager.answer_call, JobCall),
        },
        parts.node.progress,
    )


async def run_daemon(settings: Settings, origins: dict[str, str]) -> None:
    """Serve until a termination signal, then drain and return."""
    parts = make_components(make_node(settings, origins))
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    servers = [
        start_server(make_caller_application(parts), settings.caller_address, settings),
        start_server(
            make_peer_server(parts),
            settings.peer_listen_address or settings.peer_address,
            settings,
        ),
    ]
    tasks = [
        loop.create_task(coroutine)
        for coroutine in (
            parts.node.tick_forever(),
            parts.store.poll_forever(),
            parts.editor.append_snapshots_forever(),
            parts.domains.record_orders_forever(),
            parts.gossiper.read_vm_list_forever(),
            parts.gossiper.gossip_forever(),
            parts.planner.step_forever(),
            parts.planner.log.read_forever(),
            parts.planner.log.append_forever(),
            parts.takeover.run_forever(),
            parts.usage.watch_prices_forever(),
            parts.usage.run_forever(),
        )
    ]
    parts.node.timeline.record_change("daemon.started", settings.vm)
    await stop.wait()
    await drain_node(parts)
    for server in servers:
        server.stop()
    await finish_requests(parts.node)
    for task in tasks:
        task.cancel()
    for server in servers:
        await server.close_all_connections()
    parts.node.timeline.record_change("daemon.stopped", settings.vm)


def start_server(
    application: Application, address: str, settings: Settings
) -> HTTPServer:
    """Listen on an address."""
    host, port = split_address(address)
    server = HTTPServer(
        application,
        # Callers' handlers refuse a body over the limit with a typed reply, and a
        # forwarded request is longer than its body.
        max_body_size=settings.maximum_body_bytes * BODY_MARGIN,
        idle_connection_timeout=HEADER_SECONDS,
        body_timeout=MAX_BODY_SECONDS,
    )
    server.listen(port, host)
    return server


async def drain_node(parts: NodeComponents) -> None:
    """Fail the health check, refuse new work and let balancer and VMs notice."""
    node = parts.node
    node.progress.draining = True
    node.timeline.record_change("daemon.draining", node.settings.vm)
    await asyncio.gather(
        parts.gossiper.announce_state(), asyncio.sleep(BALANCER_SECONDS)
    )
    await finish_requests(node)


async def finish_requests(node: Node) -> None:
    """Wait for the requests in progress, within the drain limit."""
    deadline = node.clock() + node.settings.drain_seconds
    while node.progress.requests > 0 and node.clock() < deadline:
        await asyncio.sleep(DRAIN_STEP_SECONDS)
