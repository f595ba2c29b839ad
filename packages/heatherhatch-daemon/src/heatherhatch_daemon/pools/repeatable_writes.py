"""Finds the transactions of which two sends cannot both take effect.

The property holds even if a send takes effect seconds later: the transaction must
contain a condition that its own effect makes false and that never holds again. As a
transaction is atomic, one such condition is enough.
"""

from ..transport.store import Expect, Outcome, Transaction
from .keys import (
    CANCEL_SUFFIX,
    GRANT_PREFIX,
    JOBS_PREFIX,
    PLAN_KEY,
    REPORT_PREFIX,
    RUNS_PREFIX,
    STATUS_PREFIX,
)

# Records that exist for good once written, except that the sweeper removes a status
# 60 s after its retention time at the earliest. A late effect takes 6 s.
LASTING_PREFIXES = (STATUS_PREFIX, GRANT_PREFIX, PLAN_KEY, REPORT_PREFIX)
BASE64_FACTOR = 4 / 3
ENTRY_OVERHEAD_BYTES = 40  # of field names and numbers around a key


def takes_effect_once(transaction: Transaction) -> bool:
    """Return whether two sends of a transaction cannot both take effect."""
    written = {put.key for put in transaction.puts}
    changed = written.union(transaction.deletes)
    for expect in transaction.expects:
        if expect.key not in changed:
            continue
        if expect.revision > 0:
            # Each write of a key gives it a revision that no key ever had.
            return True
        if expect.key in written and _stays(expect.key, transaction):
            return True
    return False


def _stays(key: str, transaction: Transaction) -> bool:
    """Return whether a key that a transaction creates makes later sends fail.

    A key that can be deleted needs a condition that its deletion makes false.
    """
    if key.startswith(LASTING_PREFIXES):
        return True
    if key.startswith(RUNS_PREFIX):
        # The end of a job deletes its record in the same transaction.
        job = JOBS_PREFIX + key.removeprefix(RUNS_PREFIX)
        return _expects_existing(transaction, lambda other: other == job)
    if key.startswith(JOBS_PREFIX) and key.endswith(CANCEL_SUFFIX):
        # The end of a job writes its status in the same transaction.
        job_id = key.removesuffix(CANCEL_SUFFIX).rpartition("/")[2]
        return _expects_existing(
            transaction,
            lambda other: (
                other.startswith(STATUS_PREFIX) and other.endswith(f"/{job_id}")
            ),
        )
    return False


def _expects_existing(transaction: Transaction, matches) -> bool:
    return any(
        expect.revision > 0 and matches(expect.key) for expect in transaction.expects
    )


def encoded_bytes(transaction: Transaction) -> int:
    """Return about how many bytes the request of a transaction has."""
    values = sum(len(put.value) for put in transaction.puts)
    keys = [item.key for item in (*transaction.expects, *transaction.puts)]
    names = sum(map(len, (*keys, *transaction.deletes)))
    overhead = ENTRY_OVERHEAD_BYTES * (len(keys) + len(transaction.deletes))
    return int(BASE64_FACTOR * values) + names + overhead


def resolve(transaction: Transaction, outcome: Outcome) -> Outcome:
    """Return the outcome of a transaction of which several sends were made.

    A failed condition means success if another send took effect: the conditions on
    other keys still hold, and all keys that the transaction changes and expects are
    as it leaves them, written at one revision above the expected ones.

    Args:
        transaction: A transaction for which `takes_effect_once` is true.
        outcome: The answer to one of the sends.
    """
    if outcome.succeeded:
        return outcome
    found = {entry.key: entry for entry in outcome.entries}
    puts = {put.key: put for put in transaction.puts}
    revisions = set()
    changed = 0
    for expect in transaction.expects:
        entry = found.get(expect.key)
        put = puts.get(expect.key)
        if put is not None:
            if entry is None or entry.value != put.value or entry.lease != put.lease:
                return outcome
            revisions.add(entry.revision)
        elif expect.key in transaction.deletes:
            if entry is not None:
                return outcome
        elif not _holds(expect, found):
            return outcome
        changed += put is not None or expect.key in transaction.deletes
    highest = max(expect.revision for expect in transaction.expects)
    if not changed or len(revisions) > 1 or (revisions and min(revisions) <= highest):
        return outcome
    return Outcome(True, revisions.pop() if revisions else 0)


def _holds(expect: Expect, found: dict) -> bool:
    entry = found.get(expect.key)
    return (entry.revision if entry is not None else 0) == expect.revision
