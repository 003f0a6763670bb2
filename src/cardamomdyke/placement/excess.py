"""Finds guaranteed work that keeps client accounts from their guaranteed cells.

Work on an unusable backend server takes no cell, because it may have ended. If it ran
on, its account can hold more cells than it is guaranteed once the server is back. Work
that started while capacity was lost can split a larger cell of another account. An
edit can lower a guarantee below the work that runs.

Guaranteed work is never preempted, so each plan counts such work as borrowed. Nothing
is stored: the work counts as guaranteed again as soon as it fits.
"""

from bisect import bisect_left
from dataclasses import replace

from cardamomdyke.placement.allocation import measure_loss
from cardamomdyke.placement.guarantees import (
    check_within_guarantees,
    find_missing_cells,
)
from cardamomdyke.placement.plan import PlacedGang, PoolState


def mark_excess(state: PoolState, now: float, restart_seconds: float) -> PoolState:
    """Return the state with gangs beyond the guarantees counted as borrowed.

    Parameters
    ----------
    state : PoolState
        Capacity and placed gangs.
    now : float
        Steady-clock time, in seconds.
    restart_seconds : float
        Work that each member loses in a stop and a new start.

    Returns
    -------
    PoolState
        The same state while all guarantees hold.
    """
    excess = find_excess_gangs(state, now, restart_seconds)
    if not excess:
        return state
    placed = tuple(
        replace(gang, borrowed=True) if gang.job_id in excess else gang
        for gang in state.placed
    )
    return replace(state, placed=placed)


def find_excess_gangs(
    state: PoolState, now: float, restart_seconds: float
) -> frozenset[str]:
    """Find the guaranteed gangs that must be borrowed for all guarantees to hold.

    The gangs whose stops lose the most work stay guaranteed. While the usable servers
    are too few for all guarantees, cells are missing in any case. Then only work in
    more cells than its account is guaranteed is found.

    Returns
    -------
    frozenset of str
        Job ids; empty while all guarantees hold.
    """
    guaranteed = sorted(
        (gang for gang in state.placed if not gang.borrowed),
        key=lambda gang: (-measure_loss(gang, now, restart_seconds), gang.started_at),
    )
    if not guaranteed or check_guarantees(state, guaranteed, is_short=False):
        return frozenset()
    is_short = bool(find_missing_cells(state.pool, (), state.unusable))
    excess: set[str] = set()
    first = 0
    while not check_guarantees(state, guaranteed, is_short):
        first = find_first_excess(state, guaranteed, is_short, first)
        excess.add(guaranteed.pop(first).job_id)
    return frozenset(excess)


def find_first_excess(
    state: PoolState, guaranteed: list[PlacedGang], is_short: bool, start: int
) -> int:
    """Return the index of the first gang that breaks guarantees beside those before.

    The gangs before `start` are known to break none, all together are known to do so.
    """
    return bisect_left(
        range(len(guaranteed)),
        True,
        lo=start,
        hi=len(guaranteed) - 1,
        key=lambda last: not check_guarantees(state, guaranteed[: last + 1], is_short),
    )


def check_guarantees(
    state: PoolState, guaranteed: list[PlacedGang], is_short: bool
) -> bool:
    """Return whether all guarantees hold beside some of the guaranteed gangs."""
    if not check_within_guarantees(state.pool, guaranteed, state.unusable):
        return False
    return is_short or not find_missing_cells(state.pool, guaranteed, state.unusable)
