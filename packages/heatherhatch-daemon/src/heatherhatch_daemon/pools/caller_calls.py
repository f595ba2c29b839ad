"""Tells which calls to the store the answers to callers wait for."""

from ..transport.store import Transaction
from .keys import JOBS_PREFIX, REPORT_PREFIX, STATUS_PREFIX

# Small records; a configuration may have 850 KB.
READ_PREFIXES = (STATUS_PREFIX, REPORT_PREFIX)


def is_callers_read(key: str) -> bool:
    """Return whether the read of a key is for the answer to a caller."""
    return key.startswith(READ_PREFIXES)


def is_callers_write(transaction: Transaction) -> bool:
    """Return whether a transaction is for the answer to a caller.

    It stores a job, the request to cancel one, which holders of roles only delete, or
    that one was cancelled before it was stored; or it writes nothing and confirms the
    configuration.
    """
    if not transaction.puts and not transaction.deletes:
        return True
    written = [put.key for put in transaction.puts]
    # Holders of roles change a status only together with the progress of the job.
    return any(key.startswith(JOBS_PREFIX) for key in written) or (
        bool(written)
        and not transaction.deletes
        and all(key.startswith(STATUS_PREFIX) for key in written)
    )
