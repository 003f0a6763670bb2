"""Assembles a daemon and runs it until a termination signal."""

import asyncio
import signal
import time
from dataclasses import dataclass

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
    UnknownPathHandler,
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
from cardamomdyke.daemon.replies import make_header_refusal
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
from cardamomdyke.protocol.connections import start_caller_server
from cardamomdyke.protocol.gen.ttypes import (
    ConfigurationCall,
    DirectOrder,
    DispatchCall,
    Gossip,
    JobCall,
)
from cardamomdyke.protocol.guard import InputGuard, make_guard
from cardamomdyke.protocol.limits import (
    PortClass,
    RequestLimits,
    make_input_limits,
    read_descriptor_limit,
)
from cardamomdyke.protocol.server import make_peer_application

DRAIN_CHECK_PERIOD_SECONDS = 0.05
# A forwarded request is longer than its body, so the server for other VMs accepts
# this multiple of the limit, or half of its memory if that is less.
BODY_LIMIT_FACTOR = 64
# A body that stays below the minimum rate is refused after 10 s, before its
# connection is dropped.
RATE_GRACE_SECONDS = 15.0
MAX_BODY_SECONDS = 60.0
# The load balancer notices a failing health check within this time.
BALANCER_WAIT_SECONDS = 1.0


@dataclass(frozen=True)
class NodeComponents:
    """The components of a daemon.

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
        Jobs of previous and later planners.
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
    """Create the shared state of a daemon; requires a running event loop."""
    # Outgoing connections are bound to the VM's own address.
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
    """Create the components around a daemon's shared state."""
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


def make_caller_application(components: NodeComponents) -> Application:
    """Create the web application for callers and operators."""
    node = {"node": components.node}
    editor = {**node, "editor": components.editor}
    domains = {**node, "domains": components.domains}
    job_manager = {**node, "job_manager": components.job_manager}
    return Application(
        [
            (
                r"/v1/services/([^/]+)/requests",
                ShortRequestHandler,
                {**node, "coordinator": components.coordinator},
            ),
            (r"/v1/jobs", JobsHandler, job_manager),
            (r"/v1/jobs/([^/]+)", JobHandler, job_manager),
            (r"/v1/jobs/([^/]+)/answer", JobAnswerHandler, job_manager),
            (r"/v1/tables", TablesHandler, editor),
            (r"/v1/domains/([^/]+)/(out|in)", DomainHandler, domains),
            (r"/v1/status", StatusHandler, node),
            (r"/v1/timeline", TimelineHandler, node),
            (r"/v1/settings", SettingsHandler, node),
            (r"/v1/usage", UsageHandler, {**node, "usage": components.usage}),
            (r"/healthz", HealthHandler, node),
        ],
        default_handler_class=UnknownPathHandler,
        default_handler_args=node,
        log_function=lambda handler: None,
    )


def make_daemon_guard(node: Node) -> InputGuard:
    """Create the owner of the input of a daemon."""
    settings = node.settings
    limits = make_input_limits(
        settings.memory_mb,
        read_descriptor_limit(settings.file_descriptors),
        settings.maximum_body_bytes,
    )
    requests = RequestLimits(
        header_bytes=settings.maximum_header_bytes,
        header_seconds=settings.header_timeout_seconds,
        idle_seconds=settings.idle_timeout_seconds,
        bytes_per_second=settings.minimum_body_rate,
        grace_seconds=RATE_GRACE_SECONDS,
    )

    def report(kind: str, subject: str, fields: dict[str, object]) -> None:
        detail = " ".join(f"{name}={value}" for name, value in fields.items())
        node.timeline.record_change(kind, subject, detail)

    return make_guard(limits, lambda: requests, report, node.counters.count)


def find_peer_body_limit(guard: InputGuard, settings: Settings) -> int:
    """Return the limit of a message from another VM, in bytes."""
    room = guard.budget.limits.ports[PortClass.PEERS].held_bytes // 2
    return min(settings.maximum_body_bytes * BODY_LIMIT_FACTOR, room)


def make_peer_server(components: NodeComponents, limit_bytes: int) -> Application:
    """Create the web application for other VMs."""
    return make_peer_application(
        {
            "exchange_gossip": (components.gossiper.answer_gossip, Gossip),
            "fetch_configuration": (
                components.gossiper.answer_configuration,
                ConfigurationCall,
            ),
            "deliver_order": (components.gossiper.answer_order, DirectOrder),
            "dispatch_request": (components.coordinator.answer_dispatch, DispatchCall),
            "handle_job": (components.job_manager.answer_call, JobCall),
        },
        components.node.progress,
        limit_bytes,
    )


async def run_daemon(settings: Settings, origins: dict[str, str]) -> None:
    """Serve until a termination signal, then drain and return."""
    components = make_components(make_node(settings, origins))
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    guard = make_daemon_guard(components.node)
    caller_host, caller_port = split_address(settings.caller_address)
    peer_host, peer_port = split_address(
        settings.peer_listen_address or settings.peer_address
    )
    servers = [
        start_caller_server(
            make_caller_application(components),
            caller_host,
            caller_port,
            lambda: make_header_refusal(guard.budget.requests),
            guard=guard,
            body_timeout_seconds=MAX_BODY_SECONDS,
        ),
        start_caller_server(
            make_peer_server(components, find_peer_body_limit(guard, settings)),
            peer_host,
            peer_port,
            guard=guard,
            port_class=PortClass.PEERS,
            body_timeout_seconds=MAX_BODY_SECONDS,
        ),
    ]
    tasks = [
        loop.create_task(coroutine)
        for coroutine in (
            components.node.tick_forever(),
            components.store.poll_forever(),
            components.editor.append_snapshots_forever(),
            components.domains.record_orders_forever(),
            components.gossiper.read_vm_list_forever(),
            components.gossiper.gossip_forever(),
            components.planner.step_forever(),
            components.planner.log.read_forever(),
            components.planner.log.append_forever(),
            components.takeover.run_forever(),
            components.usage.watch_prices_forever(),
            components.usage.run_forever(),
        )
    ]
    components.node.timeline.record_change("daemon.started", settings.vm)
    await stop.wait()
    await drain_node(components)
    for server in servers:
        server.stop()
    await finish_requests(components.node)
    for task in tasks:
        task.cancel()
    for server in servers:
        await server.close_all_connections()
    components.node.timeline.record_change("daemon.stopped", settings.vm)


async def drain_node(components: NodeComponents) -> None:
    """Refuse new work, notify balancer and VMs, and finish requests in progress."""
    node = components.node
    node.progress.draining = True
    node.timeline.record_change("daemon.draining", node.settings.vm)
    await asyncio.gather(
        components.gossiper.announce_state(), asyncio.sleep(BALANCER_WAIT_SECONDS)
    )
    await finish_requests(node)


async def finish_requests(node: Node) -> None:
    """Wait up to ``drain_seconds`` for the requests in progress."""
    deadline = node.clock() + node.settings.drain_seconds
    while node.progress.requests > 0 and node.clock() < deadline:
        await asyncio.sleep(DRAIN_CHECK_PERIOD_SECONDS)
