"""Pure logic for short requests: attempts, claims, limits and routing."""
