"""Measures the error of the bill's forecast over generated months of use."""

from dataclasses import dataclass
from datetime import UTC, datetime, timedelta

import numpy as np
from fire import Fire

from cardamomdyke.metering.bill import MICROS_PER_UNIT, forecast_bill

START = datetime(2026, 10, 1, tzinfo=UTC)
DAYS_BEFORE_MONTH = 31
DAYS_IN_MONTH = 30
DAYS_CHECKED = (5, 10, 20)
# Use is reported up to this long after its end.
LAG_HOURS = 2.0
HOUR_SECONDS = 3600.0


@dataclass(frozen=True, slots=True)
class Months:
    """Generated use of one client account over October and November 2026.

    Attributes
    ----------
    hourly : ndarray
        Cost of each hour, from the start of October.
    lags : ndarray
        Hours until the hour's use is reported.
    """

    hourly: np.ndarray
    lags: np.ndarray


def generate_months(seed: int, days_before: int) -> Months:
    """Generate use with daily and weekly shape, bursts, drift and jobs.

    Parameters
    ----------
    seed : int
        Seed of the generator.
    days_before : int
        Days of use before the month; the account is new before them.
    """
    random = np.random.default_rng(seed)
    days = DAYS_BEFORE_MONTH + DAYS_IN_MONTH
    hours = np.arange(days * 24)
    day = hours // 24
    weekday = (day + START.weekday()) % 7
    level = random.uniform(2.0, 20.0)
    shape = 1 + 0.5 * np.sin(2 * np.pi * (hours % 24 - 8) / 24)
    weekend = np.where(weekday >= 5, random.uniform(0.3, 0.9), 1.0)
    # Each day's level depends on the day before, as projects come and go.
    steps = random.normal(0, 0.15, days)
    drift = np.zeros(days)
    for index in range(1, days):
        drift[index] = 0.7 * drift[index - 1] + steps[index]
    jobs = np.zeros(hours.size)
    for start in np.flatnonzero(random.random(hours.size) < 1 / 60):
        length = max(1, int(random.lognormal(1.5, 0.8)))
        jobs[start : start + length] += level * random.choice((0.5, 1.0, 2.0))
    hourly = level * shape * weekend * np.exp(drift)[day] + jobs
    hourly[day < DAYS_BEFORE_MONTH - days_before] = 0.0
    return Months(hourly, random.uniform(0, LAG_HOURS, hours.size))


def collect_costs(months: Months, now: float) -> dict[str, int]:
    """Return the daily costs that are reported at a time."""
    costs: dict[str, int] = {}
    ends = START.timestamp() + (np.arange(months.hourly.size) + 1) * HOUR_SECONDS
    reported = ends + months.lags * HOUR_SECONDS <= now
    for index in np.flatnonzero(reported & (months.hourly > 0)):
        moment = START + timedelta(hours=int(index))
        name = moment.strftime("%Y-%m-%d")
        costs[name] = costs.get(name, 0) + round(months.hourly[index] * MICROS_PER_UNIT)
    return costs


def forecast_by_rate(costs: dict[str, int], now: float) -> float:
    """Extend the use so far evenly: the baseline."""
    start = START + timedelta(days=DAYS_BEFORE_MONTH)
    month = start.strftime("%Y-%m")
    so_far = sum(cost for day, cost in costs.items() if day.startswith(month))
    elapsed = (now - start.timestamp()) / 86_400
    return so_far / elapsed * DAYS_IN_MONTH / MICROS_PER_UNIT


def measure_day(day: int, seeds: int, days_before: int) -> str:
    """Return one line of results for forecasts made at noon of a day."""
    errors, baseline, inside, widths = [], [], [], []
    for seed in range(seeds):
        months = generate_months(seed, days_before)
        bill = float(months.hourly[DAYS_BEFORE_MONTH * 24 :].sum())
        moment = START + timedelta(days=DAYS_BEFORE_MONTH + day - 1, hours=12)
        costs = collect_costs(months, moment.timestamp())
        forecast = forecast_bill(costs, moment.timestamp())
        errors.append(abs(forecast.expected - bill) / bill)
        rate = forecast_by_rate(costs, moment.timestamp())
        baseline.append(abs(rate - bill) / bill)
        inside.append(forecast.low <= bill <= forecast.high)
        widths.append((forecast.high - forecast.low) / bill)
    return (
        f"day {day:2d}, {days_before:2d} days before: error mean "
        f"{np.mean(errors):.1%} worst {np.max(errors):.1%}; rate only mean "
        f"{np.mean(baseline):.1%} worst {np.max(baseline):.1%}; inside the interval "
        f"{sum(inside)}/{seeds}, width {np.mean(widths):.1%}"
    )


def main(seeds: int = 100) -> None:
    """Print the error for accounts with and without use before the month."""
    for days_before in (0, DAYS_BEFORE_MONTH):
        for day in DAYS_CHECKED:
            print(measure_day(day, seeds, days_before))


if __name__ == "__main__":
    Fire(main)
