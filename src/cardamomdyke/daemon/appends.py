"""Rate limit for one VM's appends to the log service."""

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from expression import Result

from cardamomdyke.adapters.log import LogClient, LogFault

# The log service takes several hundred appends a second, its owner's included.
APPENDS_PER_SECOND = 5.0
APPEND_BURST = 5.0
# Tokens that usage records, which can wait, leave to edits and jobs.
RESERVED_APPENDS = 3.0


@dataclass
class AppendBudget:
    """Token bucket for all appends of one VM.

    Attributes
    ----------
    clock : callable
        Steady clock, in seconds.
    tokens : float
        Appends possible without waiting.
    refilled_at : float
        Last update of ``tokens``, on ``clock``.
    """

    clock: Callable[[], float]
    tokens: float = APPEND_BURST
    refilled_at: float = field(default=0.0)

    def take_token(self, reserved: float = 0.0) -> float:
        """Take one token, or return the wait until one is available.

        Parameters
        ----------
        reserved : float
            Tokens that must remain for more urgent appends.

        Returns
        -------
        float
            Seconds to wait; 0 when a token was taken.
        """
        now = self.clock()
        refill = (now - self.refilled_at) * APPENDS_PER_SECOND
        self.tokens = min(APPEND_BURST, self.tokens + max(0.0, refill))
        self.refilled_at = now
        if self.tokens >= 1.0 + reserved:
            self.tokens -= 1.0
            return 0.0
        return max(0.001, (1.0 + reserved - self.tokens) / APPENDS_PER_SECOND)

    async def wait_for_token(self, reserved: float = 0.0) -> None:
        """Wait for a token and take it."""
        while (delay := self.take_token(reserved)) > 0:
            await asyncio.sleep(delay)


@dataclass(frozen=True)
class LimitedLogClient(LogClient):
    """Client of the log service that limits its rate of appends.

    Attributes
    ----------
    budget : AppendBudget
        Shared by all appends of this VM.
    """

    budget: AppendBudget = field(default_factory=lambda: AppendBudget(time.monotonic))

    async def append_record(self, stream: str, data: bytes) -> Result[int, LogFault]:
        """Append a record once the budget has a token."""
        await self.budget.wait_for_token()
        return await LogClient.append_record(self, stream, data)

    async def append_when_idle(self, stream: str, data: bytes) -> Result[int, LogFault]:
        """Append a record, leaving `RESERVED_APPENDS` tokens."""
        await self.budget.wait_for_token(RESERVED_APPENDS)
        return await LogClient.append_record(self, stream, data)
