"""Counters, structured logs and the timeline of events."""
