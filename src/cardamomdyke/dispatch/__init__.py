"""Pure decisions for short requests."""
