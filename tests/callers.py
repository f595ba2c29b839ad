"""A caller for tests: one request over one connection."""

import json
import secrets
import time
import uuid
from dataclasses import dataclass
from urllib.error import HTTPError
from urllib.request import Request, urlopen


@dataclass(frozen=True, slots=True)
class Reply:
    status: int
    headers: dict
    body: bytes

    def json(self):
        return json.loads(self.body)


def call(address, method, path, token="", body=None, headers=None, timeout_s=10.0):
    """Send one request and return the reply, whatever its status."""
    sent = dict(headers or {})
    if token:
        sent["Authorization"] = f"Bearer {token}"
    request = Request(f"http://{address}{path}", body, sent, method=method)
    try:
        with urlopen(request, timeout=timeout_s) as answer:
            return Reply(answer.status, dict(answer.headers), answer.read())
    except HTTPError as error:
        return Reply(error.code, dict(error.headers), error.read())


def caller_key(time_s=None):
    """Return a fresh UUIDv7 (RFC 9562) with a time, now by default."""
    milliseconds = round((time.time() if time_s is None else time_s) * 1000)
    number = milliseconds << 80 | secrets.randbits(80)
    number = number & ~(0xF << 76) | 7 << 76
    return str(uuid.UUID(int=number & ~(0x3 << 62) | 0x2 << 62))
