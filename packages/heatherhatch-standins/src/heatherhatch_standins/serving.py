"""HTTP servers of the stand-ins, one loopback address for each WSGI application."""

import signal

import falcon
import gevent
from gevent import socket
from gevent.event import Event as Signal
from gevent.pywsgi import WSGIHandler, WSGIServer

LOOPBACK = "127.0.0.1"


class ConnectionDroppedError(Exception):
    """Raised to close the connection of a request without an answer."""


class DroppingHandler(WSGIHandler):
    """Closes the connection without an answer on `ConnectionDroppedError`."""

    def handle_error(self, kind, value, traceback):
        """Close the connection, or answer other errors as usual."""
        if kind is not None and issubclass(kind, ConnectionDroppedError):
            self.close_connection = True
            return
        super().handle_error(kind, value, traceback)


class NoDelayServer(WSGIServer):
    """WSGI server that sends small writes without delay (``TCP_NODELAY``)."""

    def handle(self, sock, address):
        """Serve one connection."""
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().handle(sock, address)


def new_app() -> falcon.App:
    """Return a falcon application that propagates `ConnectionDroppedError`."""
    app = falcon.App()
    app.add_error_handler(ConnectionDroppedError, _drop)
    return app


def _drop(_request, _response, error, _params):
    # Falcon would otherwise answer with status 500.
    raise error


def open_server(app, port: int = 0) -> WSGIServer:
    """Return a started server; if `port` is 0, the kernel chooses one."""
    server = NoDelayServer(
        (LOOPBACK, port), app, log=None, error_log=None, handler_class=DroppingHandler
    )
    server.start()
    return server


def serve(apps: tuple, port: int = 0) -> None:
    """Print the address of each application and serve them until SIGTERM.

    Args:
        apps: One application for each address.
        port: Port of the first application, 0 to let the kernel choose.
    """
    servers = [open_server(app, port if app is apps[0] else 0) for app in apps]
    print(" ".join(f"{LOOPBACK}:{item.server_port}" for item in servers), flush=True)
    stop_requested = Signal()
    gevent.signal_handler(signal.SIGTERM, stop_requested.set)
    stop_requested.wait()
    for server in servers:
        server.stop(timeout=0)
