"""Watches the records that the holders of roles exchange through the store."""

from collections.abc import Callable

from heatherhatch_core.codec import decode_json
from heatherhatch_core.exceptions import HeatherhatchError

from ..events import Event, log
from ..transport.store import Entry, PolledStore
from .feed import Feed
from .fleet_records import FleetPlan, Grant, PoolReport
from .keys import GRANT_PREFIX, PLAN_KEY, REPORT_PREFIX

POLL_S = 0.05  # changes in quick succession are read together
GRANT_POLL_S = 0.25  # grants change seldom, and many at a time


class PlanWatcher:
    """Watches the coordinator's plan and the grants of the teams in the store.

    Attributes:
        plan: The coordinator's plan.
        plan_revision: Revision of the plan in the store.
        grants: Grant of each team.
        grant_revisions: Revision of each team's grant in the store.
    """

    def __init__(self, store: PolledStore):
        self.plan = FleetPlan()
        self.plan_revision = 0
        self.grants: dict[str, Grant] = {}
        self.grant_revisions: dict[str, int] = {}
        self.feeds = [
            Feed(store, PLAN_KEY, self._update_plan, _on_delete, min_interval_s=POLL_S),
            Feed(
                store,
                GRANT_PREFIX,
                self.update_grant,
                _on_delete,
                min_interval_s=GRANT_POLL_S,
            ),
        ]

    def start(self) -> None:
        """Start watching the plan and the grants."""
        for feed in self.feeds:
            if feed.greenlet is None:
                feed.start()

    @property
    def loaded(self) -> bool:
        """True once the plan and the grants were read."""
        return all(feed.loaded for feed in self.feeds)

    def update_grant(self, entry: Entry) -> None:
        """Update a team's grant from an entry, unless the entry is older."""
        team = entry.key.removeprefix(GRANT_PREFIX)
        grant = _decode(entry, Grant)
        if grant is not None and entry.revision > self.grant_revisions.get(team, 0):
            self.grants[team] = grant
            self.grant_revisions[team] = entry.revision

    def update_plan(self, plan: FleetPlan, revision: int) -> None:
        """Update the plan, unless the revision is older."""
        if revision > self.plan_revision:
            self.plan = plan
            self.plan_revision = revision

    def _update_plan(self, entry: Entry) -> None:
        plan = _decode(entry, FleetPlan)
        if plan is not None:
            self.update_plan(plan, entry.revision)


class ReportWatcher:
    """Watches the reports of the pools in the store.

    Args:
        store: The platform's store.
        on_report: Called after each report that was read.

    Attributes:
        reports: The last report of each pool.
    """

    def __init__(self, store: PolledStore, on_report: Callable[[], None]):
        self.on_report = on_report
        self.reports: dict[str, PoolReport] = {}
        self.feed = Feed(
            store, REPORT_PREFIX, self._update, _on_delete, min_interval_s=POLL_S
        )

    def _update(self, entry: Entry) -> None:
        report = _decode(entry, PoolReport)
        if report is not None:
            self.reports[report.pool] = report
            self.on_report()


def _on_delete(key: str) -> None:
    log(Event.RECORD_SKIPPED, key=key, reason="a record of the fleet is gone")


def _decode(entry: Entry, kind: type):
    try:
        return decode_json(entry.value, kind)
    except HeatherhatchError as error:
        log(Event.RECORD_SKIPPED, key=entry.key, error=error.detail)
        return None
