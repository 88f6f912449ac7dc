"""
State controllers: each one owns and updates one part of the state of a process.

``router`` and ``quorum`` hold those of one kind of process; the modules here serve both, or have
both sides of one exchange.
"""

from __future__ import annotations
