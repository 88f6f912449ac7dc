"""The CURVE key pair that all processes of a fleet share."""

from __future__ import annotations

from typing import NamedTuple

import zmq


class KeyPair(NamedTuple):
    """Public and secret key in Z85 text, 40 characters each."""

    public: str
    secret: str


def generate() -> KeyPair:
    """
    Draw a new key pair.

    :return: the key pair
    """
    public, secret = zmq.curve_keypair()
    return KeyPair(public.decode(), secret.decode())


__all__ = ["KeyPair", "generate"]
