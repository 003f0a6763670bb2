"""Keeps one failing unit of work from ending a daemon's other work."""

import asyncio
from collections.abc import Awaitable, Callable
from pathlib import Path
from traceback import extract_tb

from cardamomdyke.control.journal import Journal

RESTART_WAIT_SECONDS = 0.5


async def run_supervised(
    journal: Journal, name: str, run: Callable[[], Awaitable[None]]
) -> None:
    """Run a task, again after an unexpected error, until it returns.

    Parameters
    ----------
    journal : Journal
        Log of the daemon.
    name : str
        Name of the task in log lines.
    run : callable
        Starts the task; called again after each error.
    """
    while True:
        try:
            await run()
            return
        except Exception as error:
            log_crash(journal, name, error)
        await asyncio.sleep(RESTART_WAIT_SECONDS)


def log_crash(journal: Journal, name: str, error: Exception) -> None:
    """Log an unexpected error with the place that raised it."""
    frames = extract_tb(error.__traceback__)
    place = f"{Path(frames[-1].filename).name}:{frames[-1].lineno}" if frames else ""
    journal.write("task.crashed", name, error=repr(error), place=place)
