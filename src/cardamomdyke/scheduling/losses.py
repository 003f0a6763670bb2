"""What the stop of an attempt loses, and its cost in the choice of victims."""

from dataclasses import dataclass

# A stopped attempt is a repeated victim for this long, about two runs of a batch gang.
RECENT_STOP_SECONDS = 20.0
# Each earlier stop multiplies the cost, so that work of up to this many times the loss
# is stopped instead.
REPEAT_COST_FACTOR = 2.0
# Further stops count no more, so that no attempt becomes exempt.
MAX_REPEATS = 3


@dataclass(frozen=True, slots=True)
class StopTimes:
    """Durations that a stop depends on.

    Attributes
    ----------
    stop_seconds : float
        Maximum time from a stop to the end of the run.
    restore_seconds : float
        Time that a run takes to resume from a checkpoint.
    """

    stop_seconds: float
    restore_seconds: float


@dataclass(frozen=True, slots=True)
class StopLoss:
    """Loss and cost of a stop, in core seconds.

    Attributes
    ----------
    lost : float
        Work that has to be done again.
    cost : float
        Loss and the capacity that is held during the stop, multiplied for repeated
        victims; decides between victims.
    """

    lost: float
    cost: float


def count_repeats(stops: int, seconds_since_stop: float) -> int:
    """Return how many earlier stops of a unit count in the cost of the next one.

    Parameters
    ----------
    stops : int
        Number of its runs that were stopped for other work.
    seconds_since_stop : float
        Time since the last of them.

    Returns
    -------
    int
        All stops if there were several or the last is recent, else 0.
    """
    if stops < 2 and seconds_since_stop > RECENT_STOP_SECONDS:
        return 0
    return min(stops, MAX_REPEATS)


def estimate_loss(
    size: float, unsaved_seconds: float, saves: bool, times: StopTimes, repeats: int = 0
) -> StopLoss:
    """Estimate what the stop of an attempt loses.

    Parameters
    ----------
    size : float
        Resources of all tasks of the attempt, in processor cores.
    unsaved_seconds : float
        Time since the start or the newest checkpoint.
    saves : bool
        True if the tasks save checkpoints. They also do so at a stop, so that the next
        run repeats no work and loses only the time to resume.
    times : StopTimes
        Durations that a stop depends on.
    repeats : int
        Number of earlier stops that count.

    Returns
    -------
    StopLoss
        Loss and cost. The capacity held during the stop counts too, so that of equal
        losses the one that frees less capacity is chosen.
    """
    lost_seconds = max(0.0, unsaved_seconds)
    if saves:
        lost_seconds = min(lost_seconds, times.restore_seconds)
    cost_seconds = (lost_seconds + times.stop_seconds) * REPEAT_COST_FACTOR**repeats
    return StopLoss(size * lost_seconds, size * cost_seconds)
