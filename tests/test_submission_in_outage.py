"""A submission ends while another instance can still find out what became of it."""

import pytest

from heatherhatch_core.exceptions import HeatherhatchError
from test_pool_intake import IntakeHarness


# Guards against submissions that an instance keeps although it is known to be cut off.
def test_a_submission_is_not_tried_again_in_a_known_outage():
    harness = IntakeHarness()
    outage_s = [0.0]
    attempts = []

    def transact(transaction):
        if transaction.puts:
            attempts.append(transaction)
            harness.store.script = ["cut"]
            outage_s[0] = 2.0
        return type(harness.store).transact(harness.store, transaction)

    harness.store.transact = transact
    harness.intake.store_outage_s = lambda: outage_s[0]
    with pytest.raises(HeatherhatchError):
        harness.submit()
    assert len(attempts) == 1
