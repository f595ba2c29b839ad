"""Tickets: idempotency keys that name the node whose memory decides."""

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
        node: Name of the issuer.
        incarnation: Start of the issuer's process; another start has another
            memory and knows nothing of the ticket.
        peers: ``host:port`` where the issuer hears its peers.
        team: Team that the ticket was issued to, empty for open work.
        nonce: Random text that makes the ticket unique.
        issued_s: Time of issue by the issuer's monotonic clock, in seconds.
    """

    node: str
    incarnation: str
    peers: str
    team: str
    nonce: str
    issued_s: float


def is_ticket(key: str) -> bool:
    """Tell whether an idempotency key claims to be a ticket."""
    return key.startswith(TICKET_PREFIX)


def write_ticket(ticket: Ticket, secret: str) -> str:
    """Return the text of a ticket, signed with the secret of the nodes."""
    body = encode_msgpack(ticket)
    return TICKET_PREFIX + _text(_mac(body, secret) + body)


def read_ticket(key: str, secret: str) -> Ticket:
    """Return the ticket in a text.

    Raises:
        HeatherhatchError: ``BAD_REQUEST`` if no node with this secret wrote it.
    """
    try:
        data = _data(key.removeprefix(TICKET_PREFIX))
    except ValueError as error:
        raise HeatherhatchError(ErrorKind.BAD_REQUEST, "not a ticket") from error
    mac, body = data[:MAC_BYTES], data[MAC_BYTES:]
    if not hmac.compare_digest(mac, _mac(body, secret)):
        raise HeatherhatchError(ErrorKind.BAD_REQUEST, "not a ticket of this system")
    return decode_msgpack(body, Ticket)


def _mac(body: bytes, secret: str) -> bytes:
    key = b"ticket:" + secret.encode()
    return hmac.digest(key, body, hashlib.sha256)[:MAC_BYTES]


def _text(data: bytes) -> str:
    return base64.urlsafe_b64encode(data).decode().rstrip("=")


def _data(text: str) -> bytes:
    padding = "=" * (-len(text) % 4)
    return base64.b64decode(text + padding, altchars=b"-_", validate=True)
