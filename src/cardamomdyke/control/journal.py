"""Log lines and event counters of a platform daemon.

Lines are JSON objects on standard output. Writing never blocks: lines above the
rate limit or beyond the buffer for a slow reader are dropped and counted.
"""

import asyncio
import os
from collections import Counter, deque
from dataclasses import dataclass, field

from eliot import add_destinations, log_message
from msgspec.json import encode

from cardamomdyke.control.clock import read_clock

# A calm day needs about 30 lines per second on the planner. The limit leaves room
# for bursts and bounds the processor time of logging.
LINES_PER_SECOND = 200.0
LINE_BURST = 400.0
MAX_BUFFERED_LINES = 2000
STANDARD_OUTPUT = 1


@dataclass
class Journal:
    """Log lines and event counters of one daemon.

    Attributes
    ----------
    vm : str
        Name of this VM.
    counts : Counter of str to int
        Counters by name.
    lines : deque of bytes
        Encoded lines not written yet.
    tokens : float
        Lines that the rate limit allows now.
    refilled_at : float
        Last refill of `tokens`, in seconds of `read_clock`.
    dropped_before : int
        Lines dropped since the last one written.
    dropped_total : int
        Lines dropped since the start.
    """

    vm: str
    counts: Counter[str] = field(default_factory=Counter)
    lines: deque[bytes] = field(default_factory=deque)
    tokens: float = LINE_BURST
    refilled_at: float = 0.0
    dropped_before: int = 0
    dropped_total: int = 0
    watching_output: bool = False

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""
        self.counts[name] += amount

    def write(self, kind: str, subject: str, **fields: object) -> None:
        """Count an event and write a line within the rate limit.

        Parameters
        ----------
        kind : str
            Kind of the event, such as ``job.accepted``.
        subject : str
            Id of the request or job, or name of the object.
        **fields : object
            Further fields, such as the values behind a decision.
        """
        self.counts[kind] += 1
        if not self.take_token():
            self.dropped_before += 1
            self.dropped_total += 1
            return
        if self.dropped_before:
            fields["dropped_before"] = self.dropped_before
            self.dropped_before = 0
        log_message(message_type=kind, vm=self.vm, subject=subject, **fields)

    def write_message(self, message: dict[str, object]) -> None:
        """Buffer a log message, and flush."""
        self.lines.append(encode(message, enc_hook=str) + b"\n")
        self.flush()

    def take_token(self) -> bool:
        """Take a token; False above the limit or with a full buffer."""
        now = read_clock()
        self.tokens = min(
            LINE_BURST, self.tokens + (now - self.refilled_at) * LINES_PER_SECOND
        )
        self.refilled_at = now
        if self.tokens < 1.0 or len(self.lines) >= MAX_BUFFERED_LINES:
            return False
        self.tokens -= 1.0
        return True

    def flush(self) -> None:
        """Write buffered lines until standard output would block."""
        while self.lines:
            data = self.lines[0]
            try:
                written = os.write(STANDARD_OUTPUT, data)
            except BlockingIOError:
                self.watch_output()
                return
            except OSError:
                # The reader is gone; there is nowhere to report it.
                self.lines.clear()
                return
            if written < len(data):
                self.lines[0] = data[written:]
                continue
            self.lines.popleft()

    def watch_output(self) -> None:
        """Flush again once standard output is writable."""
        if self.watching_output:
            return
        try:
            loop = asyncio.get_running_loop()
            loop.add_writer(STANDARD_OUTPUT, self.flush_watched_output)
        except (RuntimeError, PermissionError):
            # Files cannot be watched; the next line flushes again.
            return
        self.watching_output = True

    def flush_watched_output(self) -> None:
        """Stop watching, and flush."""
        asyncio.get_running_loop().remove_writer(STANDARD_OUTPUT)
        self.watching_output = False
        self.flush()


def make_journal(vm: str) -> Journal:
    """Create a journal and make standard output non-blocking."""
    os.set_blocking(STANDARD_OUTPUT, False)
    journal = Journal(vm, refilled_at=read_clock())
    add_destinations(journal.write_message)
    return journal
