"""Whether work is stopped before its server leaves at short notice.

It answers the load of servers that are taken away: all their runs end with them, and
their tasks start elsewhere only once the leases have expired. A stop that is confirmed
before lets them start elsewhere at once.
"""

# A server with a longer notice mostly serves on beyond it, and its leases are cut
# short meanwhile.
MAX_NOTICE_SECONDS = 2.0
# Below this progress the rate of work is too uncertain.
MIN_PERCENT = 10.0
COMPLETE_PERCENT = 100.0


def is_short_notice(notice_seconds: float | None) -> bool:
    """Return whether a server leaves too soon to wait for its runs.

    Parameters
    ----------
    notice_seconds : float or None
        Minimum time until a draining server shuts down; None if it states none.
    """
    return notice_seconds is not None and notice_seconds <= MAX_NOTICE_SECONDS


def estimate_left(
    percent: float, elapsed_seconds: float, age_seconds: float, expected_seconds: float
) -> float:
    """Return the remaining time of a run, by its progress or else its expected time.

    Parameters
    ----------
    percent : float
        Reported progress; 0 if none is known.
    elapsed_seconds : float
        Time from the start of the work to that report.
    age_seconds : float
        Time since that report.
    expected_seconds : float
        Run time to expect of the whole task; 0 if nothing is known.
    """
    if percent >= MIN_PERCENT and elapsed_seconds > 0.0:
        left = (COMPLETE_PERCENT - percent) * elapsed_seconds / percent
    else:
        left = expected_seconds - elapsed_seconds
    return max(0.0, left - age_seconds)


def must_move(left_seconds: float, leaves_in_seconds: float) -> bool:
    """Return whether a run would end with its server, before its work is done."""
    return left_seconds > leaves_in_seconds
