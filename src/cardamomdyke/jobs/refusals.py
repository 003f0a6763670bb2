"""When callers whose jobs cannot be accepted now are to come back."""

from math import ceil

# A short outage must not cost an urgent job its objective.
MIN_RETRY_AFTER_SECONDS = 1
# Callers try about five times, and an outage of the store takes some seconds. Longer
# pauses would delay the jobs more than the outage does.
MAX_RETRY_AFTER_SECONDS = 2


def choose_retry_after(outage_seconds: float) -> int:
    """Return after how many seconds a caller is to try again.

    It answers the load of callers that return while the platform's store is away: an
    outage lasts on about as long as it has lasted, and a caller whose few tries all
    fall into it loses the job.

    Parameters
    ----------
    outage_seconds : float
        Time since the store's last answer.

    Returns
    -------
    int
        Whole seconds, for the header Retry-After.
    """
    return min(
        MAX_RETRY_AFTER_SECONDS, max(MIN_RETRY_AFTER_SECONDS, ceil(outage_seconds))
    )
