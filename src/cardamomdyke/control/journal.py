"""Log lines and counters of a daemon on the platform.

Lines are JSON objects on standard output. The writer never blocks: lines that a
slow reader leaves no room for are dropped and counted, and at most so many lines
a second are written.
"""

import asyncio
import os
from collections import Counter, deque
from dataclasses import dataclass, field

from eliot import add_destinations, log_message
from msgspec.json import encode

from cardamomdyke.control.clock import read_clock

# A calm day needs about 30 lines a second on the planner; twice that leaves room
# for a burst and bounds the processor time of logging.
LINES_PER_SECOND = 200.0
LINE_BURST = 400.0
BUFFERED_LINES = 2000
STANDARD_OUTPUT = 1


@dataclass
class Journal:
    """Structured log lines and counters of one daemon.

    Attributes
    ----------
    vm : str
        Name of this VM.
    counts : Counter of str to int
        Counters by name.
    dropped : int
        Lines left out since the last one that was written.
    left_out : int
        Lines left out since the start.
    """

    vm: str
    counts: Counter[str] = field(default_factory=Counter)
    lines: deque[bytes] = field(default_factory=deque)
    tokens: float = LINE_BURST
    filled_at: float = 0.0
    dropped: int = 0
    left_out: int = 0
    waiting: bool = False

    def count(self, name: str, amount: int = 1) -> None:
        """Raise a counter."""
        self.counts[name] += amount

    def write(self, kind: str, subject: str, **facts: object) -> None:
        """Write a line and count its kind.

        Parameters
        ----------
        kind : str
            What happened, such as ``job.accepted``.
        subject : str
            Id of the request or job, or name of the object concerned.
        **facts : object
            What decided it.
        """
        self.counts[kind] += 1
        if not self.take_token():
            self.dropped += 1
            self.left_out += 1
            return
        if self.dropped:
            facts["dropped_before"] = self.dropped
            self.dropped = 0
        log_message(message_type=kind, vm=self.vm, subject=subject, **facts)

    def accept(self, message: dict[str, object]) -> None:
        """Take a message from the log library and write what the reader takes."""
        self.lines.append(encode(message, enc_hook=str) + b"\n")
        self.flush()

    def take_token(self) -> bool:
        """Tell whether one more line may be written now."""
        now = read_clock()
        self.tokens = min(
            LINE_BURST, self.tokens + (now - self.filled_at) * LINES_PER_SECOND
        )
        self.filled_at = now
        if self.tokens < 1.0 or len(self.lines) >= BUFFERED_LINES:
            return False
        self.tokens -= 1.0
        return True

    def flush(self) -> None:
        """Write what standard output takes; the rest follows when it takes more."""
        while self.lines:
            data = self.lines[0]
            try:
                written = os.write(STANDARD_OUTPUT, data)
            except BlockingIOError:
                self.wait_for_reader()
                return
            except OSError:
                # Nobody reads any more; there is no place left to report this.
                self.lines.clear()
                return
            if written < len(data):
                self.lines[0] = data[written:]
                continue
            self.lines.popleft()

    def wait_for_reader(self) -> None:
        """Flush again once standard output takes more."""
        if self.waiting:
            return
        try:
            loop = asyncio.get_running_loop()
            loop.add_writer(STANDARD_OUTPUT, self.flush_again)
        except (RuntimeError, PermissionError):
            # Files cannot be watched; the next line tries again.
            return
        self.waiting = True

    def flush_again(self) -> None:
        """Stop watching standard output, and flush."""
        asyncio.get_running_loop().remove_writer(STANDARD_OUTPUT)
        self.waiting = False
        self.flush()


def make_journal(vm: str) -> Journal:
    """Build a journal whose writes never wait for a reader."""
    os.set_blocking(STANDARD_OUTPUT, False)
    journal = Journal(vm, filled_at=read_clock())
    add_destinations(journal.accept)
    return journal
