"""A caller for tests: one request over one connection."""

import json
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
