"""The calls to the store that callers wait for are told from those of roles."""

import pytest

from heatherhatch_daemon.pools.caller_calls import is_callers_read, is_callers_write
from heatherhatch_daemon.pools.keys import (
    cancel_key,
    job_key,
    report_key,
    run_key,
    status_key,
)
from heatherhatch_daemon.transport.store import Expect, Put, Transaction

STATUS = Put(status_key("j1"), b"{}")
RUN = Put(run_key("till", "j1"), b"{}")


# Guards against submissions and cancellations that wait for the writes of a role.
@pytest.mark.parametrize(
    ("puts", "deletes", "is_callers"),
    [
        ((), (), True),
        ((STATUS, Put(job_key("till", "j1"), b"{}")), (), True),
        ((Put(cancel_key("till", "j1"), b"{}"),), (), True),
        ((STATUS,), (), True),
        ((STATUS, RUN), (), False),
        ((STATUS,), (job_key("till", "j1"), RUN.key), False),
        ((Put(report_key("till"), b"{}"),), (), False),
    ],
)
def test_writes_of_callers_are_told_from_those_of_roles(puts, deletes, is_callers):
    transaction = Transaction((Expect("op/config", 1),), puts, deletes)
    assert is_callers_write(transaction) is is_callers


def test_reads_of_status_records_and_reports_are_for_callers():
    assert is_callers_read(STATUS.key)
    assert is_callers_read(report_key("till"))
    assert not is_callers_read(RUN.key)
