"""Launchers, stand-ins of outside systems and measurements; not part of the package."""
