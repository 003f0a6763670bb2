"""Derives the runs of gang members from the events of backend servers."""

import math
from collections.abc import Iterable, Iterator
from dataclasses import dataclass


@dataclass
class Run:
    """One run of a gang member on one backend server.

    Times are seconds on the steady clock of the machine.

    Attributes
    ----------
    server : str
        Name of the backend server.
    member : int
        Index within the gang, from 0.
    epoch : int
        Epoch of its reservation; 0 when it was read from events.
    started_at : float
        Time of the start.
    ended_at : float
        Time of the end; infinite while it runs.
    state : str
        ``running``, or the final state.
    confirmed_at : float
        Time of the first lease renewal; infinite without one.
    """

    server: str
    member: int
    epoch: int
    started_at: float
    ended_at: float = math.inf
    state: str = "running"
    confirmed_at: float = math.inf


def read_events(
    server: str, events: Iterable[tuple[float, str, str, int]], job_id: str
) -> Iterator[Run]:
    """Yield a job's runs from the events of one backend server."""
    open_runs: dict[int, Run] = {}
    for at, kind, subject, member in events:
        if subject != job_id:
            continue
        if kind == "start":
            open_runs[member] = Run(server, member, 0, at)
        elif member in open_runs:
            run = open_runs.pop(member)
            run.state, run.ended_at = kind, at
            yield run
    yield from open_runs.values()


def list_partial_seconds(runs: list[Run], size: int, now: float) -> list[float]:
    """Return the seconds that each run spent without its whole gang.

    Finished members count as present.
    """
    moments = sorted({t for r in runs for t in (r.started_at, min(r.ended_at, now))})
    partial_seconds = [0.0] * len(runs)
    for start, end in zip(moments, moments[1:], strict=False):
        running = [r.started_at <= start < r.ended_at for r in runs]
        alive = {
            r.member for r, is_running in zip(runs, running, strict=True) if is_running
        }
        alive |= {r.member for r in runs if check_finished(r, start)}
        if len(alive) == size:
            continue
        for index, is_running in enumerate(running):
            partial_seconds[index] += (end - start) * is_running
    return partial_seconds


def check_finished(run: Run, moment: float) -> bool:
    """Return True when a run had finished by this time."""
    return run.state == "finished" and run.ended_at <= moment
