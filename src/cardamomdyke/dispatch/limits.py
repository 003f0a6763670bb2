"""Rate limits of client accounts, queue limits and the retry budget."""

from dataclasses import dataclass, replace
from math import ceil

RETRIES_PER_FIRST_ATTEMPT = 0.1
# Most retries that the budget can hold.
MAX_SAVED_RETRIES = 10.0
MAX_QUEUED_PER_CLIENT_ACCOUNT = 200
MAX_QUEUED_PER_VM = 1000


@dataclass(frozen=True, slots=True)
class TokenBucket:
    """Rate limit of one client account.

    Attributes
    ----------
    tokens : float
        Tokens available at ``updated_at``; each admits one request.
    updated_at : float
        Steady-clock time, in seconds.
    """

    tokens: float
    updated_at: float


def take_token(
    bucket: TokenBucket | None, rate: float, burst: int, now: float
) -> tuple[TokenBucket, int]:
    """Take a token, or return the time until one is available.

    Parameters
    ----------
    bucket : TokenBucket or None
        State; None before the first request.
    rate : float
        Tokens per second.
    burst : int
        Capacity of the bucket, in tokens.
    now : float
        Steady-clock time, in seconds.

    Returns
    -------
    TokenBucket
        New state.
    int
        0 when admitted; else whole seconds to wait, at least 1.
    """
    known = bucket or TokenBucket(float(burst), now)
    earned = max(0.0, now - known.updated_at) * rate
    filled = TokenBucket(min(float(burst), known.tokens + earned), now)
    if filled.tokens >= 1.0:
        return replace(filled, tokens=filled.tokens - 1.0), 0
    if rate <= 0:
        return filled, 1
    return filled, max(1, ceil((1.0 - filled.tokens) / rate))


@dataclass(frozen=True, slots=True)
class RetryBudget:
    """Limits retries to a share of the first attempts.

    Attributes
    ----------
    saved : float
        Retries available.
    """

    saved: float = 0.0


def earn_retry(budget: RetryBudget) -> RetryBudget:
    """Credit the budget for a first attempt."""
    return RetryBudget(min(MAX_SAVED_RETRIES, budget.saved + RETRIES_PER_FIRST_ATTEMPT))


def spend_retry(budget: RetryBudget) -> tuple[RetryBudget, bool]:
    """Debit one retry; False when the budget does not allow it."""
    # Ten additions of 0.1 can fall short of 1 by a rounding error.
    if budget.saved < 1.0 - 1e-9:
        return budget, False
    return RetryBudget(max(0.0, budget.saved - 1.0)), True


def permit_queueing(queued_for_account: int, queued: int) -> bool:
    """Return whether the limits of account and VM allow one more queued request."""
    return (
        queued_for_account < MAX_QUEUED_PER_CLIENT_ACCOUNT
        and queued < MAX_QUEUED_PER_VM
    )
