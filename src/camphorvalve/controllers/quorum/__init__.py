"""State controllers of the controller process, which keeps the replicated log."""
