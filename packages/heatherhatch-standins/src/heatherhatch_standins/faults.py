"""Faults that tests and the demo inject into a stand-in over HTTP."""

import random
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass

import falcon
import gevent

from heatherhatch_core.codec import decode_json, encode_json

FAULTS_PATH = "/faults"
HANG_S = 3_600.0


@dataclass(frozen=True, slots=True)
class Faults:
    """Faults that a stand-in shows.

    Attributes:
        down: True if connections are closed without an answer.
        delay_s: Seconds of delay before each answer.
        lost_share: Fraction of the answers that are dropped after the request took
            effect.
        truncated_share: Fraction of the answers that are truncated.
        silent_share: Fraction of the requests that are never answered.
        error_share: Fraction of the requests that fail with status 500.
        lag_s: Age in seconds of the member list that is returned.
        silent_open: True if the connections that are open when the faults are set
            never answer again, while new connections work.
    """

    down: bool = False
    delay_s: float = 0.0
    lost_share: float = 0.0
    truncated_share: float = 0.0
    silent_share: float = 0.0
    error_share: float = 0.0
    lag_s: float = 0.0
    silent_open: bool = False


class FaultBox:
    """Holds the faults that are set on one stand-in.

    Args:
        seed: Seed of the random draws.
    """

    def __init__(self, seed: int = 0):
        self.faults = Faults()
        self.random = random.Random(seed)
        self.silenced_until_s = float("-inf")

    def set(self, faults: Faults) -> None:
        """Replace the faults."""
        self.faults = faults
        if faults.silent_open:
            self.silenced_until_s = time.monotonic()

    def occurs(self, share: float) -> bool:
        """Return whether a fault with this probability occurs now, drawn at random."""
        return share > 0 and self.random.random() < share

    def delay(self) -> None:
        """Wait for ``delay_s`` of the current faults."""
        if self.faults.delay_s:
            gevent.sleep(self.faults.delay_s)


class FaultsResource:
    """Serves and replaces the faults of a stand-in."""

    def __init__(self, box: FaultBox):
        self.box = box

    def on_put(self, request: falcon.Request, response: falcon.Response) -> None:
        """Replace the faults."""
        self.box.set(decode_json(request.bounded_stream.read(), Faults))
        response.status = falcon.HTTP_204

    def on_get(self, _request: falcon.Request, response: falcon.Response) -> None:
        """Return the faults."""
        response.data = encode_json(self.box.faults)


class SilencingApp:
    """WSGI application that does not answer on silenced connections.

    A connection is silenced if it was open when ``silent_open`` was set.

    Args:
        app: Application that answers on the other connections.
        box: Faults; requests for the faults themselves are always answered.
    """

    def __init__(self, app: Callable, box: FaultBox):
        self.app = app
        self.box = box
        self.opened_s: dict[str, float] = {}

    def __call__(self, environ: dict, start_response: Callable) -> Iterable[bytes]:
        """Answer one request, or leave it without an answer."""
        now = time.monotonic()
        opened = self.opened_s.setdefault(environ["REMOTE_PORT"], now)
        if opened <= self.box.silenced_until_s and environ["PATH_INFO"] != FAULTS_PATH:
            gevent.sleep(HANG_S)
        return self.app(environ, start_response)
