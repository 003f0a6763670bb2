"""Fold of the configuration stream and evidence about its result."""
