"""Builders of the bytes of responses that upstreams of routed calls send."""

from __future__ import annotations

IDS = b"x-id: id-1\r\nx-proof: p\r\n"
STREAM = IDS + b"content-type: text/event-stream\r\n"
FIRST, SECOND, THIRD = (b"id: %d\ndata: %d\n\n" % (n, n) for n in (1, 2, 3))


def response(body: bytes, status: bytes = b"200 OK", headers: bytes = IDS) -> bytes:
    """Build a response that ends with its length."""
    return b"HTTP/1.1 %s\r\n%scontent-length: %d\r\n\r\n%s" % (status, headers, len(body), body)


def chunked(body: bytes, end: bytes = b"0\r\n\r\n", headers: bytes = STREAM) -> bytes:
    """Build a response in one chunk, a stream by default."""
    head = b"HTTP/1.1 200 OK\r\n%stransfer-encoding: chunked\r\n\r\n" % headers
    return head + b"%x\r\n%s\r\n" % (len(body), body) + end


def unframed(body: bytes, headers: bytes = STREAM, status: bytes = b"200 OK") -> bytes:
    """Build a response with neither a length nor chunks."""
    return b"HTTP/1.1 %s\r\n%s\r\n%s" % (status, headers, body)


__all__ = ["FIRST", "IDS", "SECOND", "STREAM", "THIRD", "chunked", "response", "unframed"]
