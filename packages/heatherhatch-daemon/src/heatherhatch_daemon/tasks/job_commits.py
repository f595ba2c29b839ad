"""Conditional writes of the dispatcher's decisions about jobs."""

from heatherhatch_core.coordination.dispatch import Dispatch
from heatherhatch_core.exceptions import HeatherhatchError

from ..transport.store import Transaction
from .claim import Claim
from .follower import Follower
from .job_ledger import JobLedger
from .job_records import BATCH_JOBS, JobRecords, Update


class JobCommits:
    """Records changes of jobs, conditional on the claim and each job's revision.

    Args:
        claim: The claim of the dispatcher.
        records: Job records in the store.
        ledger: Grant records of the teams.
        follower: Source of the configuration.
    """

    def __init__(
        self,
        claim: Claim,
        records: JobRecords,
        ledger: JobLedger,
        follower: Follower,
    ):
        self.claim = claim
        self.records = records
        self.ledger = ledger
        self.follower = follower

    def record(self, dispatch: Dispatch, updates: list[Update]) -> list[Update]:
        """Record updates and return those that took effect.

        Args:
            dispatch: State of all live jobs, updated with what took effect.
            updates: Changes of jobs, at most one for each job.

        Raises:
            StoreError: If the store does not answer. The updates may have taken
                effect or not.
        """
        committed: list[Update] = []
        teams: dict[str, list[Update]] = {}
        for update in updates:
            teams.setdefault(update.before.team, []).append(update)
        for team, items in teams.items():
            for first in range(0, len(items), BATCH_JOBS):
                committed += self._commit(
                    dispatch, team, items[first : first + BATCH_JOBS]
                )
        return committed

    def _commit(
        self, dispatch: Dispatch, team: str, updates: list[Update]
    ) -> list[Update]:
        delta = sum(item.after.units - item.before.units for item in updates)
        try:
            expects, puts = self.ledger.change(self.follower.config, team, delta)
        except HeatherhatchError:
            expects = None
        if expects is not None:
            expects = (self.claim.expect, *expects)
            transaction = self.records.transaction(updates, expects, puts)
            if self._transact(dispatch, transaction, updates, puts):
                return updates
        # One stale record makes the whole transaction fail, so each half is
        # tried separately.
        self.ledger.refresh(force=True)
        if len(updates) == 1:
            return []
        half = len(updates) // 2
        first = self._commit(dispatch, team, updates[:half])
        return first + self._commit(dispatch, team, updates[half:])

    def _transact(
        self, dispatch: Dispatch, transaction: Transaction, updates, puts
    ) -> bool:
        outcome = self.records.store.transact(transaction)
        if not outcome.succeeded:
            return False
        self.ledger.record_written(puts, outcome.revision)
        for update in updates:
            if update.after.ended:
                dispatch.drop(update.after.job_id)
            else:
                dispatch.put(update.after, outcome.revision)
        return True
