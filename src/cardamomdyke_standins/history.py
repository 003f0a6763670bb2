"""Checks that a recorded history violates no invariant.

Times are seconds on the steady clock of the machine, which its processes share.
"""

from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass

# Evidence (3 s) and start ticket (2 s) limit starts after a domain went out.
MAX_LATE_START_SECONDS = 5.0
START_LEASE_SECONDS = 2.0
RUN_LEASE_SECONDS = 10.0
# The stand-in checks for expired leases every 50 ms.
EXPIRY_MARGIN_SECONDS = 0.25


@dataclass(frozen=True, slots=True)
class Attempt:
    """One HTTP call of a caller; attempts with the same key share the marker.

    Attributes
    ----------
    marker : str
        Unique word in the body of the request.
    outcome : str
        ``finished``, ``not_run``, ``not_known``, ``lost`` (no complete reply) or
        ``refused`` (no connection).
    body : bytes
        Body of the reply.
    sent_at, ended_at : float
        Start and end of the call.
    repeatable : bool
        True when the request may run more than once.
    """

    marker: str
    outcome: str
    body: bytes
    sent_at: float
    ended_at: float
    repeatable: bool = False


@dataclass(frozen=True, slots=True)
class ServerEvent:
    """One event in the history of a backend server.

    Attributes
    ----------
    at : float
        Time of the event.
    kind : str
        ``request`` or ``start``; ``finished``, ``failed`` or ``stopped``.
    subject : str
        Marker of a request, or job id.
    member : int
        Index within the gang; 0 for a request.
    failure_domain : str
        Failure domain of the backend server.
    """

    at: float
    kind: str
    subject: str
    member: int
    failure_domain: str


@dataclass(frozen=True, slots=True)
class OutPeriod:
    """Time during which a failure domain was out by order.

    Attributes
    ----------
    failure_domain : str
        The failure domain.
    accepted_at : float
        Time at which the order was accepted.
    returned_at : float
        Time at which its return was ordered; infinite without one.
    """

    failure_domain: str
    accepted_at: float
    returned_at: float = float("inf")


@dataclass(frozen=True, slots=True)
class VersionSample:
    """Configuration version that one VM reported.

    Attributes
    ----------
    vm : str
        VM name and process id.
    at : float
        Time of the reply.
    version : int
        Version in force on the VM.
    """

    vm: str
    at: float
    version: int


@dataclass(frozen=True, slots=True)
class Violation:
    """One violation of an invariant.

    Attributes
    ----------
    rule : str
        Name of the invariant.
    detail : str
        Observed values.
    """

    rule: str
    detail: str


def find_double_runs(
    attempts: list[Attempt], events: list[ServerEvent]
) -> Iterator[Violation]:
    """Yield requests that ran more than once although they are not repeatable."""
    repeatable = {attempt.marker for attempt in attempts if attempt.repeatable}
    counts: dict[str, int] = defaultdict(int)
    for event in events:
        if event.kind == "request":
            counts[event.subject] += 1
    for marker, count in counts.items():
        if count > 1 and marker not in repeatable:
            yield Violation("at most once", f"{marker} ran {count} times")


def find_false_refusals(
    attempts: list[Attempt], events: list[ServerEvent]
) -> Iterator[Violation]:
    """Yield starts whose earlier attempts were all answered ``not_run``.

    The outcome applies to one attempt; another with the same key may run the request.
    """
    by_marker: dict[str, list[Attempt]] = defaultdict(list)
    for attempt in attempts:
        by_marker[attempt.marker].append(attempt)
    for event in events:
        if event.kind != "request" or event.subject not in by_marker:
            continue
        if not any(
            attempt.outcome != "not_run" and attempt.sent_at <= event.at
            for attempt in by_marker[event.subject]
        ):
            yield Violation("not run", f"{event.subject} ran but was refused")


def find_wrong_answers(attempts: list[Attempt]) -> Iterator[Violation]:
    """Yield finished attempts without their own complete answer."""
    for attempt in attempts:
        own = f"marker={attempt.marker} end".encode()
        if attempt.outcome == "finished" and not attempt.body.endswith(own):
            yield Violation("own answer", f"{attempt.marker} got {attempt.body!r}")


def find_late_starts(
    periods: list[OutPeriod], events: list[ServerEvent]
) -> Iterator[Violation]:
    """Yield starts too long after their failure domain was taken out."""
    for event in events:
        if event.kind not in ("request", "start"):
            continue
        for period in periods:
            if event.failure_domain != period.failure_domain:
                continue
            late = event.at - period.accepted_at
            if late > MAX_LATE_START_SECONDS and event.at < period.returned_at:
                yield Violation(
                    "domain out",
                    f"{event.subject} started in {event.failure_domain} "
                    f"{late:.2f} s after the order",
                )


def find_partial_gangs(
    events: list[ServerEvent], gang_sizes: dict[str, int]
) -> Iterator[Violation]:
    """Yield gangs that ran incomplete for longer than a lease."""
    by_job: dict[str, list[ServerEvent]] = defaultdict(list)
    for event in events:
        if event.kind != "request":
            by_job[event.subject].append(event)
    for job_id, job_events in by_job.items():
        size = gang_sizes.get(job_id)
        if size is not None:
            yield from check_gang(job_id, size, job_events)


def check_gang(
    job_id: str, size: int, events: list[ServerEvent]
) -> Iterator[Violation]:
    """Yield violations of one gang; once all members ran, the run lease applies."""
    running: set[int] = set()
    finished: set[int] = set()
    was_complete = False
    partial_since: float | None = None
    for event in sorted(events, key=lambda event: event.at):
        if partial_since is not None:
            bound = RUN_LEASE_SECONDS if was_complete else START_LEASE_SECONDS
            length = event.at - partial_since
            if length > bound + EXPIRY_MARGIN_SECONDS:
                yield Violation(
                    "gang", f"a part of {job_id} ran alone for {length:.2f} s"
                )
        if event.kind == "start":
            running.add(event.member)
        else:
            running.discard(event.member)
        if event.kind == "finished":
            finished.add(event.member)
        if not running:
            was_complete = False
            partial_since = None
            continue
        complete = len(running | finished) == size
        was_complete = was_complete or complete
        if complete:
            partial_since = None
        elif partial_since is None:
            partial_since = event.at


def find_version_regressions(samples: list[VersionSample]) -> Iterator[Violation]:
    """Yield VMs whose configuration version decreased."""
    highest: dict[str, int] = {}
    for sample in sorted(samples, key=lambda sample: sample.at):
        if sample.version < highest.get(sample.vm, 0):
            yield Violation(
                "configuration",
                f"{sample.vm} fell from {highest[sample.vm]} to {sample.version}",
            )
        highest[sample.vm] = max(sample.version, highest.get(sample.vm, 0))
