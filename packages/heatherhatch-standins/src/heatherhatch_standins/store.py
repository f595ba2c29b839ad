"""Stand-in for the platform's store: the etcd v3 JSON gateway to a store in memory."""

import base64
import time

import click
import gevent
import msgspec

from heatherhatch_daemon.transport.memory_store import MemoryStore
from heatherhatch_daemon.transport.store import Entry, Expect, Put, Transaction

from .faults import FAULTS_PATH, FaultBox, FaultsResource, SilencingApp
from .serving import ConnectionDroppedError, new_app, serve


def store_app(store: MemoryStore, box: FaultBox) -> SilencingApp:
    """Return the application of a store stand-in."""
    app = new_app()
    app.add_route(FAULTS_PATH, FaultsResource(box))
    for path, handler in (
        ("/v3/kv/range", _range),
        ("/v3/kv/txn", _transact),
        ("/v3/lease/grant", _grant),
        ("/v3/lease/keepalive", _keep_alive),
        ("/v3/lease/revoke", _revoke),
    ):
        app.add_route(path, CallResource(store, box, handler))
    app.add_route("/v3/watch", WatchResource(store, box))
    return SilencingApp(app, box)


class CallResource:
    """Answers one kind of call, or fails according to the faults."""

    def __init__(self, store, box, handler):
        self.store = store
        self.box = box
        self.handler = handler

    def on_post(self, request, response):
        """Answer one call."""
        if self.box.faults.down:
            raise ConnectionDroppedError
        self.box.delay()
        body = msgspec.json.decode(request.bounded_stream.read())
        answer = self.handler(self.store, body)
        if self.box.faults.down or self.box.occurs(self.box.faults.lost_share):
            raise ConnectionDroppedError
        answer["header"] = {"revision": str(self.store.revision)}
        response.data = msgspec.json.encode(answer)


class WatchResource:
    """Streams changes of a watched prefix."""

    def __init__(self, store, box):
        self.store = store
        self.box = box

    def on_post(self, request, response):
        """Stream changes until the connection is closed or the store goes down."""
        if self.box.faults.down:
            raise ConnectionDroppedError
        watch_request = msgspec.json.decode(request.bounded_stream.read())[
            "create_request"
        ]
        watch = self.store.watch(
            _decode_text(watch_request["key"]), int(watch_request["start_revision"])
        )
        response.content_type = "application/json"
        response.stream = self._lines(watch)

    def _lines(self, watch):
        yield b'{"result":{"created":true}}\n'
        for event in watch:
            if self.box.faults.down:
                return
            self.box.delay()
            change = {"kv": _key_value(event.entry)}
            if event.deleted:
                change["type"] = "DELETE"
            yield msgspec.json.encode({"result": {"events": [change]}}) + b"\n"


def _range(store, body):
    key = _decode_text(body["key"])
    if "range_end" not in body:
        entry = store.get(key)
        entries = (entry,) if entry else ()
    else:
        end = _decode_text(body["range_end"])
        prefix = end[:-1] + chr(ord(end[-1]) - 1)
        limit = int(body.get("limit", 0))
        entries = store.range(prefix, key, limit).entries
    return {"kvs": [_key_value(entry) for entry in entries]}


def _transact(store, body):
    expects = tuple(
        Expect(_decode_text(item["key"]), int(item["mod_revision"]))
        for item in body.get("compare", ())
    )
    writes = body.get("success", ())
    puts = tuple(
        Put(
            _decode_text(item["request_put"]["key"]),
            base64.b64decode(item["request_put"]["value"]),
            int(item["request_put"].get("lease", 0)),
        )
        for item in writes
        if "request_put" in item
    )
    deletes = tuple(
        _decode_text(item["request_delete_range"]["key"])
        for item in writes
        if "request_delete_range" in item
    )
    outcome = store.transact(Transaction(expects, puts, deletes))
    return {"succeeded": outcome.succeeded}


def _grant(store, body):
    return {"ID": str(store.grant_lease(int(body["TTL"]))), "TTL": body["TTL"]}


def _keep_alive(store, body):
    alive = store.keep_lease(int(body["ID"]))
    return {"result": {"ID": body["ID"], "TTL": "1" if alive else "0"}}


def _revoke(store, body):
    store.revoke_lease(int(body["ID"]))
    return {}


def _key_value(entry: Entry) -> dict:
    return {
        "key": base64.b64encode(entry.key.encode()).decode(),
        "value": base64.b64encode(entry.value).decode(),
        "mod_revision": str(entry.revision),
        "lease": str(entry.lease),
    }


def _decode_text(data: str) -> str:
    return base64.b64decode(data).decode()


def _expire_leases(store, boxes):
    while True:
        gevent.sleep(0.1)
        if not all(box.faults.down for box in boxes):
            store.expire_leases()


@click.command()
@click.option("--port", default=0)
@click.option(
    "--doors", default=1, help="Number of addresses, each with separate faults."
)
def main(port: int, doors: int) -> None:
    """Run a store stand-in."""
    store = MemoryStore(time.monotonic)
    boxes = [FaultBox(seed) for seed in range(doors)]
    gevent.spawn(_expire_leases, store, boxes)
    serve(tuple(store_app(store, box) for box in boxes), port)


if __name__ == "__main__":
    main()
