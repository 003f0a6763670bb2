"""Immutable data classes shared by all packages; nothing here does I/O."""
