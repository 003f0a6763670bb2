"""Fold of the log stream ``config`` into the configuration in force."""

from dataclasses import dataclass, replace

from cardamomdyke.configuration.records import (
    Decision,
    Edit,
    Snapshot,
    Verdict,
    add_snapshot_digest,
    decode_record,
    digest_snapshot,
)
from cardamomdyke.configuration.validation import find_table_faults
from cardamomdyke.model.tables import (
    Configuration,
    FormerServers,
    Tables,
    iterate_servers,
)

# How long the claim of an idempotency key is kept.
KEY_RETENTION_SECONDS = 600.0
# Longer than claims are kept: a VM may make claims by a replaced configuration for a
# short while, and VMs' clocks differ.
FORMER_SERVERS_RETENTION_SECONDS = KEY_RETENTION_SECONDS + 60.0
RETAINED_DECISIONS = 64
RETAINED_SETTLED_ORDERS = 256
MAX_DETAIL_CHARACTERS = 200


@dataclass(frozen=True, slots=True)
class FoldState:
    """Result of folding the stream up to an offset.

    Attributes
    ----------
    configuration : Configuration or None
        In force; None until one is known.
    next_offset : int
        First offset not yet folded.
    gap_end : int
        Some records before this offset were trimmed unread; 0 if none was.
    carried_at : float
        Unix time, in seconds, of the newest record with the version in force.
    decisions : tuple of Decision
        On the newest edits, oldest first.
    """

    configuration: Configuration | None = None
    next_offset: int = 0
    gap_end: int = 0
    carried_at: float = 0.0
    decisions: tuple[Decision, ...] = ()

    @property
    def version(self) -> int:
        """Version in force; 0 without one."""
        return self.configuration.version if self.configuration else 0

    @property
    def behind(self) -> bool:
        """True while a gap may hide edits that other VMs folded."""
        return self.gap_end > 0


def find_decision(state: FoldState, record_id: str) -> Decision | None:
    """Return the decision on an edit, or None if it is not retained."""
    return next((d for d in state.decisions if d.record_id == record_id), None)


def mark_gap(state: FoldState, offset: int) -> FoldState:
    """Skip trimmed records up to an offset.

    Parameters
    ----------
    state : FoldState
        State before the gap.
    offset : int
        First offset that can still be read.

    Returns
    -------
    FoldState
        Behind if it skipped records, since they may hold accepted edits.
    """
    if offset <= state.next_offset:
        return state
    return replace(state, next_offset=offset, gap_end=offset)


def fold_record(
    state: FoldState, offset: int, data: bytes
) -> tuple[FoldState, Verdict, str]:
    """Fold one record.

    Parameters
    ----------
    state : FoldState
        State before the record.
    offset : int
        Offset of the record; above ``next_offset`` after a gap.
    data : bytes
        Encoded record.

    Returns
    -------
    state : FoldState
        State after the record. An adopted snapshot moves ``next_offset`` back to
        the first record that it does not cover.
    verdict : Verdict
        What was done with the record.
    detail : str
        Why the record is invalid or was folded before; else an edit's record id.
    """
    if offset < state.next_offset:
        return state, Verdict.IGNORED, "already folded"
    state = replace(mark_gap(state, offset), next_offset=offset + 1)
    decoded = decode_record(data)
    if decoded.is_error():
        return state, Verdict.INVALID, decoded.error
    record = decoded.ok
    if isinstance(record, Snapshot):
        return fold_snapshot(state, offset, record)
    return fold_edit(state, offset, record)


def fold_edit(
    state: FoldState, offset: int, edit: Edit
) -> tuple[FoldState, Verdict, str]:
    """Accept an edit made from the version in force; see `fold_record`."""
    if find_decision(state, edit.record_id) is not None:
        return state, Verdict.DUPLICATE, edit.record_id
    fault = find_edit_fault(state, offset, edit)
    if fault:
        decided = add_decision(state, edit.record_id, Verdict.INVALID, fault)
        return decided, Verdict.INVALID, fault
    if edit.base_version < state.version:
        decided = add_decision(state, edit.record_id, Verdict.LOST_RACE)
        return decided, Verdict.LOST_RACE, edit.record_id
    if state.behind:
        # The gap may hide a higher version, to which this edit would lose the race.
        return state, Verdict.BEHIND, edit.record_id
    accepted = replace(
        state,
        configuration=apply_edit(state.configuration, offset, edit),
        carried_at=edit.written_at,
    )
    decided = add_decision(accepted, edit.record_id, Verdict.ACCEPTED)
    return decided, Verdict.ACCEPTED, edit.record_id


def find_edit_fault(state: FoldState, offset: int, edit: Edit) -> str:
    """Return why every VM rejects an edit, or an empty string."""
    if edit.base_version > offset:
        return f"base version {edit.base_version} is above the edit's own offset"
    if edit.base_version > state.version and not state.behind:
        # Every record before this one was folded, and none made that version.
        return f"base version {edit.base_version} never existed"
    return "; ".join(find_table_faults(edit.tables))


def add_decision(
    state: FoldState, record_id: str, verdict: Verdict, detail: str = ""
) -> FoldState:
    """Add a decision and drop the oldest over the limit."""
    text = detail[:MAX_DETAIL_CHARACTERS]
    decision = Decision(record_id, verdict, state.version, text)
    return replace(state, decisions=(*state.decisions, decision)[-RETAINED_DECISIONS:])


def apply_edit(
    configuration: Configuration | None, offset: int, edit: Edit
) -> Configuration:
    """Return the configuration after an accepted edit."""
    return Configuration(
        version=offset + 1,
        tables=edit.tables,
        former_servers=update_former_servers(configuration, edit),
        settled_orders=update_settled_orders(configuration, edit),
    )


def fold_snapshot(
    state: FoldState, offset: int, snapshot: Snapshot
) -> tuple[FoldState, Verdict, str]:
    """Adopt a snapshot that fills a gap; see `fold_record`."""
    fault = find_snapshot_fault(state, offset, snapshot)
    if fault:
        return state, Verdict.INVALID, fault
    version = snapshot.configuration.version
    if version == state.version:
        state = replace(state, carried_at=max(state.carried_at, snapshot.written_at))
    covers_gap = version >= state.version and snapshot.folded_to >= state.gap_end
    if not state.behind or not covers_gap:
        return state, Verdict.IGNORED, ""
    adopted = FoldState(
        configuration=snapshot.configuration,
        next_offset=snapshot.folded_to,
        carried_at=snapshot.written_at,
        decisions=snapshot.decisions,
    )
    return adopted, Verdict.ADOPTED, ""


def find_snapshot_fault(state: FoldState, offset: int, snapshot: Snapshot) -> str:
    """Return why a snapshot is invalid, or an empty string."""
    version = snapshot.configuration.version
    if digest_snapshot(snapshot) != snapshot.digest:
        return "the snapshot's digest does not match its content"
    if not 0 < version <= snapshot.folded_to <= offset:
        return "the snapshot's version is above its offset"
    if version > state.version and not state.behind:
        # Every record before this one was folded, and none made that version.
        return f"the snapshot's version {version} never existed"
    return "; ".join(find_table_faults(snapshot.configuration.tables))


def make_snapshot(state: FoldState, written_at: float) -> Snapshot:
    """Create the snapshot record of a state that is not behind."""
    assert state.configuration is not None and not state.behind
    snapshot = Snapshot(
        state.configuration, state.next_offset, state.decisions, written_at
    )
    return add_snapshot_digest(snapshot)


def list_server_names(tables: Tables) -> tuple[str, ...]:
    """Return the names of all backend servers, sorted."""
    return tuple(sorted(server.name for _, server in iterate_servers(tables)))


def update_former_servers(
    configuration: Configuration | None, edit: Edit
) -> tuple[FormerServers, ...]:
    """Add the set of backend servers that an edit replaces; drop expired sets."""
    if configuration is None:
        return ()
    kept = tuple(
        former
        for former in configuration.former_servers
        if former.replaced_at + FORMER_SERVERS_RETENTION_SECONDS > edit.written_at
    )
    before = list_server_names(configuration.tables)
    if before == list_server_names(edit.tables):
        return kept
    return (*kept, FormerServers(edit.written_at, before))


def update_settled_orders(
    configuration: Configuration | None, edit: Edit
) -> tuple[str, ...]:
    """Add the ids of the direct orders that an edit settles, oldest first."""
    known = configuration.settled_orders if configuration else ()
    carried = [domain.order_id for domain in edit.tables.failure_domains]
    new = [name for name in (*carried, *edit.order_ids) if name and name not in known]
    return (*known, *dict.fromkeys(new))[-RETAINED_SETTLED_ORDERS:]
