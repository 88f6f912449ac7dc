"""The CURVE key pair that all processes of a fleet share to authenticate each other."""

from __future__ import annotations

from typing import NamedTuple

import zmq


class KeyPair(NamedTuple):
    """Public and secret key, each encoded as 40 characters of Z85."""

    public: str
    secret: str


def generate_key_pair() -> KeyPair:
    """
    Generate a new key pair.

    :return: the key pair
    """
    public, secret = zmq.curve_keypair()
    return KeyPair(public.decode(), secret.decode())


__all__ = ["KeyPair", "generate_key_pair"]
