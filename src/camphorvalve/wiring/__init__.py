"""Composition root: builds and runs the parts of each kind of process, one module for each."""
