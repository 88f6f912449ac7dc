"""Messages between the processes of the fleet, their encoding and the sockets that carry them."""

from __future__ import annotations
