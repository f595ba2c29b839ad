"""Deletes claims of this node from the store, or ends their lease."""

from heatherhatch_core.exceptions import StoreError

from ..events import Event, log
from ..transport.store import Entry, Expect, PolledStore, Transaction


def delete_claims(store: PolledStore, claims: list[Expect]) -> None:
    """Delete those claims that no other node has replaced.

    A failure is logged and not reported: claims expire with their lease.

    Args:
        store: The platform's store.
        claims: Conditions that hold while this node has the claims.
    """
    if not claims:
        return
    keys = tuple(claim.key for claim in claims)
    try:
        outcome = store.transact(Transaction(tuple(claims), (), keys))
    except StoreError as error:
        log(Event.WRITE_FAILED, what="release of claims", error=str(error))
        return
    if not outcome.succeeded and len(claims) > 1:
        for claim in claims:
            delete_claims(store, [claim])


def delete_claim(store: PolledStore, claim: Entry) -> None:
    """Delete a claim unless it has been replaced; a failure is logged."""
    delete_claims(store, [Expect(claim.key, claim.revision)])


def end_lease(store: PolledStore, lease: int) -> None:
    """End a lease, which deletes the claims under it.

    A failure is logged and not reported: the lease expires by itself.
    """
    try:
        store.revoke_lease(lease)
    except StoreError as error:
        log(Event.WRITE_FAILED, what="end of the lease", error=str(error))
