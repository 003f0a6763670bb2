"""Benchmarks, started with ``python -m``; not part of the binary."""
