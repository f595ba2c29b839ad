"""Faults that tests and the demo set on a stand-in from outside."""

import random
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass

import falcon
import gevent

from heatherhatch_core.codec import decode_json, encode_json

FAULTS_PATH = "/faults"
NEVER_S = 3_600.0


@dataclass(frozen=True, slots=True)
class Faults:
    """What goes wrong at a stand-in.

    Attributes:
        down: True if connections are dropped without an answer.
        delay_s: Seconds added before each answer.
        lost_share: Part of the answers that are dropped after the effect.
        truncated_share: Part of the answers that are cut short.
        silent_share: Part of the requests that never get an answer.
        error_share: Part of the requests that fail with status 500.
        lag_s: Seconds by which a list or a usage report lags.
        silent_open: True to let every connection that is open now go silent for
            good, while new ones work.
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
    """Holds the present faults of one stand-in.

    Args:
        seed: Seed of the random choices.
    """

    def __init__(self, seed: int = 0):
        self.faults = Faults()
        self.random = random.Random(seed)
        self.silenced_s = float("-inf")

    def set(self, faults: Faults) -> None:
        """Replace the faults."""
        self.faults = faults
        if faults.silent_open:
            self.silenced_s = time.monotonic()

    def hits(self, share: float) -> bool:
        """Draw whether a fault with a share hits now."""
        return share > 0 and self.random.random() < share

    def delay(self) -> None:
        """Wait as long as the present faults say."""
        if self.faults.delay_s:
            gevent.sleep(self.faults.delay_s)


class FaultsResource:
    """Sets and shows the faults of a stand-in."""

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
    """Never answers on connections that were open when they were silenced.

    Args:
        app: Application that answers on the other connections.
        box: Faults; the page that sets them is always answered.
    """

    def __init__(self, app: Callable, box: FaultBox):
        self.app = app
        self.box = box
        self.opened_s: dict[str, float] = {}

    def __call__(self, environ: dict, start_response: Callable) -> Iterable[bytes]:
        """Answer one request, or hold it for good."""
        now = time.monotonic()
        opened = self.opened_s.setdefault(environ["REMOTE_PORT"], now)
        if opened <= self.box.silenced_s and environ["PATH_INFO"] != FAULTS_PATH:
            gevent.sleep(NEVER_S)
        return self.app(environ, start_response)
