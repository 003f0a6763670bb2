"""Error of the bill forecast over months of generated usage."""

from dataclasses import dataclass
from datetime import UTC, datetime, timedelta

import numpy as np
from fire import Fire

from cardamomdyke.metering.bill import MICROS_PER_UNIT, forecast_bill

START = datetime(2026, 10, 1, tzinfo=UTC)
DAYS_BEFORE_MONTH = 31
DAYS_IN_MONTH = 30
FORECAST_DAYS = (5, 10, 20)
# Longest delay from an hour's end to its usage report.
MAX_LAG_HOURS = 2.0
HOUR_SECONDS = 3600.0


@dataclass(frozen=True, slots=True)
class GeneratedUsage:
    """Generated usage of one client account in October and November 2026.

    Attributes
    ----------
    hourly_costs : ndarray of shape (n_hours,)
        Cost of each hour from the start of October.
    lag_hours : ndarray of shape (n_hours,)
        Hours from the end of each hour to its report.
    """

    hourly_costs: np.ndarray
    lag_hours: np.ndarray


def generate_usage(seed: int, days_before: int) -> GeneratedUsage:
    """Generate usage with daily and weekly patterns, drift and long jobs.

    Parameters
    ----------
    seed : int
        Seed of the generator.
    days_before : int
        Days of usage before November; the account did not exist earlier.
    """
    random = np.random.default_rng(seed)
    days = DAYS_BEFORE_MONTH + DAYS_IN_MONTH
    hours = np.arange(days * 24)
    day = hours // 24
    weekday = (day + START.weekday()) % 7
    level = random.uniform(2.0, 20.0)
    shape = 1 + 0.5 * np.sin(2 * np.pi * (hours % 24 - 8) / 24)
    weekend = np.where(weekday >= 5, random.uniform(0.3, 0.9), 1.0)
    # First-order autoregressive drift, because projects start and end.
    innovations = random.normal(0, 0.15, days)
    drift = np.zeros(days)
    for index in range(1, days):
        drift[index] = 0.7 * drift[index - 1] + innovations[index]
    jobs = np.zeros(hours.size)
    for start in np.flatnonzero(random.random(hours.size) < 1 / 60):
        length = max(1, int(random.lognormal(1.5, 0.8)))
        jobs[start : start + length] += level * random.choice((0.5, 1.0, 2.0))
    hourly_costs = level * shape * weekend * np.exp(drift)[day] + jobs
    hourly_costs[day < DAYS_BEFORE_MONTH - days_before] = 0.0
    return GeneratedUsage(hourly_costs, random.uniform(0, MAX_LAG_HOURS, hours.size))


def collect_costs(usage: GeneratedUsage, now: float) -> dict[str, int]:
    """Return the daily costs reported until a Unix time, in millionths."""
    costs: dict[str, int] = {}
    ends = START.timestamp() + (np.arange(usage.hourly_costs.size) + 1) * HOUR_SECONDS
    reported = ends + usage.lag_hours * HOUR_SECONDS <= now
    for index in np.flatnonzero(reported & (usage.hourly_costs > 0)):
        moment = START + timedelta(hours=int(index))
        name = moment.strftime("%Y-%m-%d")
        costs[name] = costs.get(name, 0) + round(
            usage.hourly_costs[index] * MICROS_PER_UNIT
        )
    return costs


def forecast_by_rate(costs: dict[str, int], now: float) -> float:
    """Extrapolate the month's cost so far linearly, as the baseline."""
    start = START + timedelta(days=DAYS_BEFORE_MONTH)
    month = start.strftime("%Y-%m")
    so_far = sum(cost for day, cost in costs.items() if day.startswith(month))
    elapsed = (now - start.timestamp()) / 86_400
    return so_far / elapsed * DAYS_IN_MONTH / MICROS_PER_UNIT


def measure_day(day: int, seeds: int, days_before: int) -> str:
    """Return a line of results for forecasts at noon of a day of the month."""
    errors, baseline, in_interval, widths = [], [], [], []
    for seed in range(seeds):
        usage = generate_usage(seed, days_before)
        bill = float(usage.hourly_costs[DAYS_BEFORE_MONTH * 24 :].sum())
        moment = START + timedelta(days=DAYS_BEFORE_MONTH + day - 1, hours=12)
        costs = collect_costs(usage, moment.timestamp())
        forecast = forecast_bill(costs, moment.timestamp())
        errors.append(abs(forecast.expected - bill) / bill)
        extrapolated = forecast_by_rate(costs, moment.timestamp())
        baseline.append(abs(extrapolated - bill) / bill)
        in_interval.append(forecast.low <= bill <= forecast.high)
        widths.append((forecast.high - forecast.low) / bill)
    return (
        f"day {day:2d}, {days_before:2d} days before: error mean "
        f"{np.mean(errors):.1%} worst {np.max(errors):.1%}; rate only mean "
        f"{np.mean(baseline):.1%} worst {np.max(baseline):.1%}; inside the interval "
        f"{sum(in_interval)}/{seeds}, width {np.mean(widths):.1%}"
    )


def main(seeds: int = 100) -> None:
    """Print the errors for accounts with and without usage before the month.

    Parameters
    ----------
    seeds : int
        Accounts per line.
    """
    for days_before in (0, DAYS_BEFORE_MONTH):
        for day in FORECAST_DAYS:
            print(measure_day(day, seeds, days_before))


if __name__ == "__main__":
    Fire(main)
