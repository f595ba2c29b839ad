"""Faults that tests and the demo set on a stand-in from outside."""

import random
from dataclasses import dataclass

import falcon
import gevent

from heatherhatch_core.codec import decode_json, encode_json

FAULTS_PATH = "/faults"


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
    """

    down: bool = False
    delay_s: float = 0.0
    lost_share: float = 0.0
    truncated_share: float = 0.0
    silent_share: float = 0.0
    error_share: float = 0.0
    lag_s: float = 0.0


class FaultBox:
    """Holds the present faults of one stand-in.

    Args:
        seed: Seed of the random choices.
    """

    def __init__(self, seed: int = 0):
        self.faults = Faults()
        self.random = random.Random(seed)

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
        self.box.faults = decode_json(request.bounded_stream.read(), Faults)
        response.status = falcon.HTTP_204

    def on_get(self, _request: falcon.Request, response: falcon.Response) -> None:
        """Return the faults."""
        response.data = encode_json(self.box.faults)
