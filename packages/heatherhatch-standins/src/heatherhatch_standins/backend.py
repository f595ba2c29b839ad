"""Stand-in for a backend server that records the requests it executes."""

from collections import Counter

import click
import falcon
import gevent
import msgspec
from gevent.lock import BoundedSemaphore

from heatherhatch_core.codec import encode_json

from .faults import FAULTS_PATH, HANG_S, FaultBox, FaultsResource, SilencingApp
from .ledger import Ledger
from .serving import ConnectionDroppedError, new_app, serve

ID_HEADER = "X-Request-Id"
WORK_HEADER = "X-Work-Seconds"
TEAM_HEADER = "X-Trial-Team"


class Backend:
    """State of one backend server.

    Args:
        name: Name that it puts into its answers.
        slots: Requests that it executes concurrently; further ones wait.
        work_s: Seconds that a request takes unless its header sets another time.
        ledger: Record that all backend servers of the process share.
    """

    def __init__(self, name: str, slots: int, work_s: float, ledger: Ledger):
        self.name = name
        self.ledger = ledger
        self.work_s = work_s
        self.slots = BoundedSemaphore(slots)
        self.executed: Counter[str] = Counter()


class WorkSink:
    """Executes a request on any path and returns its body and id."""

    def __init__(self, backend: Backend, box: FaultBox):
        self.backend = backend
        self.box = box

    def __call__(self, request, response, **_params):
        """Execute one request."""
        faults = self.box.faults
        if faults.down:
            raise ConnectionDroppedError
        body = request.bounded_stream.read()
        request_id = request.get_header(ID_HEADER) or ""
        seconds = float(request.get_header(WORK_HEADER) or self.backend.work_s)
        with self.backend.slots:
            self.backend.executed[request_id] += 1
            team = request.get_header(TEAM_HEADER) or ""
            with self.backend.ledger.work(self.backend.name, request_id, team):
                gevent.sleep(seconds + faults.delay_s)
        if self.box.occurs(faults.silent_share):
            gevent.sleep(HANG_S)
        if self.box.occurs(faults.lost_share):
            raise ConnectionDroppedError
        if self.box.occurs(faults.error_share):
            response.status = falcon.HTTP_500
        response.set_header(ID_HEADER, request_id)
        response.set_header("X-Backend", self.backend.name)
        if self.box.occurs(faults.truncated_share):
            response.set_header("Content-Length", str(len(body) + 100))
        response.content_type = "application/octet-stream"
        response.data = body


class ExecutedResource:
    """Serves how often each request was executed."""

    def __init__(self, backend: Backend):
        self.backend = backend

    def on_get(self, _request, response):
        """Return the number of executions by request id."""
        response.data = msgspec.json.encode(dict(self.backend.executed))


class LedgerResource:
    """Serves the record that all backend servers of the process share."""

    def __init__(self, ledger: Ledger):
        self.ledger = ledger

    def on_get(self, _request, response):
        """Return a copy of the record."""
        response.data = encode_json(self.ledger.page())


def backend_app(backend: Backend, box: FaultBox) -> SilencingApp:
    """Return the application of a backend server stand-in."""
    app = new_app()
    app.add_route(FAULTS_PATH, FaultsResource(box))
    app.add_route("/executed", ExecutedResource(backend))
    app.add_route("/ledger", LedgerResource(backend.ledger))
    app.add_sink(WorkSink(backend, box), "/")
    return SilencingApp(app, box)


@click.command()
@click.option("--count", default=1, help="Backend servers to run in this process.")
@click.option("--slots", default=32, help="Requests that each executes concurrently.")
@click.option("--work-s", default=0.002, help="Seconds that a request takes.")
def main(count: int, slots: int, work_s: float) -> None:
    """Run backend server stand-ins."""
    ledger = Ledger()
    backends = [Backend(f"{i}", slots, work_s, ledger) for i in range(count)]
    apps = [backend_app(item, FaultBox(i)) for i, item in enumerate(backends)]
    serve(tuple(apps))


if __name__ == "__main__":
    main()
