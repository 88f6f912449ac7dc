"""Soft state of a process that outlives it on its disk."""
