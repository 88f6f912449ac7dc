"""Messages between the processes of the fleet, their encoding and the sockets."""

from __future__ import annotations
