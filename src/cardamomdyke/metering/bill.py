"""Prices of use, bills of client accounts and their forecast."""

import calendar
from collections.abc import Iterable
from dataclasses import dataclass, replace
from datetime import UTC, datetime, timedelta
from math import sqrt
from statistics import NormalDist, fmean, stdev

from cardamomdyke.metering.fold import UsageState, name_month
from cardamomdyke.model.tables import Tables

MICROS = 1_000_000
MILLISECONDS_PER_HOUR = 3_600_000
# Price changes remembered per pool, for reports that come late.
RETAINED_PRICES = 16
# A day counts as settled this long after its end; reports come with a lag.
SETTLE_SECONDS = 7_200.0
# Settled days that the rate is taken from: four whole weeks.
RATE_DAYS = 28
CONFIDENCE = 0.9
# A day resembles the day before it, so days tell less than independent ones
# would. The sample's own correlation is drawn towards this value, with the
# weight of so many days.
USUAL_CORRELATION = 0.6
USUAL_CORRELATION_DAYS = 20
DAY_SECONDS = 86_400.0


@dataclass(frozen=True, slots=True)
class Price:
    """Price of a pool from a moment on.

    Attributes
    ----------
    since : float
        Unix time in seconds at which this VM first saw it in force.
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


def record_prices(history: PriceHistory, tables: Tables, now: float) -> PriceHistory:
    """Take in the prices of tables that are in force from now on."""
    prices = dict(history.prices)
    for pool in tables.pools:
        known = prices.get(pool.name, ())
        price = Price(now, pool.price_per_accelerator_hour, pool.price_per_request)
        if known and replace(known[-1], since=now) == price:
            continue
        prices[pool.name] = (*known, price)[-RETAINED_PRICES:]
    return PriceHistory(prices)


def price_use(
    history: PriceHistory,
    pool: str,
    accelerator_ms: int,
    requests: int,
    ended_at: float,
) -> int:
    """Return the cost of use in millionths, at the price of its time.

    Use older than the oldest price seen gets that price. The cost is recorded
    with the report, and the first record of a report decides.
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
    return round(cost * MICROS)


@dataclass(frozen=True, slots=True)
class Forecast:
    """Expected bill at the month's end.

    Attributes
    ----------
    expected, low, high : float
        In the operators' currency; the interval holds the bill with the
        probability ``CONFIDENCE`` if days vary as they did.
    days_used : int
        Settled days that the rate is taken from.
    """

    expected: float
    low: float
    high: float
    days_used: int


@dataclass(frozen=True, slots=True)
class AccountBill:
    """Use, cost and forecast of one client account in one month.

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
        The same, by pool.
    forecast : Forecast
        Expected bill at the month's end.
    """

    client_account: str
    accelerator_hours: float
    requests: int
    cost: float
    cost_by_pool: dict[str, float]
    forecast: Forecast


def make_bills(state: UsageState, now: float) -> tuple[AccountBill, ...]:
    """Return the bills of the month that a time is in, by client account."""
    month = name_month(now)
    rows = [row for key, row in state.totals.items() if key.month == month]
    bills = []
    for account in sorted({row.client_account for row in rows}):
        own = [row for row in rows if row.client_account == account]
        cost = sum(row.cost_micros for row in own)
        costs = {
            key.day: row.cost_micros
            for key, row in state.days.items()
            if key.client_account == account
        }
        bills.append(
            AccountBill(
                client_account=account,
                accelerator_hours=sum(row.accelerator_ms for row in own)
                / MILLISECONDS_PER_HOUR,
                requests=sum(row.requests for row in own),
                cost=cost / MICROS,
                cost_by_pool={row.pool: row.cost_micros / MICROS for row in own},
                forecast=forecast_bill(costs, now),
            )
        )
    return tuple(bills)


def forecast_bill(costs: dict[str, int], now: float) -> Forecast:
    """Forecast the bill at the end of the month that a time is in.

    Parameters
    ----------
    costs : dict of str to int
        Cost reported so far in millionths, by day ``YYYY-MM-DD`` of this month
        and of the days before it.
    now : float
        Unix time, in seconds.

    Returns
    -------
    Forecast
        The settled days of the month as reported, plus the mean of the settled
        days of the last four weeks, by kind of day, for each other day.
    """
    month = name_month(now)
    days = list_month_days(month)
    settled_until = datetime.fromtimestamp(now - SETTLE_SECONDS, UTC).strftime(
        "%Y-%m-%d"
    )
    reported = sum(cost for day, cost in costs.items() if day.startswith(month))
    settled = [day for day in days if day < settled_until]
    known = sum(costs.get(day, 0) for day in settled)
    open_days = [day for day in days if day >= settled_until]
    sample = list_sample_days(costs, settled_until)
    if not sample:
        expected = forecast_first_day(reported, days, now)
        return make_forecast(expected, 2 * expected, reported, 0)
    means = average_days(costs, sample)
    expected = known + sum(means[check_weekend(day)] for day in open_days)
    spread = measure_spread(costs, sample, means)
    # The rate itself is a mean over the sample, so its error adds up.
    left = len(open_days)
    error = spread * sqrt(left + left * left / len(sample))
    quantile = find_quantile(len(sample) - 1) if len(sample) > 1 else 0.0
    margin = quantile * error if len(sample) > 1 else expected
    return make_forecast(expected, margin, reported, len(sample))


def make_forecast(
    expected: float, margin: float, reported: float, days_used: int
) -> Forecast:
    """Build a forecast that is never below what is reported already."""
    expected = max(expected, reported)
    return Forecast(
        expected=expected / MICROS,
        low=max(expected - margin, reported) / MICROS,
        high=(expected + margin) / MICROS,
        days_used=days_used,
    )


def forecast_first_day(reported: float, days: list[str], now: float) -> float:
    """Extend the use so far over the month, before any day is settled."""
    start = datetime.fromisoformat(days[0]).replace(tzinfo=UTC).timestamp()
    elapsed = max(now - start, DAY_SECONDS / 24)
    return reported * len(days) * DAY_SECONDS / elapsed


def list_month_days(month: str) -> list[str]:
    """Return the days of a month as ``YYYY-MM-DD``."""
    count = calendar.monthrange(int(month[:4]), int(month[5:]))[1]
    return [f"{month}-{day:02d}" for day in range(1, count + 1)]


def list_sample_days(costs: dict[str, int], settled_until: str) -> list[str]:
    """Return the settled days, at most four weeks, since the first cost."""
    first = min(costs, default=settled_until)
    end = datetime.fromisoformat(settled_until)
    days = [
        (end - timedelta(days=back)).strftime("%Y-%m-%d")
        for back in range(RATE_DAYS, 0, -1)
    ]
    return [day for day in days if day >= first]


def check_weekend(day: str) -> bool:
    """Tell whether a day is a Saturday or a Sunday."""
    return datetime.fromisoformat(day).weekday() >= 5


def average_days(costs: dict[str, int], sample: list[str]) -> dict[bool, float]:
    """Return the mean cost of weekend days and of others.

    A kind without a day in the sample gets the mean of all days.
    """
    overall = fmean(costs.get(day, 0) for day in sample)
    means = {}
    for weekend in (False, True):
        values = [costs.get(d, 0) for d in sample if check_weekend(d) is weekend]
        means[weekend] = fmean(values) if values else overall
    return means


def measure_spread(
    costs: dict[str, int], sample: Iterable[str], means: dict[bool, float]
) -> float:
    """Return the deviation of the days around the means, widened for correlation."""
    rests = [costs.get(day, 0) - means[check_weekend(day)] for day in sample]
    if len(rests) < 2:
        return 0.0
    correlation = estimate_correlation(rests)
    return stdev(rests) * sqrt((1 + correlation) / (1 - correlation))


def estimate_correlation(rests: list[float]) -> float:
    """Return how far a day's remainder resembles that of the day before."""
    squares = sum(rest * rest for rest in rests)
    if not squares:
        return USUAL_CORRELATION
    products = sum(a * b for a, b in zip(rests, rests[1:], strict=False))
    own = min(max(products / squares, 0.0), 0.9)
    weight = len(rests) / (len(rests) + USUAL_CORRELATION_DAYS)
    return weight * own + (1 - weight) * USUAL_CORRELATION


def find_quantile(degrees: int) -> float:
    """Return Student's two-sided quantile for ``CONFIDENCE``.

    The expansion of Cornish and Fisher in 1 / degrees is within 1% of the exact
    value from 3 degrees of freedom on.
    """
    z = NormalDist().inv_cdf((1 + CONFIDENCE) / 2)
    first = (z**3 + z) / 4
    second = (5 * z**5 + 16 * z**3 + 3 * z) / 96
    third = (3 * z**7 + 19 * z**5 + 17 * z**3 - 15 * z) / 384
    return z + first / degrees + second / degrees**2 + third / degrees**3
