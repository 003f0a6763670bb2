"""Pure placement of jobs on accelerators."""
