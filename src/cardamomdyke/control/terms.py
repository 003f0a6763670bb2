"""Begins and ends this daemon's terms as planner."""

import asyncio
from dataclasses import dataclass

from cardamomdyke.control.candidacy import Candidacy
from cardamomdyke.control.clock import read_clock
from cardamomdyke.control.context import (
    Context,
    ServerDirectory,
    make_server_feed,
)
from cardamomdyke.control.driver import TICK_PERIOD_SECONDS, Term
from cardamomdyke.control.leadership import LONGEST_AUTHORITY_SECONDS, Leadership
from cardamomdyke.control.recorder import Recorder
from cardamomdyke.control.supervision import log_crash
from cardamomdyke.jobs.ledger import Change
from cardamomdyke.planner.forecasts import SummaryPublisher
from cardamomdyke.planner.inputs import Limits
from cardamomdyke.planner.polls import update_servers
from cardamomdyke.planner.progress import restore_jobs
from cardamomdyke.planner.silences import inherit_silences
from cardamomdyke.planner.state import PlannerState
from cardamomdyke.platform.servers import ServerClient

# The list of backend servers changes with every heartbeat, so it is read at
# intervals. A leaving server must get no new task after 2 s.
SERVER_LIST_PERIOD_SECONDS = 0.3
# Each append ends the long poll of every daemon, and each poll has a cost. Daemons
# that do not plan pause this long, so that one poll brings several records.
FOLLOWER_WAIT_SECONDS = 0.1


async def begin_term(
    context: Context, leadership: Leadership, candidacy: Candidacy
) -> Term | None:
    """Take over from an earlier planner; None if the term ends meanwhile."""
    fence = leadership.term
    recorder = Recorder(
        context.store,
        context.journal,
        fence,
        lambda: leadership.term == fence,
    )
    if not await recorder.fence_earlier_terms():
        if leadership.term == fence:
            leadership.end_term("a later planner has taken over")
        return None
    directory = ServerDirectory(context.store, context.journal)
    feed = make_server_feed(directory, SERVER_LIST_PERIOD_SECONDS)
    # Without the configuration and the evacuations, which are read together, work could
    # start where it no longer may.
    while not (
        context.operator.tables is not None
        and await context.work_feed.catch_up()
        and await feed.read_newest()
    ):
        if leadership.term != fence:
            return None
        await asyncio.sleep(TICK_PERIOD_SECONDS)
    bounds = context.settings.bounds
    now = read_clock()
    state = PlannerState(
        limits=Limits(
            bounds.lease_limit_seconds,
            bounds.gang_wait_seconds,
            bounds.stop_grace_seconds,
            bounds.remote_factor,
            LONGEST_AUTHORITY_SECONDS,
            bounds.restore_seconds,
        ),
        fence=fence,
        took_over_at=now,
        unix_offset=context.unix_clock.offset,
        tables=context.operator.tables,
    )
    inherit_silences(state, context.silences.list_vouched(context.heartbeat_fence))
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
    lost_candidates = candidacy.list_lost_candidates()
    term = Term(
        context,
        leadership,
        recorder,
        client,
        directory,
        state,
        lost_candidates,
        publisher=SummaryPublisher(state.learning.estimate_run),
    )
    term.spawn(feed.follow_forever())
    return term


@dataclass
class PlannerRunner:
    """Runs a term whenever this daemon is elected.

    Attributes
    ----------
    context : Context
        Shared objects of the daemon.
    leadership : Leadership
        Membership in the planner group.
    candidacy : Candidacy
        Heartbeats and lost candidates.
    term : Term or None
        Current term; None while this daemon does not plan.
    """

    context: Context
    leadership: Leadership
    candidacy: Candidacy
    term: Term | None = None

    async def run_forever(self) -> None:
        """Run terms until cancelled."""
        feed = self.context.work_feed
        while True:
            feed.pause_seconds = 0.0 if self.leadership.term else FOLLOWER_WAIT_SECONDS
            if not self.leadership.term:
                self.leadership.term_changed.clear()
                await self.leadership.term_changed.wait()
                continue
            await self.run_term()

    async def run_term(self) -> None:
        """Run one term to its end; an unexpected error ends it."""
        try:
            self.term = await begin_term(self.context, self.leadership, self.candidacy)
            if self.term is not None:
                await self.term.run()
        except Exception as error:
            log_crash(self.context.journal, "planner", error)
            self.leadership.abandon_term("an unexpected error")
        finally:
            if self.term is not None:
                await self.term.close()
            self.term = None

    def handle_change(self, change: Change) -> None:
        """Pass a ledger change to the retention and the current term."""
        self.context.retention.handle_change(self.context.ledger, change, read_clock())
        if self.term is not None:
            self.term.handle_change(change)
