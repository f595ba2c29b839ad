"""Serving of a stand-in: one WSGI application on one loopback address."""

import signal

import falcon
import gevent
from gevent import socket
from gevent.event import Event as Signal
from gevent.pywsgi import WSGIHandler, WSGIServer

LOOPBACK = "127.0.0.1"


class ConnectionDroppedError(Exception):
    """Ends the connection of a request without an answer."""


class DroppingHandler(WSGIHandler):
    """Closes the connection without a word on `ConnectionDroppedError`."""

    def handle_error(self, kind, value, traceback):
        """Drop the connection, or answer as usual."""
        if kind is not None and issubclass(kind, ConnectionDroppedError):
            self.close_connection = True
            return
        super().handle_error(kind, value, traceback)


class PromptServer(WSGIServer):
    """A WSGI server whose connections send small writes at once."""

    def handle(self, sock, address):
        """Serve one connection."""
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().handle(sock, address)


def new_app() -> falcon.App:
    """Return a falcon application that passes `ConnectionDroppedError` on."""
    app = falcon.App()
    app.add_error_handler(ConnectionDroppedError, _drop)
    return app


def _drop(_request, _response, error, _params):
    # Falcon would otherwise answer with status 500.
    raise error


def open_server(app, port: int = 0) -> WSGIServer:
    """Return a started server; the kernel chooses the port if it is 0."""
    server = PromptServer(
        (LOOPBACK, port), app, log=None, error_log=None, handler_class=DroppingHandler
    )
    server.start()
    return server


def serve(apps: tuple, port: int = 0) -> None:
    """Serve applications until SIGTERM; print the address of each first.

    Args:
        apps: One application for each address.
        port: Port of the first one, 0 to let the kernel choose.
    """
    servers = [open_server(app, port if app is apps[0] else 0) for app in apps]
    print(" ".join(f"{LOOPBACK}:{item.server_port}" for item in servers), flush=True)
    ended = Signal()
    gevent.signal_handler(signal.SIGTERM, ended.set)
    ended.wait()
    for server in servers:
        server.stop(timeout=0)
