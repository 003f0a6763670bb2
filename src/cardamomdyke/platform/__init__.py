"""Adapter of the users' platform: formats and calls, no decisions."""
