"""The operators' requests to evacuate data centres."""

from dataclasses import dataclass

from ..events import Event, log
from ..metrics import METER, Metric
from ..transport.store import Entry
from .clock import now_s


@dataclass(frozen=True, slots=True)
class EvacuationRequest:
    """A request to evacuate a data centre.

    Attributes:
        data_centre: Name of the data centre.
        revision: Revision of the store at which the request was written.
        read_s: When this instance first read it, monotonic seconds.
    """

    data_centre: str
    revision: int
    read_s: float


class EvacuationRequests:
    """The requests that are in force, from the feed of the operators' records.

    The key alone is the request. Its body is not read, so that a malformed one cannot
    keep tasks starting in a data centre that is about to go away.

    Args:
        prefix: Key prefix of the requests; empty if there are none.

    Attributes:
        by_data_centre: The requests by data centre.
    """

    def __init__(self, prefix: str):
        self.prefix = prefix
        self.by_data_centre: dict[str, EvacuationRequest] = {}

    @property
    def since_s(self) -> dict[str, float]:
        """When each evacuation was first read, monotonic seconds, by data centre."""
        return {name: item.read_s for name, item in self.by_data_centre.items()}

    def note_written(self, entry: Entry) -> None:
        """Handle a written key; keys of other records are ignored."""
        data_centre = self._data_centre(entry.key)
        if data_centre is None:
            return
        if not data_centre:
            log(
                Event.RECORD_SKIPPED,
                key=entry.key,
                revision=entry.revision,
                error="the key names no data centre",
            )
            return
        known = self.by_data_centre.get(data_centre)
        read_s = known.read_s if known else now_s()
        request = EvacuationRequest(data_centre, entry.revision, read_s)
        self.by_data_centre[data_centre] = request
        self._log("evacuation requested", data_centre, entry.revision)

    def note_deleted(self, key: str) -> None:
        """Handle a deleted key; keys of other records are ignored."""
        request = self.by_data_centre.pop(self._data_centre(key) or "", None)
        if request is not None:
            self._log("evacuation withdrawn", request.data_centre, request.revision)

    def _data_centre(self, key: str) -> str | None:
        if not self.prefix or not key.startswith(self.prefix):
            return None
        return key.removeprefix(self.prefix)

    def _log(self, what: str, data_centre: str, revision: int) -> None:
        METER.sink.gauge(Metric.EVACUATIONS, len(self.by_data_centre))
        log(
            Event.DECIDED,
            what=what,
            data_centre=data_centre,
            revision=revision,
            evacuated=sorted(self.by_data_centre),
        )
