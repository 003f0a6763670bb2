"""Usage totals, prices, bills and forecasts."""
