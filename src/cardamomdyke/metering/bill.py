"""Prices of usage, bills of client accounts and their forecast.

Times are in Unix seconds, days and months in UTC.
"""

import calendar
from collections.abc import Iterable
from dataclasses import dataclass, replace
from datetime import UTC, datetime, timedelta
from math import sqrt
from statistics import NormalDist, fmean, stdev

from cardamomdyke.metering.fold import UsageState, name_month
from cardamomdyke.model.tables import Tables

MICROS_PER_UNIT = 1_000_000
MILLISECONDS_PER_HOUR = 3_600_000
# Prices kept per pool, for late reports.
RETAINED_PRICES = 16
# A day is settled this long after its end; reports come late.
DAY_SETTLE_SECONDS = 7_200.0
# Settled days that the rate is estimated from: four whole weeks.
SAMPLE_DAYS = 28
CONFIDENCE = 0.9
# Costs of consecutive days correlate, so they tell less than independent ones. The
# sample's correlation is shrunk towards this value, with the weight of so many days.
PRIOR_CORRELATION = 0.6
PRIOR_CORRELATION_DAYS = 20
DAY_SECONDS = 86_400.0


@dataclass(frozen=True, slots=True)
class Price:
    """Price of a pool from some time on.

    Attributes
    ----------
    since : float
        Time at which this VM first saw it in force.
    per_accelerator_hour : float
        In the operators' currency.
    per_request : float
        In the operators' currency.
    """

    since: float
    per_accelerator_hour: float
    per_request: float


@dataclass(frozen=True, slots=True)
class PriceHistory:
    """Prices that this VM has seen in force.

    Attributes
    ----------
    prices : dict of str to tuple of Price
        Oldest first, by pool; never changed in place.
    """

    prices: dict[str, tuple[Price, ...]]


def record_prices(
    history: PriceHistory, tables: Tables, unix_now: float
) -> PriceHistory:
    """Add the prices that differ from the last ones, valid from ``unix_now`` on."""
    prices = dict(history.prices)
    for pool in tables.pools:
        known = prices.get(pool.name, ())
        price = Price(unix_now, pool.price_per_accelerator_hour, pool.price_per_request)
        if known and replace(known[-1], since=unix_now) == price:
            continue
        prices[pool.name] = (*known, price)[-RETAINED_PRICES:]
    return PriceHistory(prices)


def price_usage(
    history: PriceHistory,
    pool: str,
    accelerator_ms: int,
    requests: int,
    ended_at: float,
) -> int:
    """Return the cost of usage in millionths, at the price of its time.

    Usage older than the oldest known price gets that price. The cost is recorded
    with the report; the first record of a report counts.
    """
    known = history.prices.get(pool, ())
    if not known:
        return 0
    price = known[0]
    for later in known[1:]:
        if later.since <= ended_at:
            price = later
    hours = accelerator_ms / MILLISECONDS_PER_HOUR
    cost = hours * price.per_accelerator_hour + requests * price.per_request
    return round(cost * MICROS_PER_UNIT)


@dataclass(frozen=True, slots=True)
class Forecast:
    """Expected bill at the end of the month.

    Attributes
    ----------
    expected, low, high : float
        In the operators' currency; the bill is between ``low`` and ``high`` with
        probability ``CONFIDENCE`` if days vary as they did.
    days_used : int
        Settled days that the rate is estimated from.
    """

    expected: float
    low: float
    high: float
    days_used: int


@dataclass(frozen=True, slots=True)
class AccountBill:
    """Usage, cost and forecast of one client account in one month.

    Attributes
    ----------
    client_account : str
        Client account that pays.
    accelerator_hours : float
        Accelerators held times hours.
    requests : int
        Short requests finished.
    cost : float
        In the operators' currency.
    cost_by_pool : dict of str to float
        The same by pool.
    forecast : Forecast
        Expected bill at the end of the month.
    """

    client_account: str
    accelerator_hours: float
    requests: int
    cost: float
    cost_by_pool: dict[str, float]
    forecast: Forecast


def make_bills(state: UsageState, unix_now: float) -> tuple[AccountBill, ...]:
    """Return the bills of the month of ``unix_now``, by client account."""
    month = name_month(unix_now)
    rows = [row for key, row in state.totals.items() if key.month == month]
    bills = []
    for account in sorted({row.client_account for row in rows}):
        account_rows = [row for row in rows if row.client_account == account]
        cost = sum(row.cost_micros for row in account_rows)
        costs = {
            key.day: row.cost_micros
            for key, row in state.days.items()
            if key.client_account == account
        }
        bills.append(
            AccountBill(
                client_account=account,
                accelerator_hours=sum(row.accelerator_ms for row in account_rows)
                / MILLISECONDS_PER_HOUR,
                requests=sum(row.requests for row in account_rows),
                cost=cost / MICROS_PER_UNIT,
                cost_by_pool={
                    row.pool: row.cost_micros / MICROS_PER_UNIT for row in account_rows
                },
                forecast=forecast_bill(costs, unix_now),
            )
        )
    return tuple(bills)


def forecast_bill(costs: dict[str, int], unix_now: float) -> Forecast:
    """Forecast the bill at the end of the month of ``unix_now``.

    Parameters
    ----------
    costs : dict of str to int
        Cost reported so far in millionths, by day ``YYYY-MM-DD`` of this month and
        before.
    unix_now : float
        Unix time, in seconds.

    Returns
    -------
    Forecast
        The month's settled days as reported, plus for each other day the mean of
        settled weekdays or weekend days of the last four weeks.
    """
    month = name_month(unix_now)
    days = list_month_days(month)
    settled_until = datetime.fromtimestamp(unix_now - DAY_SETTLE_SECONDS, UTC).strftime(
        "%Y-%m-%d"
    )
    reported = sum(cost for day, cost in costs.items() if day.startswith(month))
    settled = [day for day in days if day < settled_until]
    settled_cost = sum(costs.get(day, 0) for day in settled)
    open_days = [day for day in days if day >= settled_until]
    sample = list_sample_days(costs, settled_until)
    if not sample:
        expected = forecast_first_day(reported, days, unix_now)
        return make_forecast(expected, 2 * expected, reported, 0)
    means = average_days(costs, sample)
    expected = settled_cost + sum(means[check_weekend(day)] for day in open_days)
    deviation = estimate_deviation(costs, sample, means)
    # The mean has an error of its own, the same on each remaining day.
    remaining = len(open_days)
    error = deviation * sqrt(remaining + remaining * remaining / len(sample))
    quantile = find_quantile(len(sample) - 1) if len(sample) > 1 else 0.0
    margin = quantile * error if len(sample) > 1 else expected
    return make_forecast(expected, margin, reported, len(sample))


def make_forecast(
    expected: float, margin: float, reported: float, days_used: int
) -> Forecast:
    """Create a forecast that is never below the reported cost."""
    expected = max(expected, reported)
    return Forecast(
        expected=expected / MICROS_PER_UNIT,
        low=max(expected - margin, reported) / MICROS_PER_UNIT,
        high=(expected + margin) / MICROS_PER_UNIT,
        days_used=days_used,
    )


def forecast_first_day(reported: float, days: list[str], unix_now: float) -> float:
    """Extrapolate the cost so far to the month, while no day is settled."""
    start = datetime.fromisoformat(days[0]).replace(tzinfo=UTC).timestamp()
    elapsed = max(unix_now - start, DAY_SECONDS / 24)
    return reported * len(days) * DAY_SECONDS / elapsed


def list_month_days(month: str) -> list[str]:
    """Return all days of a month as ``YYYY-MM-DD``."""
    count = calendar.monthrange(int(month[:4]), int(month[5:]))[1]
    return [f"{month}-{day:02d}" for day in range(1, count + 1)]


def list_sample_days(costs: dict[str, int], settled_until: str) -> list[str]:
    """Return the last `SAMPLE_DAYS` settled days, but none before the first cost."""
    first = min(costs, default=settled_until)
    end = datetime.fromisoformat(settled_until)
    days = [
        (end - timedelta(days=back)).strftime("%Y-%m-%d")
        for back in range(SAMPLE_DAYS, 0, -1)
    ]
    return [day for day in days if day >= first]


def check_weekend(day: str) -> bool:
    """Return True for a Saturday or a Sunday."""
    return datetime.fromisoformat(day).weekday() >= 5


def average_days(costs: dict[str, int], sample: list[str]) -> dict[bool, float]:
    """Return the mean cost of weekend days (True) and of weekdays (False).

    A kind without a day in the sample gets the mean of all days.
    """
    overall = fmean(costs.get(day, 0) for day in sample)
    means = {}
    for weekend in (False, True):
        values = [costs.get(d, 0) for d in sample if check_weekend(d) is weekend]
        means[weekend] = fmean(values) if values else overall
    return means


def estimate_deviation(
    costs: dict[str, int], sample: Iterable[str], means: dict[bool, float]
) -> float:
    """Return the standard deviation from the means, widened for correlation."""
    residuals = [costs.get(day, 0) - means[check_weekend(day)] for day in sample]
    if len(residuals) < 2:
        return 0.0
    correlation = estimate_correlation(residuals)
    return stdev(residuals) * sqrt((1 + correlation) / (1 - correlation))


def estimate_correlation(residuals: list[float]) -> float:
    """Return the correlation of consecutive days' residuals, shrunk to the prior."""
    squares = sum(residual * residual for residual in residuals)
    if not squares:
        return PRIOR_CORRELATION
    products = sum(a * b for a, b in zip(residuals, residuals[1:], strict=False))
    measured = min(max(products / squares, 0.0), 0.9)
    weight = len(residuals) / (len(residuals) + PRIOR_CORRELATION_DAYS)
    return weight * measured + (1 - weight) * PRIOR_CORRELATION


def find_quantile(degrees: int) -> float:
    """Return the two-sided quantile of Student's t distribution for ``CONFIDENCE``.

    The Cornish-Fisher expansion in 1 / degrees is within 1% of the exact value from 3
    degrees of freedom on.
    """
    z = NormalDist().inv_cdf((1 + CONFIDENCE) / 2)
    first = (z**3 + z) / 4
    second = (5 * z**5 + 16 * z**3 + 3 * z) / 96
    third = (3 * z**7 + 19 * z**5 + 17 * z**3 - 15 * z) / 384
    return z + first / degrees + second / degrees**2 + third / degrees**3
