"""Runs the planner of one term: takeover, decisions, records and calls."""

import asyncio
from collections.abc import Coroutine
from dataclasses import dataclass, field
from functools import singledispatchmethod

from cardamomdyke.control.candidacy import HEARTBEAT_PERIOD_SECONDS, Candidacy
from cardamomdyke.control.clock import read_clock
from cardamomdyke.control.context import (
    Context,
    ServerDirectory,
    make_server_feed,
)
from cardamomdyke.control.leadership import Leadership
from cardamomdyke.control.recorder import Recorder
from cardamomdyke.jobs.ledger import Change, ChangeKind
from cardamomdyke.jobs.records import PROGRESS_PREFIX, encode_progress
from cardamomdyke.jobs.retention import list_keys
from cardamomdyke.membership.peers import HEARTBEAT_KEY, PEER_PREFIX
from cardamomdyke.model.orders import TaskId
from cardamomdyke.model.servers import CallFault
from cardamomdyke.planner.actions import Action, Note, SendStart, SendStop
from cardamomdyke.planner.attempts import cancel_job
from cardamomdyke.planner.contacts import (
    apply_timeouts,
    handle_poll_answer,
    handle_poll_fault,
    make_poll_order,
    update_servers,
)
from cardamomdyke.planner.occurrences import find_next_due
from cardamomdyke.planner.planning import PLACED, plan_starts
from cardamomdyke.planner.progress import (
    Batch,
    add_job,
    handle_recorded,
    restore_jobs,
    take_batch,
)
from cardamomdyke.planner.replies import (
    grant_start_lease,
    handle_start_answer,
    handle_stop_answer,
)
from cardamomdyke.planner.state import (
    Limits,
    PlannerState,
    Server,
    find_checkpoint,
)
from cardamomdyke.platform.records import KeyedRecord
from cardamomdyke.platform.servers import ServerClient, StartOrder

# Several answers that come together lead to one decision and one append.
BATCH_WAIT_SECONDS = 0.01
TICK_SECONDS = 0.2
# Pause between looks at a server without runs, and at one that does not answer.
IDLE_POLL_SECONDS = 2.0
UNLEASED_POLL_SECONDS = 0.05
FAILING_POLL_SECONDS = 0.3
RECORD_WAIT_SECONDS = 0.3
# The list of backend servers changes with every heartbeat, so it is read in
# intervals. A server that leaves must get nothing new after 2 s.
SERVER_LIST_SECONDS = 0.3
# Each append ends the long poll of every daemon, and each poll is priced. A daemon
# that does not plan waits this long, so that several records come in one poll.
FOLLOWER_PAUSE_SECONDS = 0.1
# Connections for orders to one backend server; each new one is priced.
MAX_CONCURRENT_ORDERS = 3


@dataclass
class Term:
    """One term of this daemon as planner.

    Attributes
    ----------
    context : Context
        Shared parts of the daemon.
    leadership : Leadership
        The right to plan.
    recorder : Recorder
        Appends of this term.
    client : ServerClient
        Calls to backend servers.
    directory : ServerDirectory
        Backend servers that the store lists.
    state : PlannerState
        Everything that the planner knows.
    lost_peers : list of str
        VMs whose announcements are to be dropped.
    heartbeat_at : float
        When this planner last showed itself in the store.
    """

    context: Context
    leadership: Leadership
    recorder: Recorder
    client: ServerClient
    directory: ServerDirectory
    state: PlannerState
    lost_peers: list[str] = field(default_factory=list)
    heartbeat_at: float = 0.0
    dirty: asyncio.Event = field(default_factory=asyncio.Event)
    recorded: asyncio.Event = field(default_factory=asyncio.Event)
    wakes: dict[str, asyncio.Event] = field(default_factory=dict)
    gates: dict[str, asyncio.Semaphore] = field(default_factory=dict)
    tasks: set[asyncio.Task[None]] = field(default_factory=set)
    recording: bool = False

    @property
    def lasts(self) -> bool:
        """Whether this daemon still plans under this term."""
        return self.leadership.term == self.state.fence

    def spawn(self, coroutine: Coroutine[object, object, None]) -> None:
        """Run something in the background until the term ends."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def run(self) -> None:
        """Plan until the term ends."""
        while self.lasts:
            self.refresh_inputs()
            apply_timeouts(self.state, read_clock())
            plan_starts(self.state, read_clock())
            self.carry_out()
            if self.state.superseded:
                self.leadership.end_term("a backend server knows a later planner")
                break
            self.start_recording()
            self.watch_servers()
            try:
                await asyncio.wait_for(self.dirty.wait(), self.find_pause())
            except TimeoutError:
                continue
            await asyncio.sleep(BATCH_WAIT_SECONDS)
            self.dirty.clear()

    def find_pause(self) -> float:
        """Return how long the next plan may wait, in seconds."""
        due = find_next_due(self.state)
        if due is None:
            return TICK_SECONDS
        return min(TICK_SECONDS, max(0.0, due - read_clock()))

    def refresh_inputs(self) -> None:
        """Take over what the store says of servers, tables and evacuations."""
        self.state.unix_offset = self.context.unix_clock.offset
        self.state.tables = self.context.operator.tables
        self.state.evacuated = frozenset(self.context.operator.evacuated)
        update_servers(self.state, self.directory.list_entries(), read_clock())

    def handle_change(self, change: Change) -> None:
        """Take over an accepted or cancelled job."""
        if change.kind is ChangeKind.ACCEPTED:
            record = self.context.ledger.jobs[change.job_id]
            add_job(self.state, record, read_clock())
        elif change.kind is ChangeKind.CANCELLED:
            cancel_job(self.state, change.job_id, read_clock())
        elif change.kind is ChangeKind.REMOVED:
            self.state.known_job_ids.discard(change.job_id)
            return
        else:
            return
        self.dirty.set()

    def carry_out(self) -> None:
        """Do what the planner asked for."""
        actions, self.state.actions = self.state.actions, []
        for action in actions:
            self.perform(action)

    @singledispatchmethod
    def perform(self, action: Action) -> None:
        """Do one thing that the planner asked for."""
        raise TypeError(f"no way to perform {type(action).__name__}")

    @perform.register
    def _(self, action: Note) -> None:
        self.context.journal.write(action.kind, action.subject, **action.facts)
        if action.kind == PLACED:
            record = self.state.jobs[action.subject].record
            waited = float(str(action.facts["waited"]))
            self.context.metrics.observe_start(record.priority, waited)

    @perform.register
    def _(self, action: SendStart) -> None:
        self.spawn(self.send_start(action))
        self.wake_server(action.server)

    @perform.register
    def _(self, action: SendStop) -> None:
        self.spawn(self.send_stop(action))
        self.wake_server(action.server)

    def wake_server(self, name: str) -> None:
        """Look at a server without waiting for its next turn."""
        if name in self.wakes:
            self.wakes[name].set()

    def find_gate(self, name: str) -> asyncio.Semaphore:
        """Return the limit of orders under way to a server."""
        if name not in self.gates:
            self.gates[name] = asyncio.Semaphore(MAX_CONCURRENT_ORDERS)
        return self.gates[name]

    async def send_start(self, action: SendStart) -> None:
        """Start one run and take the answer into account."""
        async with self.find_gate(action.server):
            server = self.state.servers.get(action.server)
            job = self.state.jobs.get(action.task.job_id)
            if server is None or job is None:
                return
            lease_until = grant_start_lease(server, read_clock())
            if not self.may_send_orders or lease_until is None:
                fault = CallFault(True, None, "this planner may not give orders now")
                self.take_start(action.server, action.task, action.run, fault)
                return
            order = StartOrder(
                action.task,
                action.run,
                job.record.order.specification,
                lease_until,
                find_checkpoint(self.state, action.task),
            )
            result = await self.client.start_run(server.entry, self.state.fence, order)
        failure = result.error if result.is_error() else None
        self.take_start(action.server, action.task, action.run, failure)

    @property
    def may_send_orders(self) -> bool:
        """Whether orders may be given under this term now."""
        return self.lasts and self.leadership.may_send_orders

    def take_start(
        self, name: str, task: TaskId, run: int, fault: CallFault | None
    ) -> None:
        """Take the answer to a start into account."""
        self.context.journal.count("start.failed" if fault else "start.confirmed")
        handle_start_answer(self.state, name, task, run, fault, read_clock())
        self.dirty.set()

    async def send_stop(self, action: SendStop) -> None:
        """Stop one run and take the answer into account."""
        async with self.find_gate(action.server):
            server = self.state.servers.get(action.server)
            if server is None or not server.entry.address or not self.may_send_orders:
                return
            result = await self.client.stop_run(
                server.entry, self.state.fence, action.task, action.run
            )
        fault = result.error if result.is_error() else None
        self.context.journal.count("stop.failed" if fault else "stop.confirmed")
        handle_stop_answer(
            self.state, action.server, action.task, action.run, fault, read_clock()
        )
        self.dirty.set()

    def watch_servers(self) -> None:
        """Begin to look at servers that are new."""
        for name in self.state.servers:
            if name not in self.wakes:
                self.wakes[name] = asyncio.Event()
                self.spawn(self.watch_server(name))

    async def watch_server(self, name: str) -> None:
        """Look at one server again and again, while it is known."""
        while self.lasts and name in self.state.servers:
            server = self.state.servers[name]
            if not server.entry.address:
                await asyncio.sleep(FAILING_POLL_SECONDS)
                continue
            if server.processed_end > server.acknowledged:
                await self.wait_recorded()
                if server.processed_end > server.acknowledged:
                    # The lease has to be renewed though the store is away.
                    await self.poll_once(name, server)
                    await asyncio.sleep(FAILING_POLL_SECONDS)
                    continue
            granted = await self.poll_once(name, server)
            await self.wait_for_next_poll(name, server, granted)
        self.wakes.pop(name, None)

    async def poll_once(self, name: str, server: Server) -> bool:
        """Look at a server; tell whether the look renewed its lease."""
        order = make_poll_order(self.state, server, read_clock(), self.may_send_orders)
        result = await self.client.poll(
            server.entry,
            self.state.fence,
            order.acknowledged,
            order.lease_until,
            order.wait_seconds,
        )
        now = read_clock()
        if result.is_error():
            handle_poll_fault(self.state, name, result.error, now)
        else:
            handle_poll_answer(self.state, name, order, result.ok, now)
        self.dirty.set()
        return order.lease_until is not None

    async def wait_for_next_poll(
        self, name: str, server: Server, granted: bool
    ) -> None:
        """Wait until the next look at a server is due."""
        if server.failing_since:
            await asyncio.sleep(FAILING_POLL_SECONDS)
            return
        if server.holders or server.unknown_runs:
            return
        if not granted:
            # A start that comes next needs a lease that lasts.
            await asyncio.sleep(UNLEASED_POLL_SECONDS)
            return
        wake = self.wakes[name]
        try:
            await asyncio.wait_for(wake.wait(), IDLE_POLL_SECONDS)
        except TimeoutError:
            return
        wake.clear()

    async def wait_recorded(self) -> None:
        """Wait a short time for the next append."""
        try:
            await asyncio.wait_for(self.recorded.wait(), RECORD_WAIT_SECONDS)
        except TimeoutError:
            self.context.journal.count("store.append_awaited")

    def start_recording(self) -> None:
        """Append what has changed, unless an append is under way."""
        if self.recording:
            return
        batch = take_batch(self.state)
        others = [*self.list_removals(), *self.list_heartbeats()]
        if batch is None and not others:
            return
        self.recording = True
        self.spawn(self.record_batch(batch or Batch({}, (), {}), others))

    def list_heartbeats(self) -> list[KeyedRecord]:
        """Return the sign that this daemon plans, when it is due."""
        now = read_clock()
        if now - self.heartbeat_at < HEARTBEAT_PERIOD_SECONDS:
            return []
        self.heartbeat_at = now
        sign = KeyedRecord(HEARTBEAT_KEY, str(self.state.fence).encode())
        dropped = [KeyedRecord(PEER_PREFIX + vm, b"") for vm in self.lost_peers]
        self.lost_peers.clear()
        return [sign, *dropped]

    def list_removals(self) -> list[KeyedRecord]:
        """Return records that drop jobs that ended long ago."""
        ledger = self.context.ledger
        due = self.context.retention.take_due(read_clock())
        # A job that still holds room on a server that cannot be reached waits.
        over = [job_id for job_id in due if job_id not in self.state.jobs]
        if over:
            self.context.journal.write("jobs.dropped", over[0], count=len(over))
        return [
            KeyedRecord(key, b"")
            for job_id in over
            for key in list_keys(ledger, job_id)
        ]

    async def record_batch(self, batch: Batch, others: list[KeyedRecord]) -> None:
        """Append one batch and do what follows from it."""
        records = [
            KeyedRecord(PROGRESS_PREFIX + job_id, encode_progress(progress))
            for job_id, progress in batch.progress.items()
        ]
        records += others
        stored = await self.recorder.record(records) if records else True
        self.recording = False
        if not stored:
            if self.lasts:
                self.leadership.end_term("a later planner has taken over")
            return
        handle_recorded(self.state, batch, read_clock())
        self.carry_out()
        self.recorded.set()
        self.recorded = asyncio.Event()
        self.dirty.set()

    async def close(self) -> None:
        """End everything that runs in the background."""
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


async def begin_term(
    context: Context, leadership: Leadership, candidacy: Candidacy
) -> Term | None:
    """Take over from an earlier planner; None when the right is lost meanwhile."""
    fence = leadership.term
    recorder = Recorder(
        context.store,
        context.journal,
        fence,
        context.settings.store.append_limit_bytes,
        lambda: leadership.term == fence,
    )
    if not await recorder.fence_earlier():
        if leadership.term == fence:
            leadership.end_term("a later planner has taken over")
        return None
    directory = ServerDirectory(context.store, context.journal)
    feed = make_server_feed(directory, SERVER_LIST_SECONDS)
    while not (await context.work.catch_up() and await feed.read_newest()):
        if leadership.term != fence:
            return None
        await asyncio.sleep(TICK_SECONDS)
    bounds = context.settings.bounds
    now = read_clock()
    state = PlannerState(
        limits=Limits(
            bounds.lease_limit_seconds,
            bounds.gang_wait_seconds,
            bounds.stop_grace_seconds,
            bounds.remote_factor,
        ),
        fence=fence,
        took_over_at=now,
        unix_offset=context.unix_clock.offset,
    )
    update_servers(state, directory.list_entries(), now)
    restore_jobs(state, context.ledger, now)
    context.journal.write(
        "planner.took_over",
        context.settings.vm,
        term=fence,
        jobs=len(state.jobs),
        servers=len(state.servers),
    )
    client = ServerClient(context.http)
    lost = candidacy.list_lost()
    term = Term(context, leadership, recorder, client, directory, state, lost)
    term.spawn(feed.follow_forever())
    return term


@dataclass
class Planning:
    """Plans whenever this daemon holds the right to.

    Attributes
    ----------
    context : Context
        Shared parts of the daemon.
    leadership : Leadership
        The right to plan.
    candidacy : Candidacy
        Who else stands by to plan.
    term : Term or None
        The current term.
    """

    context: Context
    leadership: Leadership
    candidacy: Candidacy
    term: Term | None = None

    async def run_forever(self) -> None:
        """Plan in terms, until cancelled."""
        feed = self.context.work
        while True:
            feed.pause_seconds = 0.0 if self.leadership.term else FOLLOWER_PAUSE_SECONDS
            if not self.leadership.term:
                self.leadership.changed.clear()
                await self.leadership.changed.wait()
                continue
            self.term = await begin_term(self.context, self.leadership, self.candidacy)
            if self.term is None:
                continue
            try:
                await self.term.run()
            finally:
                await self.term.close()
                self.term = None

    def handle_change(self, change: Change) -> None:
        """Pass a change of the ledger on to the current term."""
        self.context.retention.handle_change(self.context.ledger, change, read_clock())
        if self.term is not None:
            self.term.handle_change(change)
