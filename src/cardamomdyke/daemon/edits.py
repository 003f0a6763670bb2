"""Appends edits and snapshots to the configuration stream."""

import asyncio
import random
import time
from dataclasses import dataclass, field
from uuid import uuid4

from expression import Error, Ok, Result

from cardamomdyke.configuration.fold import find_decision, make_snapshot
from cardamomdyke.configuration.records import (
    CONFIGURATION_STREAM,
    Decision,
    Edit,
    Verdict,
    encode_record,
)
from cardamomdyke.configuration.snapshots import check_snapshot_due, find_turn_delay
from cardamomdyke.configuration.validation import find_table_faults
from cardamomdyke.daemon.node import Node
from cardamomdyke.daemon.store import ConfigurationStore
from cardamomdyke.membership.view import list_live
from cardamomdyke.model.errors import Problem, ProblemKind, make_problem
from cardamomdyke.model.tables import Tables

EDIT_TIMEOUT_SECONDS = 5.0
UNDECIDED_TIMEOUT_SECONDS = 60.0
SNAPSHOT_CHECK_PERIOD_SECONDS = 1.0
INITIAL_BACKOFF_SECONDS = 0.1
MAX_BACKOFF_SECONDS = 1.0


@dataclass
class Editor:
    """Appends operators' edits and periodic snapshots.

    Attributes
    ----------
    node : Node
        The daemon's shared state.
    store : ConfigurationStore
        Reads decisions back from the stream.
    _undecided : dict of str to float
        Steady-clock time, in seconds, of each undecided edit's submission.
    """

    node: Node
    store: ConfigurationStore
    _undecided: dict[str, float] = field(default_factory=dict)

    async def submit_edit(
        self, tables: Tables, base_version: int, order_ids: tuple[str, ...] = ()
    ) -> Result[int, Problem]:
        """Append an edit and wait until the fold accepts or rejects it.

        Parameters
        ----------
        tables : Tables
            All tables after the edit.
        base_version : int
            Version that the operator edited.
        order_ids : tuple of str
            Direct orders that the edit records or ends.

        Returns
        -------
        Result of int or Problem
            The new version, or why the edit is not in force.
        """
        faults = find_table_faults(tables)
        if faults:
            return Error(make_problem(ProblemKind.INVALID_TABLES, "; ".join(faults)))
        edit = Edit(
            record_id=uuid4().hex,
            base_version=base_version,
            tables=tables,
            written_at=time.time(),
            author=self.node.settings.vm,
            order_ids=order_ids,
        )
        self._undecided[edit.record_id] = self.node.clock()
        self.node.edits_undecided = len(self._undecided)
        result = await self.append_until_decided(edit)
        if result.is_ok() or result.error.kind is not ProblemKind.EDIT_NOT_CONFIRMED:
            self.mark_decided(edit.record_id)
        return result

    def mark_decided(self, record_id: str) -> None:
        """Remove an edit from the undecided ones."""
        self._undecided.pop(record_id, None)
        self.node.edits_undecided = len(self._undecided)

    async def append_until_decided(self, edit: Edit) -> Result[int, Problem]:
        """Append an edit; repeat only if the log does not contain it.

        A repeated append has the same record id, so the fold drops it if the first
        takes effect late.
        """
        deadline = self.node.clock() + EDIT_TIMEOUT_SECONDS
        backoff = INITIAL_BACKOFF_SECONDS
        may_be_in_log = False
        while self.node.clock() < deadline:
            result = await self.node.log.append_record(
                CONFIGURATION_STREAM, encode_record(edit)
            )
            may_be_in_log |= result.is_ok() or result.error.may_have_taken_effect
            if not may_be_in_log:
                self.node.counters.count("log.append_failed")
                detail = result.error.detail
                return Error(make_problem(ProblemKind.LOG_UNAVAILABLE, detail))
            if result.is_error():
                self.node.counters.count("log.append_uncertain")
            decision = await self.find_logged_decision(edit.record_id, deadline)
            if decision is not None:
                return convert_decision(decision, edit)
            if result.is_ok():
                break
            await asyncio.sleep(random.uniform(0, backoff))
            backoff = min(2 * backoff, MAX_BACKOFF_SECONDS)
        message = f"the log did not confirm edit {edit.record_id}"
        return Error(make_problem(ProblemKind.EDIT_NOT_CONFIRMED, message))

    async def find_logged_decision(
        self, record_id: str, deadline: float
    ) -> Decision | None:
        """Read the log to its end and return its decision on an edit, if any."""
        while not await self.store.read_new_records():
            if self.node.clock() >= deadline:
                return None
            await asyncio.sleep(random.uniform(0, MAX_BACKOFF_SECONDS))
        return find_decision(self.node.fold, record_id)

    async def append_snapshots_forever(self) -> None:
        """Append snapshots before the log drops the last, until cancelled."""
        while True:
            await asyncio.sleep(SNAPSHOT_CHECK_PERIOD_SECONDS)
            self.drop_decided()
            if self.check_snapshot_turn():
                await self.append_snapshot()

    def drop_decided(self) -> None:
        """Remove edits decided after the operator's answer.

        An edit missing from a readable log after a minute was not appended.
        """
        expired_before = self.node.clock() - UNDECIDED_TIMEOUT_SECONDS
        for record_id, submitted_at in tuple(self._undecided.items()):
            expired = submitted_at < expired_before and not self.node.log_down
            if expired or find_decision(self.node.fold, record_id) is not None:
                self.mark_decided(record_id)

    def check_snapshot_turn(self) -> bool:
        """Compare the snapshot's age with this VM's turn among the live VMs."""
        node = self.node
        fold = node.fold
        if fold.behind or fold.configuration is None or node.log_down:
            return False
        live = [m.name for m in list_live(node.view, node.clock()) if not m.draining]
        turn = find_turn_delay(f"snapshot:{fold.version}", node.settings.vm, live)
        retention = node.settings.log_retention_seconds
        return check_snapshot_due(fold.carried_at, time.time(), retention, turn)

    async def append_snapshot(self) -> None:
        """Append a snapshot unless another VM just did."""
        if not await self.store.read_new_records() or not self.check_snapshot_turn():
            return
        snapshot = make_snapshot(self.node.fold, time.time())
        result = await self.node.log.append_record(
            CONFIGURATION_STREAM, encode_record(snapshot)
        )
        if result.is_error():
            self.node.counters.count("log.append_failed")
            return
        self.node.counters.count("configuration.snapshot_appended")
        await self.store.read_new_records()


def convert_decision(decision: Decision, edit: Edit) -> Result[int, Problem]:
    """Return the operator's answer for a decision on an edit."""
    if decision.verdict is Verdict.ACCEPTED:
        return Ok(decision.version)
    if decision.verdict is Verdict.INVALID:
        return Error(make_problem(ProblemKind.INVALID_TABLES, decision.detail))
    message = (
        f"the edit was made from version {edit.base_version}, "
        f"version {decision.version} is in force"
    )
    return Error(make_problem(ProblemKind.EDIT_LOST_RACE, message))
