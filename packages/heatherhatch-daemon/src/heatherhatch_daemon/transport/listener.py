"""HTTP listeners with bounds on what a client can cost."""

from collections.abc import Callable

import gevent
from gevent.pool import Pool
from gevent.pywsgi import WSGIServer

from ..settings import Address, LimitSettings


class Listener:
    """Serves a WSGI application and can end without cutting a request.

    Args:
        address: Where to listen.
        app: WSGI application.
        limits: Bounds on connections.
    """

    def __init__(self, address: Address, app: Callable, limits: LimitSettings):
        self.open_requests = 0
        self.app = app
        self.pool = Pool(limits.connections)
        self.server = WSGIServer(
            (address.host, address.port), self._count, spawn=self.pool, log=None
        )

    def start(self) -> Address:
        """Listen and return the address in use."""
        self.server.start()
        host, port = self.server.address[:2]
        return Address(host, port)

    def stop(self, grace_s: float) -> bool:
        """Accept nothing more and wait for open requests.

        Returns:
            True if no request was cut.
        """
        self.server.stop_accepting()
        with gevent.Timeout(grace_s, False):
            while self.open_requests:
                gevent.sleep(0.01)
        whole = self.open_requests == 0
        self.server.stop(timeout=0.1)
        return whole

    def _count(self, environ, start_response):
        self.open_requests += 1
        try:
            return self.app(environ, start_response)
        finally:
            self.open_requests -= 1
