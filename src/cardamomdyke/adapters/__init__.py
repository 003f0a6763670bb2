"""Clients of external services, one module each."""
