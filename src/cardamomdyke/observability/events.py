"""Timeline of the events on one VM, and their log lines."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from eliot import log_message

RETAINED_EVENTS = 5000


@dataclass(frozen=True, slots=True)
class Event:
    """One entry of the timeline.

    Attributes
    ----------
    at : float
        Unix time, in seconds.
    vm : str
        VM that recorded the event.
    kind : str
        Kind of event, such as ``request.started``.
    subject : str
        Request id, job id or name of the affected object.
    detail : str
        Short text; may be empty.
    """

    at: float
    vm: str
    kind: str
    subject: str
    detail: str = ""


@dataclass(frozen=True)
class Timeline:
    """The newest events on this VM, in memory.

    Attributes
    ----------
    vm : str
        Name of this VM.
    clock : callable
        Returns Unix time, in seconds.
    events : deque of Event
        Up to ``RETAINED_EVENTS``, oldest first.
    """

    vm: str
    clock: Callable[[], float]
    events: deque[Event] = field(default_factory=lambda: deque(maxlen=RETAINED_EVENTS))

    def record(self, kind: str, subject: str, detail: str = "") -> None:
        """Add an event to the timeline, without a log line."""
        self.events.append(Event(self.clock(), self.vm, kind, subject, detail))

    def record_change(self, kind: str, subject: str, detail: str = "") -> None:
        """Add a state change to the timeline and write a log line."""
        self.record(kind, subject, detail)
        log_message(message_type=kind, vm=self.vm, subject=subject, detail=detail)

    def select_events(self, subject: str = "") -> list[Event]:
        """Return the events of a subject and of the ids linked to it.

        An event whose kind ends in ``.linked`` has the linked id in its detail: all
        attempts of an idempotency key share one id on the backend server. An empty
        subject selects all events.
        """
        if not subject:
            return list(self.events)
        wanted = {subject}
        for event in self.events:
            if event.kind.endswith(".linked") and event.subject == subject:
                wanted.add(event.detail)
        return [event for event in self.events if event.subject in wanted]
