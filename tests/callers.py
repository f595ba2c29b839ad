"""HTTP client for tests, which opens a new connection for each request."""

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
    """Send one request and return the reply for any HTTP status."""
    request_headers = dict(headers or {})
    if token:
        request_headers["Authorization"] = f"Bearer {token}"
    request = Request(f"http://{address}{path}", body, request_headers, method=method)
    try:
        with urlopen(request, timeout=timeout_s) as response:
            return Reply(response.status, dict(response.headers), response.read())
    except HTTPError as error:
        return Reply(error.code, dict(error.headers), error.read())
