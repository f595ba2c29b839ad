"""Shows operators how far the evacuation of data centres has come."""

from dataclasses import dataclass

from heatherhatch_core.codec import decode_json
from heatherhatch_core.coordination.scheduler.relocation import REASONS_OF_OTHERS
from heatherhatch_core.exceptions import HeatherhatchError

from ..transport.store import PolledStore
from .fleet_records import PoolReport
from .keys import REPORT_PREFIX


@dataclass(frozen=True, slots=True)
class EvacuationRow:
    """The runs of one pool in an evacuated data centre.

    Attributes:
        data_centre: Name of the data centre.
        revision: Revision of the store at which the evacuation was requested.
        pool: Name of the pool; empty if no pool reports runs there.
        lasting: Number of runs that continue until their job is cancelled.
        others: Number of other runs.
        staying: Why they stay, with the number of runs for each reason.
    """

    data_centre: str
    revision: int
    pool: str = ""
    lasting: int = 0
    others: int = 0
    staying: str = ""


def list_evacuations(store: PolledStore, prefix: str) -> tuple[EvacuationRow, ...]:
    """Return the evacuated data centres with the runs that pools report there.

    Args:
        store: The platform's store.
        prefix: Key prefix of the requests.

    Raises:
        StoreError: If the store does not answer.
    """
    reports = _read_reports(store)
    rows = []
    for entry in store.range(prefix).entries:
        name = entry.key.removeprefix(prefix)
        found = [
            _row(name, entry.revision, report)
            for report in reports
            if report.staying.get(name)
        ]
        rows += found or [EvacuationRow(name, entry.revision)]
    return tuple(rows)


def _read_reports(store: PolledStore) -> list[PoolReport]:
    reports = []
    for entry in store.range(REPORT_PREFIX).entries:
        try:
            reports.append(decode_json(entry.value, PoolReport))
        except HeatherhatchError:
            continue  # `pool list` names the problem
    return reports


def _row(name: str, revision: int, report: PoolReport) -> EvacuationRow:
    counts = report.staying[name]
    others = sum(counts.get(reason, 0) for reason in REASONS_OF_OTHERS)
    staying = ", ".join(f"{why} ({count})" for why, count in sorted(counts.items()))
    lasting = sum(counts.values()) - others
    return EvacuationRow(name, revision, report.pool, lasting, others, staying)
