"""Judges the runs of a played platform by what backend servers and callers saw."""

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from enum import StrEnum

from cardamomdyke_standins.history import Violation


class RunEventKind(StrEnum):
    """What happened to a run."""

    START = "start"
    END = "end"
    # The daemons have told the server that they keep the end.
    NOTED = "noted"


@dataclass(frozen=True, slots=True)
class RunEvent:
    """Something that a backend server saw.

    Attributes
    ----------
    at : float
        Seconds of the machine's steady clock.
    kind : RunEventKind
        What happened.
    server : str
        Name of the server.
    task : str
        Name of the task: job, occurrence, step and number.
    run : int
        Number of the run.
    how : str
        How the run ended; empty for a start.
    """

    at: float
    kind: RunEventKind
    server: str
    task: str
    run: int
    how: str = ""

    @property
    def job_id(self) -> str:
        """Id of the task's job."""
        return self.task.partition(".")[0]


@dataclass
class CallerJob:
    """A job as its caller knows it.

    Attributes
    ----------
    job_id : str
        Its id.
    tasks : int
        Number of its tasks; they form one step.
    accelerators : int
        Accelerators of each task.
    codes : list of int
        Answer to each attempt to hand it in; 0 for none.
    cancellation_sent : bool
        True once its caller has asked for its end, whatever the answer was.
    last_state : str
        State that was read last.
    """

    job_id: str
    tasks: int
    accelerators: int
    codes: list[int] = field(default_factory=list)
    cancellation_sent: bool = False
    last_state: str = ""

    @property
    def accepted(self) -> bool:
        """Whether the caller was told that it is stored."""
        return 200 in self.codes

    @property
    def refused(self) -> bool:
        """Whether every attempt was answered that it never runs."""
        return all(code in (429, 503) for code in self.codes)


def check_runs(
    events: Iterable[RunEvent], jobs: Mapping[str, CallerJob], capacity: int
) -> list[Violation]:
    """Return every break of what must always hold.

    Parameters
    ----------
    events : iterable of RunEvent
        Everything that the servers saw.
    jobs : mapping of str to CallerJob
        All jobs by id, once no run is left.
    capacity : int
        Accelerators of each server.

    Returns
    -------
    list of Violation
        Empty when all holds.
    """
    ordered = sorted(events, key=lambda event: event.at)
    return [
        *find_double_runs(ordered),
        *find_runs_after_end(ordered),
        *find_full_servers(ordered, jobs, capacity),
        *find_unasked_runs(ordered, jobs),
        *find_lost_jobs(ordered, jobs),
    ]


def find_double_runs(events: Iterable[RunEvent]) -> Iterator[Violation]:
    """Find tasks of which two runs were under way at the same time."""
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
    """Find starts of tasks whose being done was taken note of."""
    done: set[str] = set()
    for event in events:
        if event.kind is RunEventKind.NOTED and event.how == "done":
            done.add(event.task)
        if event.kind is RunEventKind.START and event.task in done:
            yield Violation("run after end", f"{event.task}, run {event.run}")


def find_full_servers(
    events: Iterable[RunEvent], jobs: Mapping[str, CallerJob], capacity: int
) -> Iterator[Violation]:
    """Find servers that were told to run more than they have room for."""
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


def find_unasked_runs(
    events: Iterable[RunEvent], jobs: Mapping[str, CallerJob]
) -> Iterator[Violation]:
    """Find runs of jobs that nobody sent, or that were refused as not run."""
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
    """Find accepted jobs that did not end as they must."""
    done: dict[str, set[str]] = {}
    for event in events:
        if event.kind is RunEventKind.END and event.how == "done":
            done.setdefault(event.job_id, set()).add(event.task)
    for job in jobs.values():
        if not job.accepted:
            continue
        wanted = {"completed", "cancelled"} if job.cancellation_sent else {"completed"}
        if job.last_state not in wanted:
            detail = f"{job.job_id} is {job.last_state or 'gone'}"
            yield Violation("lost job", detail)
        elif (
            job.last_state == "completed" and len(done.get(job.job_id, ())) < job.tasks
        ):
            yield Violation("false completion", job.job_id)
