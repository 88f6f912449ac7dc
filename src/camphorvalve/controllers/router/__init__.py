"""State controllers of the router process."""
