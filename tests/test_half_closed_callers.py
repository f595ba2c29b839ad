"""A caller that only ends its own direction has not left."""

import gevent
from gevent import socket

from heatherhatch_daemon.events import Event
from test_request_watch import GET, HANG_S, answer, listen, records  # noqa: F401


def test_a_caller_that_has_ended_its_direction_and_reads_is_not_lost(records, listen):  # noqa: F811
    def app(environ, start_response):
        gevent.sleep(0.1)
        return answer(environ, start_response)

    _listener, caller = listen(app)
    caller.sendall(GET)
    caller.shutdown(socket.SHUT_WR)
    received = b""
    with gevent.Timeout(HANG_S):
        while data := caller.recv(4096):
            received += data
    gevent.sleep(0.05)
    assert received.endswith(b"body")
    assert not records.of(Event.CALL_UNANSWERED)
