"""The stored form of learned run times."""

from array import array
from collections.abc import Iterator
from typing import Annotated

import msgspec

from ...codec import decode_json, encode_json
from ...exceptions import ErrorKind, HeatherhatchError
from .histogram import BINS, Histogram
from .kind import Kind
from .regression import Regression

VERSION = 1  # a record of another version is not read
MAX_RECORD_BYTES = 64 * 1024
MIN_TEAM_WEIGHT = 1.0  # teams with fewer runs are predicted like their queue
HEADER_BYTES = 64  # more than what surrounds the kinds in an encoded record

Logarithm = Annotated[float, msgspec.Meta(ge=-50, le=50)]
Weight = Annotated[float, msgspec.Meta(ge=0, le=1e6)]
# A smaller one is not written, and may be 0 in the single precision of a histogram,
# whose total must not be 0.
BinWeight = Annotated[float, msgspec.Meta(ge=0.01, le=1e6)]
Bin = Annotated[int, msgspec.Meta(ge=0, lt=BINS)]
Number = Annotated[int, msgspec.Meta(ge=0)]
Moments = tuple[Weight, Logarithm, Logarithm, Weight, float]
Weights = Annotated[
    tuple[tuple[Bin, BinWeight], ...],
    msgspec.Meta(min_length=1),
]


class KindRecord(msgspec.Struct, frozen=True, array_like=True):
    """What is known of one step number of a queue.

    Attributes:
        queue: Name of the queue.
        step: Number of the step.
        runs: Number of runs seen.
        moments: Fields of the regression.
        spread: Weights of the residuals, as pairs of bin and weight.
        sibling_spread: The same around the middle of the step.
        teams: Moments of each team that has runs of its own.
    """

    queue: str
    step: Number
    runs: Number
    moments: Moments
    spread: Weights
    sibling_spread: Weights
    teams: dict[str, Moments] = {}


class RunTimesRecord(msgspec.Struct, frozen=True):
    """Learned run times of a pool.

    Attributes:
        version: Version of the format.
        kinds: What is known of each step number of each queue, the last updated
            first.
    """

    version: int
    kinds: tuple[KindRecord, ...] = ()


class _Header(msgspec.Struct):
    version: int


def decode_record(data: bytes) -> RunTimesRecord:
    """Return a stored record.

    Raises:
        HeatherhatchError: ``BAD_REQUEST`` if it cannot be read or has another version.
    """
    version = decode_json(data, _Header).version
    if version != VERSION:
        raise HeatherhatchError(
            ErrorKind.BAD_REQUEST, f"version {version} instead of {VERSION}"
        )
    return decode_json(data, RunTimesRecord)


def within_size(kinds: Iterator[KindRecord], max_bytes: int) -> RunTimesRecord:
    """Return a record of the first kinds that fit in a size when encoded."""
    kept = []
    left = max_bytes - HEADER_BYTES
    for kind in kinds:
        left -= len(encode_json(kind)) + 1
        if left < 0:
            break
        kept.append(kind)
    return RunTimesRecord(VERSION, tuple(kept))


def kind_record(queue: str, step: int, kind: Kind) -> KindRecord:
    """Return the record of a kind."""
    return KindRecord(
        queue,
        step,
        kind.runs,
        _moments(kind.regression),
        _weights(kind.spread),
        _weights(kind.sibling_spread),
        {
            team: _moments(item)
            for team, item in kind.teams.items()
            if item.weight >= MIN_TEAM_WEIGHT
        },
    )


def restored_kind(record: KindRecord) -> Kind:
    """Return the kind of a record."""
    kind = Kind(record.runs, Regression(*record.moments))
    for team, moments in record.teams.items():
        kind.teams[team] = Regression(*moments)
    _restore_histogram(kind.spread, record.spread)
    _restore_histogram(kind.sibling_spread, record.sibling_spread)
    return kind


def _moments(regression: Regression) -> tuple[float, float, float, float, float]:
    return (
        round(regression.weight, 3),
        round(regression.mean_x, 4),
        round(regression.mean_y, 4),
        round(regression.square_x, 4),
        round(regression.product, 4),
    )


def _weights(histogram: Histogram) -> tuple[tuple[int, float], ...]:
    weights = (
        (index, round(count / histogram.gain, 2))
        for index, count in enumerate(histogram.counts)
    )
    return tuple(item for item in weights if item[1])


def _restore_histogram(
    histogram: Histogram, weights: tuple[tuple[int, float], ...]
) -> None:
    counts = array("f", [0.0]) * BINS
    for index, weight in weights:
        counts[index] = weight
    histogram.counts = counts
    histogram.total = sum(counts)
    histogram.gain = 1.0
