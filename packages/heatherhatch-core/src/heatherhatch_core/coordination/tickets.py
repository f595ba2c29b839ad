"""Tickets: idempotency keys that name the node that keeps their outcome."""

import base64
import hashlib
import hmac
from dataclasses import dataclass

from ..codec import decode_msgpack, encode_msgpack
from ..exceptions import ErrorKind, HeatherhatchError

TICKET_PREFIX = "hht1."
MAC_BYTES = 16


@dataclass(frozen=True, slots=True)
class Ticket:
    """An idempotency key that a node issued.

    Attributes:
        node: Name of the issuing node.
        incarnation: Incarnation of the issuing process. A restarted process has
            lost its outcomes and has no record of the ticket.
        peers: ``host:port`` where the issuing node listens for its peers.
        team: Team that the ticket was issued to, empty for open work.
        nonce: Random string that makes the ticket unique.
        issued_s: Time of issue by the issuer's monotonic clock, in seconds.
    """

    node: str
    incarnation: str
    peers: str
    team: str
    nonce: str
    issued_s: float


def is_ticket(key: str) -> bool:
    """Return whether an idempotency key has the prefix of a ticket."""
    return key.startswith(TICKET_PREFIX)


def write_ticket(ticket: Ticket, secret: str) -> str:
    """Return a ticket as text, signed with the shared secret of the nodes."""
    body = encode_msgpack(ticket)
    return TICKET_PREFIX + _encode_base64(_mac(body, secret) + body)


def read_ticket(key: str, secret: str) -> Ticket:
    """Return the ticket that a key contains, after verifying its signature.

    Raises:
        HeatherhatchError: ``BAD_REQUEST`` if the ticket is malformed or was not
            signed with this secret.
    """
    try:
        data = _decode_base64(key.removeprefix(TICKET_PREFIX))
    except ValueError as error:
        raise HeatherhatchError(ErrorKind.BAD_REQUEST, "malformed ticket") from error
    mac, body = data[:MAC_BYTES], data[MAC_BYTES:]
    if not hmac.compare_digest(mac, _mac(body, secret)):
        raise HeatherhatchError(ErrorKind.BAD_REQUEST, "invalid ticket signature")
    return decode_msgpack(body, Ticket)


def _mac(body: bytes, secret: str) -> bytes:
    key = b"ticket:" + secret.encode()
    return hmac.digest(key, body, hashlib.sha256)[:MAC_BYTES]


def _encode_base64(data: bytes) -> str:
    return base64.urlsafe_b64encode(data).decode().rstrip("=")


def _decode_base64(text: str) -> bytes:
    padding = "=" * (-len(text) % 4)
    return base64.b64decode(text + padding, altchars=b"-_", validate=True)
