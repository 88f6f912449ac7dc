"""Composition root: builds the parts of each process and runs them, one module for each process."""
