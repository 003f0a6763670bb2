"""Events from the log lines of daemons, collected in files.

A platform daemon writes one JSON object a line to standard output. A collector may
put text before the object.
"""

from collections import Counter, deque
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Any, TypeGuard

from expression import Error, Ok, Result
from msgspec.json import decode, encode

from cardamomdyke.model.errors import DECODE_ERRORS, Problem, ProblemKind
from cardamomdyke.observability.events import Event

# End of the year 9999, the last that a time is rendered of.
MAX_UNIX_SECONDS = 253_402_300_800
# Fields with a place of their own in an event, and those that only eliot uses.
EVENT_FIELDS = frozenset(
    {"timestamp", "vm", "message_type", "subject", "task_uuid", "task_level"}
)
DROPPED_FIELD = "dropped_before"
NO_LINES_REMEDY = "name files with the standard output of daemons"


@dataclass(frozen=True, slots=True)
class LogLine:
    """A log line of a daemon.

    Attributes
    ----------
    record : bytes
        The JSON object, which has an id of its own.
    event : Event
        The event; its detail holds all further fields.
    values : frozenset of str
        Texts of the subject and the further fields.
    dropped_before : int
        Lines that the daemon left out before this one.
    """

    record: bytes
    event: Event
    values: frozenset[str]
    dropped_before: int


@dataclass(frozen=True, slots=True)
class LogExtract:
    """What was selected from log files.

    Attributes
    ----------
    events : tuple of Event
        Selected events, oldest first.
    left_out : int
        Older events over the limit of their VM.
    notes : tuple of str
        What the files lack or hold besides log lines.
    """

    events: tuple[Event, ...]
    left_out: int
    notes: tuple[str, ...]


@dataclass(slots=True)
class FileCounts:
    """What a file holds.

    Attributes
    ----------
    lines : int
        Log lines.
    dropped : int
        Lines that daemons left out above their rate limit.
    unreadable : int
        Other lines that are not empty.
    first_unreadable : int
        Number of the first of these; of one with the subject if there is any.
    naming : int
        Unreadable lines with the subject.
    """

    lines: int = 0
    dropped: int = 0
    unreadable: int = 0
    first_unreadable: int = 0
    naming: int = 0


def read_log_files(
    paths: Iterable[str], subject: str, limit: int
) -> Result[LogExtract, Problem]:
    """Select the events of a subject from log files of any number of VMs.

    Parameters
    ----------
    paths : iterable of str
        Files with log lines.
    subject : str
        Selects lines with this subject or value of a field; empty for all.
    limit : int
        Number of newest events of each VM.

    Returns
    -------
    Result of LogExtract or Problem
        The events; a problem if a file cannot be read or none has a log line.
    """
    selected: dict[bytes, Event] = {}
    counts: dict[str, FileCounts] = {}
    for path in paths:
        counts[path] = FileCounts()
        try:
            with open(path, "rb") as file:
                # Files may hold the same lines, which are one event.
                selected.update(select_lines(file, subject, counts[path]))
        except OSError as error:
            message = f"{path} cannot be read: {error.strerror}"
            remedy = "correct the name or the permissions of the file"
            return Error(Problem(ProblemKind.INVALID_FILE, message, remedy))
    if not any(count.lines for count in counts.values()):
        message = f"no log line of a daemon is in {', '.join(counts)}"
        return Error(Problem(ProblemKind.INVALID_FILE, message, NO_LINES_REMEDY))
    ordered = sorted(selected.values(), key=lambda event: event.at)
    newest = keep_newest(ordered, limit)
    notes = list_notes(counts, subject)
    if subject and not ordered:
        notes.append(f"no log line has the subject or value {subject!r}")
    return Ok(LogExtract(tuple(newest), len(ordered) - len(newest), tuple(notes)))


def select_lines(
    file: Iterable[bytes], subject: str, counts: FileCounts
) -> Iterator[tuple[bytes, Event]]:
    """Yield the records of a subject with their events, and count all lines."""
    for number, data in enumerate(file, start=1):
        if not data.strip():
            continue
        line = parse_line(data)
        if line is None:
            count_unreadable(counts, number, has_text(data, subject))
            continue
        counts.lines += 1
        counts.dropped += line.dropped_before
        if not subject or subject in line.values:
            yield line.record, line.event


def has_text(data: bytes, text: str) -> bool:
    """Return whether a line holds a text that is not empty."""
    return bool(text) and text.encode(errors="surrogateescape") in data


def count_unreadable(counts: FileCounts, number: int, has_subject: bool) -> None:
    """Count a line that is no log line."""
    if not counts.unreadable or (has_subject and not counts.naming):
        counts.first_unreadable = number
    counts.unreadable += 1
    counts.naming += has_subject


def parse_line(data: bytes) -> LogLine | None:
    """Parse a log line; None for any other line."""
    start = data.find(b"{")
    if start < 0:
        return None
    record = data[start:].strip()
    try:
        fields = decode(record)
    except (*DECODE_ERRORS, UnicodeDecodeError):
        return None
    if not isinstance(fields, dict):
        return None
    at = fields.get("timestamp")
    vm, kind = fields.get("vm"), fields.get("message_type")
    subject = fields.get("subject", "")
    if not is_unix_time(at) or not all(isinstance(t, str) for t in (vm, kind, subject)):
        return None
    further = {name: fields[name] for name in fields if name not in EVENT_FIELDS}
    detail = " ".join(f"{name}={render_text(further[name])}" for name in further)
    dropped = further.get(DROPPED_FIELD, 0)
    return LogLine(
        record,
        Event(
            at=float(at),
            vm=render_text(vm),
            kind=render_text(kind),
            subject=render_text(subject) if subject else "",
            detail=detail,
        ),
        frozenset(list_texts([subject, *further.values()])),
        dropped if isinstance(dropped, int) else 0,
    )


def is_unix_time(value: Any) -> TypeGuard[int | float]:
    """Return whether a value is a time that can be rendered."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        return False
    return 0 <= value < MAX_UNIX_SECONDS


def list_texts(value: Any) -> Iterator[str]:
    """Yield the texts in a value and in its lists."""
    if isinstance(value, str):
        yield value
    if isinstance(value, list):
        for item in value:
            yield from list_texts(item)


def render_text(value: Any) -> str:
    """Return a value on one line; JSON unless it is a plain word."""
    if isinstance(value, str) and value.isprintable() and value and " " not in value:
        return value
    return encode(value).decode()


def keep_newest(events: list[Event], limit: int) -> list[Event]:
    """Return the newest events of each VM, in the same order."""
    seen: Counter[str] = Counter()
    kept: deque[Event] = deque()
    for event in reversed(events):
        seen[event.vm] += 1
        if seen[event.vm] <= limit:
            kept.appendleft(event)
    return list(kept)


def list_notes(counts: dict[str, FileCounts], subject: str) -> list[str]:
    """Return what the files lack or hold besides log lines."""
    notes = []
    for path, count in counts.items():
        if not count.lines:
            notes.append(f"{path}: no log line of a daemon")
        if count.dropped:
            notes.append(
                f"{path}: daemons left out {count.dropped} lines above their rate limit"
            )
        if not count.unreadable:
            continue
        named = f", {count.naming} of them with {subject!r}" if count.naming else ""
        notes.append(
            f"{path}: {count.unreadable} lines are no log lines{named}; see line "
            f"{count.first_unreadable}"
        )
    return notes
