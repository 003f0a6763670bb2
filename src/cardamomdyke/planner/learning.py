"""What a planner has learned of run times and of the speeds of servers.

Ends show which servers are slow for good, reported progress which are degraded now.
"""

from dataclasses import dataclass, field

from cardamomdyke.scheduling.forecast import DeclaredEstimate
from cardamomdyke.scheduling.progress import ProgressBook
from cardamomdyke.scheduling.runtimes import RuntimeBook
from cardamomdyke.scheduling.speeds import SpeedBook


@dataclass(slots=True)
class Learning:
    """Books of one term; a planner starts with empty ones.

    Attributes
    ----------
    runtimes : RuntimeBook
        Errors of declared run times, by queue.
    speeds : dict of str to SpeedBook
        Speeds of the servers, by pool.
    progress : ProgressBook
        Progress of the runs of all pools.
    """

    runtimes: RuntimeBook = field(default_factory=RuntimeBook)
    speeds: dict[str, SpeedBook] = field(default_factory=dict)
    progress: ProgressBook = field(default_factory=ProgressBook)

    def find_slowness(self, pool: str, server: str) -> float:
        """Return the slowness of a pool's server; 1.0 for an unknown or usual one.

        It is the larger one of those that ends and progress show.
        """
        learned = self.find_learned(pool, server)
        return max(learned, self.progress.find_slowness(server))

    def find_learned(self, pool: str, server: str) -> float:
        """Return the slowness of a pool's server by the ends of its runs."""
        book = self.speeds.get(pool)
        return 1.0 if book is None else book.find_slowness(server)

    def estimate_seconds(self, queue: str, declared_seconds: float) -> float:
        """Return the expected run time of a queue's tasks; 0 if none is declared."""
        return self.runtimes.estimate(queue, declared_seconds).seconds

    def estimate_run(self, queue: str, declared_seconds: float) -> DeclaredEstimate:
        """Return the expected run time and the factor by which it may be off."""
        expected = self.runtimes.estimate(queue, declared_seconds)
        if expected.seconds <= 0.0:
            return DeclaredEstimate(declared_seconds)
        factor = 1.0 + expected.spread / expected.seconds
        return DeclaredEstimate(expected.seconds, factor)

    def count_slow(self) -> int:
        """Return the number of slow servers of all pools."""
        slow = sum(book.count_slow() for book in self.speeds.values())
        return slow + sum(
            all(book.find_slowness(name) <= 1.0 for book in self.speeds.values())
            for name in self.progress.marks
        )

    def forget_server(self, pool: str, server: str) -> None:
        """Forget a server that is gone or was replaced."""
        self.progress.forget(server)
        book = self.speeds.get(pool)
        if book is None:
            return
        book.forget(server)
        if not book.servers:
            del self.speeds[pool]
