"""Store client for the etcd v3 JSON gateway."""

import base64
from collections.abc import Iterator
from dataclasses import dataclass, field

import msgspec

from heatherhatch_core.exceptions import HeatherhatchError, StoreError

from ..settings import Address
from .http import ExchangeError, HttpClient, HttpRequest, exchange_bytes
from .store import Entry, Outcome, Put, Snapshot, Transaction, WatchEvent, prefix_end

STORE_CONNECTIONS = 8


def _base64_text(text: str | bytes) -> str:
    data = text.encode() if isinstance(text, str) else text
    return base64.b64encode(data).decode()


@dataclass(frozen=True, slots=True)
class _Header:
    revision: str = "0"


@dataclass(frozen=True, slots=True)
class _KeyValue:
    key: str
    value: str = ""
    mod_revision: str = "0"
    lease: str = "0"

    def entry(self) -> Entry:
        return Entry(
            key=base64.b64decode(self.key).decode(),
            value=base64.b64decode(self.value),
            revision=int(self.mod_revision),
            lease=int(self.lease),
        )


@dataclass(frozen=True, slots=True)
class _RangeAnswer:
    header: _Header = field(default_factory=_Header)
    kvs: tuple[_KeyValue, ...] = ()


@dataclass(frozen=True, slots=True)
class _TxnAnswer:
    header: _Header = field(default_factory=_Header)
    succeeded: bool = False


@dataclass(frozen=True, slots=True)
class _LeaseAnswer:
    ID: str = "0"
    TTL: str = "0"


@dataclass(frozen=True, slots=True)
class _KeepAliveAnswer:
    result: _LeaseAnswer = field(default_factory=_LeaseAnswer)


@dataclass(frozen=True, slots=True)
class _WatchChange:
    kv: _KeyValue
    type: str = "PUT"


@dataclass(frozen=True, slots=True)
class _WatchResult:
    events: tuple[_WatchChange, ...] = ()


@dataclass(frozen=True, slots=True)
class _WatchAnswer:
    result: _WatchResult = field(default_factory=_WatchResult)


class EtcdStore:
    """Client of a store with an etcd v3 JSON gateway.

    The gateway is the published HTTP form of etcd's API: keys and values are
    base64 strings, 64-bit numbers are decimal strings.

    Attributes:
        calls: Number of calls sent.
        bytes: Bytes of all calls with a response, watches excluded.
    """

    def __init__(self, address: Address, timeout_s: float):
        self.client = HttpClient(address, STORE_CONNECTIONS, timeout_s)
        self.timeout_s = timeout_s
        self.calls = 0
        self.bytes = 0

    def get(self, key: str) -> Entry | None:
        """Return the entry of a key, None if the key does not exist."""
        body = {"key": _base64_text(key)}
        answer = self._call("/v3/kv/range", body, _RangeAnswer)
        return answer.kvs[0].entry() if answer.kvs else None

    def range(self, prefix: str, start: str = "", limit: int = 0) -> Snapshot:
        """Return the entries under a prefix, from the key ``start`` on."""
        body = {
            "key": _base64_text(start or prefix),
            "range_end": _base64_text(prefix_end(prefix)),
            "limit": str(limit),
        }
        answer = self._call("/v3/kv/range", body, _RangeAnswer)
        entries = tuple(item.entry() for item in answer.kvs)
        return Snapshot(int(answer.header.revision), entries)

    def transact(self, transaction: Transaction) -> Outcome:
        """Apply a transaction if its conditions hold."""
        body = {
            "compare": [
                {
                    "key": _base64_text(expect.key),
                    "target": "MOD",
                    "result": "EQUAL",
                    "mod_revision": str(expect.revision),
                }
                for expect in transaction.expects
            ],
            "success": [
                *(_put_operation(put) for put in transaction.puts),
                *(
                    {"request_delete_range": {"key": _base64_text(key)}}
                    for key in transaction.deletes
                ),
            ],
        }
        answer = self._call("/v3/kv/txn", body, _TxnAnswer, writes=True)
        return Outcome(answer.succeeded, int(answer.header.revision))

    def grant_lease(self, ttl_s: int) -> int:
        """Create a lease and return its id."""
        body = {"TTL": str(ttl_s)}
        return int(self._call("/v3/lease/grant", body, _LeaseAnswer, writes=True).ID)

    def keep_lease(self, lease: int) -> bool:
        """Renew a lease; return False if it does not exist any more."""
        body = {"ID": str(lease)}
        answer = self._call("/v3/lease/keepalive", body, _KeepAliveAnswer, writes=True)
        return int(answer.result.TTL) > 0

    def revoke_lease(self, lease: int) -> None:
        """End a lease and delete its keys."""
        body = {"ID": str(lease)}
        self._call("/v3/lease/revoke", body, _LeaseAnswer, writes=True)

    def watch(self, prefix: str, revision: int) -> Iterator[WatchEvent]:
        """Yield changes under a prefix from a revision on, until the watch fails."""
        body = {
            "create_request": {
                "key": _base64_text(prefix),
                "range_end": _base64_text(prefix_end(prefix)),
                "start_revision": str(revision),
            }
        }
        request = HttpRequest("POST", "/v3/watch", msgspec.json.encode(body))
        self.calls += 1
        try:
            for line in self.client.stream_lines(request):
                answer = msgspec.json.decode(line, type=_WatchAnswer)
                for change in answer.result.events:
                    yield WatchEvent(change.kv.entry(), change.type == "DELETE")
        except (HeatherhatchError, msgspec.MsgspecError, ValueError) as error:
            raise StoreError(f"watch: {error}") from error

    def _call(self, path, body, kind, writes=False):
        request = HttpRequest("POST", path, msgspec.json.encode(body))
        self.calls += 1
        try:
            answer = self.client.exchange(request, self.timeout_s, by_progress=True)
        except ExchangeError as error:
            raise StoreError(f"{path}: {error}", writes and error.sent) from error
        self.bytes += exchange_bytes(request, answer)
        if answer.status != 200:
            raise StoreError(f"{path}: status {answer.status}", writes)
        try:
            return msgspec.json.decode(answer.body, type=kind)
        except (msgspec.MsgspecError, ValueError) as error:
            raise StoreError(f"{path}: {error}", writes) from error


def _put_operation(put: Put) -> dict:
    operation = {"key": _base64_text(put.key), "value": _base64_text(put.value)}
    if put.lease:
        operation["lease"] = str(put.lease)
    return {"request_put": operation}
