"""Servers to which no planner grants a lease, as recorded for later planners.

A new planner knows neither when a server fell silent nor until when earlier planners
granted leases there. While the record of a silence is in the store, no planner grants
any. The record holds the age of the silence by the steady clock of its planner, so that
the wait for the leases goes on over changes of the planner, even where the next one
could not read the store meanwhile.
"""

import re
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace

from cardamomdyke.jobs.layout import Entry
from cardamomdyke.planner.inputs import Silence
from cardamomdyke.planner.servers import Server
from cardamomdyke.planner.state import PlannerState

SILENCE_PREFIX = "s"
# Origin, fencing token of the planner, and age in milliseconds.
VALUE_PATTERN = re.compile(rb"([0-9.]{1,40}) ([0-9]{1,18}) ([0-9]{1,12})")
# Most servers that miss an answer give the next one; each record costs a part of an
# append.
RECORD_AFTER_SECONDS = 1.0
# The age in a record is behind by this much at most, while its planner lives.
RENEW_PERIOD_SECONDS = 1.0
MILLISECONDS = 1000.0
# The store's keys have 255 bytes at most, this one with its prefix.
MAX_NAME_BYTES = 254


@dataclass
class SilenceLedger:
    """Recorded silences.

    Attributes
    ----------
    silences : dict of str to Silence
        By name of the server.
    """

    silences: dict[str, Silence] = field(default_factory=dict)

    def apply(self, key: str, value: bytes, now: float) -> bool:
        """Apply a record at a steady-clock time; False if it cannot be read."""
        name = key.removeprefix(SILENCE_PREFIX)
        if not value:
            self.silences.pop(name, None)
            return True
        match = VALUE_PATTERN.fullmatch(value)
        if match is None:
            return False
        origin = match[1].decode()
        since = now - int(match[3]) / MILLISECONDS
        known = self.silences.get(name)
        if known is not None and known.origin == origin:
            since = min(since, known.since)
        self.silences[name] = Silence(origin, int(match[2]), since)
        return True

    def list_vouched(self, fence: int) -> dict[str, Silence]:
        """Return the silences for which the last planner vouches.

        A planner of an earlier version grants leases whatever is recorded, and does not
        renew these records.
        """
        return {
            name: silence
            for name, silence in self.silences.items()
            if silence.fence >= fence
        }


def make_record(name: str, silence: Silence, now: float) -> Entry:
    """Return the record of a silence."""
    age = int((now - silence.since) * MILLISECONDS)
    return SILENCE_PREFIX + name, f"{silence.origin} {silence.fence} {age}".encode()


def list_silence_records(state: PlannerState, now: float) -> list[Entry]:
    """Return the records of silent servers, and removals of those that answer.

    From the call on, this planner grants the recorded servers no lease.

    Parameters
    ----------
    state : PlannerState
        Modified in place.
    now : float
        Steady-clock seconds.
    """
    entries: list[Entry] = []
    for name, server in state.servers.items():
        recordable = len(name.encode()) <= MAX_NAME_BYTES
        if recordable and name not in state.silences and is_lost(server, now):
            origin = f"{state.fence}.{round(now * MILLISECONDS)}"
            state.note("server.silence_recorded", name, origin=origin)
            state.silences[name] = Silence(origin, state.fence, now)
    for name, silence in state.silences.items():
        if not is_silent(state, name):
            entries.append((SILENCE_PREFIX + name, b""))
        elif now - silence.recorded_at >= RENEW_PERIOD_SECONDS:
            renewed = replace(silence, fence=state.fence, recorded_at=now)
            state.silences[name] = renewed
            entries.append(make_record(name, renewed, now))
    return entries


def is_lost(server: Server, now: float) -> bool:
    """Return whether a server with runs has been silent for a while."""
    since = server.failing_since
    return is_used(server) and bool(since) and now - since >= RECORD_AFTER_SECONDS


def is_used(server: Server) -> bool:
    """Return whether a server may have runs."""
    return bool(server.holders or server.unknown_runs)


def is_silent(state: PlannerState, name: str) -> bool:
    """Return whether a server may have runs and did not answer the last poll."""
    server = state.servers.get(name)
    if server is None or not is_used(server):
        return False
    return bool(server.failing_since) or server.reading is None


def handle_silences_recorded(state: PlannerState, entries: Iterable[Entry]) -> None:
    """Allow leases to the servers whose records were removed."""
    for key, value in entries:
        if key.startswith(SILENCE_PREFIX) and not value:
            state.silences.pop(key.removeprefix(SILENCE_PREFIX), None)


def inherit_silences(state: PlannerState, silences: Mapping[str, Silence]) -> None:
    """Take over the silences that are in the store, before the servers are added."""
    state.silences.update(silences)
    for name, silence in silences.items():
        age = round(state.took_over_at - silence.since, 3)
        state.note("server.silence_inherited", name, age=age)
