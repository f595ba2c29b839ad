"""A hedged call ends once each of its sends has ended."""

import gevent
import pytest

from heatherhatch_core.coordination.hedging import HedgePolicy
from heatherhatch_core.exceptions import StoreError
from heatherhatch_daemon.pools.hedged_call import HedgeContext, HedgedCall

HANG_S = 5  # limits a call that never ends


# Guards against a call that never ends: the timer of the hedges may run first if the
# event loop lags.
def test_a_hedge_that_is_aborted_before_it_runs_is_not_awaited():
    answering = []

    def send():
        call._send_hedge()
        answering.append(call.caller)
        call._on_delay()
        raise StoreError("no complete response", True)

    context = HedgeContext(
        HedgePolicy(1.0),
        lambda: 1.0,
        answering.__contains__,
        lambda: False,
        lambda _outcome, _amount: None,
        lambda _error: None,
    )
    call = HedgedCall(send, context)
    with gevent.Timeout(HANG_S), pytest.raises(StoreError):
        call.run()
