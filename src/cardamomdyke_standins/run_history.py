"""Checks the runs of a stand-in platform against the jobs of its callers."""

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from enum import StrEnum

from cardamomdyke_standins.history import Violation


class RunEventKind(StrEnum):
    """Kind of an event of a run."""

    START = "start"
    END = "end"
    # A daemon has acknowledged the end to the server.
    NOTED = "noted"


@dataclass(frozen=True, slots=True)
class RunEvent:
    """One event of a run on a backend server.

    Attributes
    ----------
    at : float
        Steady-clock seconds.
    kind : RunEventKind
        Kind of the event.
    server : str
        Name of the server.
    task : str
        Name of the task: job, occurrence, step and number.
    run : int
        Number of the run.
    how : str
        Kind of the end, or ``lost`` after a crash; empty for a start.
    """

    at: float
    kind: RunEventKind
    server: str
    task: str
    run: int
    how: str = ""

    @property
    def job_id(self) -> str:
        """Job id, the first part of the task name."""
        return self.task.partition(".")[0]


@dataclass
class CallerJob:
    """A job from the point of view of its caller.

    Attributes
    ----------
    job_id : str
        Id of the job.
    tasks : int
        Number of its tasks; they form one step.
    accelerators : int
        Number of accelerators of each task.
    codes : list of int
        Status code of each attempt to send it; 0 without an answer.
    cancellation_sent : bool
        True once a cancellation was sent, whatever the answer.
    last_state : str
        State in the last answer; empty without one.
    """

    job_id: str
    tasks: int
    accelerators: int
    codes: list[int] = field(default_factory=list)
    cancellation_sent: bool = False
    last_state: str = ""

    @property
    def accepted(self) -> bool:
        """True when an attempt was answered 200."""
        return 200 in self.codes

    @property
    def refused(self) -> bool:
        """True when every attempt was answered 429 or 503."""
        return all(code in (429, 503) for code in self.codes)


def check_runs(
    events: Iterable[RunEvent], jobs: Mapping[str, CallerJob], capacity: int
) -> list[Violation]:
    """Return all violations of the invariants.

    Parameters
    ----------
    events : iterable of RunEvent
        Events of all servers.
    jobs : mapping of str to CallerJob
        Jobs by id, after all runs have ended.
    capacity : int
        Number of accelerators of each server.

    Returns
    -------
    list of Violation
        Empty when the check passes.
    """
    ordered = sorted(events, key=lambda event: event.at)
    return [
        *find_double_runs(ordered),
        *find_runs_after_end(ordered),
        *find_overfull_servers(ordered, jobs, capacity),
        *find_unrequested_runs(ordered, jobs),
        *find_lost_jobs(ordered, jobs),
    ]


def find_double_runs(events: Iterable[RunEvent]) -> Iterator[Violation]:
    """Yield tasks with two concurrent runs."""
    live: dict[str, set[tuple[str, int]]] = {}
    for event in events:
        runs = live.setdefault(event.task, set())
        if event.kind is RunEventKind.START:
            if runs:
                yield Violation("double run", f"{event.task} beside {sorted(runs)}")
            runs.add((event.server, event.run))
        elif event.kind is RunEventKind.END:
            runs.discard((event.server, event.run))


def find_runs_after_end(events: Iterable[RunEvent]) -> Iterator[Violation]:
    """Yield starts after an acknowledged successful end."""
    done: set[str] = set()
    for event in events:
        if event.kind is RunEventKind.NOTED and event.how == "done":
            done.add(event.task)
        if event.kind is RunEventKind.START and event.task in done:
            yield Violation("run after end", f"{event.task}, run {event.run}")


def find_overfull_servers(
    events: Iterable[RunEvent], jobs: Mapping[str, CallerJob], capacity: int
) -> Iterator[Violation]:
    """Yield starts that exceed the accelerators of their server."""
    used: dict[str, int] = {}
    for event in events:
        job = jobs.get(event.job_id)
        if job is None:
            continue
        if event.kind is RunEventKind.START:
            used[event.server] = used.get(event.server, 0) + job.accelerators
            if used[event.server] > capacity:
                yield Violation("server too full", f"{event.server}: {event.task}")
        elif event.kind is RunEventKind.END:
            used[event.server] -= job.accelerators


def find_unrequested_runs(
    events: Iterable[RunEvent], jobs: Mapping[str, CallerJob]
) -> Iterator[Violation]:
    """Yield jobs that ran unrequested or although refused."""
    started = {e.job_id for e in events if e.kind is RunEventKind.START}
    for job_id in sorted(started):
        job = jobs.get(job_id)
        if job is None:
            yield Violation("unasked run", job_id)
        elif job.refused:
            yield Violation("refused job ran", f"{job_id}: {job.codes}")


def find_lost_jobs(
    events: Iterable[RunEvent], jobs: Mapping[str, CallerJob]
) -> Iterator[Violation]:
    """Yield accepted jobs that ended wrongly or not at all."""
    done: dict[str, set[str]] = {}
    for event in events:
        if event.kind is RunEventKind.END and event.how == "done":
            done.setdefault(event.job_id, set()).add(event.task)
    for job in jobs.values():
        if not job.accepted:
            continue
        expected = (
            {"completed", "cancelled"} if job.cancellation_sent else {"completed"}
        )
        if job.last_state not in expected:
            detail = f"{job.job_id} is {job.last_state or 'gone'}"
            yield Violation("lost job", detail)
        elif (
            job.last_state == "completed" and len(done.get(job.job_id, ())) < job.tasks
        ):
            yield Violation("false completion", job.job_id)
