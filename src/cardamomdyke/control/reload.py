"""Reloads the settings file on a signal and periodically."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field, fields
from pathlib import Path

from expression import Error, Result

from cardamomdyke.control.journal import Journal
from cardamomdyke.model.errors import Problem, ProblemKind, make_problem
from cardamomdyke.platform.settings import NodeSettings, decode_settings

# The platform may change the file without a signal.
CHECK_PERIOD_SECONDS = 5.0
# Settings that a running daemon applies; the others need a restart.
RELOADABLE_FIELDS = frozenset({"bounds"})


def load_settings(path: str) -> Result[NodeSettings, Problem]:
    """Load the settings file that the platform has written.

    Parameters
    ----------
    path : str
        Path of the file.

    Returns
    -------
    Result of NodeSettings or Problem
        The settings, or why they cannot be used.
    """
    try:
        data = Path(path).read_bytes()
    except OSError as error:
        message = f"the settings file {path} cannot be read: {error}"
        return Error(make_problem(ProblemKind.INVALID_SETTING, message))
    return decode_settings(data)


def list_changed_fields(previous: NodeSettings, current: NodeSettings) -> list[str]:
    """Return the names of the fields that differ."""
    return [
        setting.name
        for setting in fields(NodeSettings)
        if getattr(previous, setting.name) != getattr(current, setting.name)
    ]


@dataclass
class Reloader:
    """Keeps the settings of a daemon current.

    Attributes
    ----------
    path : str
        Path of the settings file.
    settings : NodeSettings
        Settings of the last successful load.
    journal : Journal
        Log of the daemon.
    apply : callable
        Called with the new settings.
    """

    path: str
    settings: NodeSettings
    journal: Journal
    apply: Callable[[NodeSettings], None]
    requested: asyncio.Event = field(default_factory=asyncio.Event)

    def request_reload(self) -> None:
        """Request a reload, from a signal handler."""
        self.requested.set()

    async def watch_forever(self) -> None:
        """Reload on request and periodically, until cancelled."""
        while True:
            try:
                await asyncio.wait_for(self.requested.wait(), CHECK_PERIOD_SECONDS)
                self.requested.clear()
                self.reload("signal")
            except TimeoutError:
                self.reload("interval")

    def reload(self, reason: str) -> None:
        """Load and apply the file; keep the settings if it is invalid.

        An unchanged file is not logged for the reason ``interval``.
        """
        result = load_settings(self.path)
        if result.is_error():
            self.journal.write(
                "settings.refused",
                self.path,
                reason=reason,
                detail=result.error.message,
            )
            return
        changed = list_changed_fields(self.settings, result.ok)
        if not changed and reason == "interval":
            return
        self.settings = result.ok
        self.journal.write(
            "settings.reloaded",
            self.path,
            reason=reason,
            changed=changed,
            after_restart=[name for name in changed if name not in RELOADABLE_FIELDS],
        )
        self.apply(result.ok)
