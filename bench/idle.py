"""Measures the idle cost of a node: processor, memory, bytes and store calls."""

import socket
import statistics
import time
from collections import Counter
from dataclasses import dataclass

import psutil

from heatherhatch_core.state.changes import Edit
from heatherhatch_core.state.entities import Pool
from heatherhatch_standins.deployment import Deployment
from heatherhatch_standins.processes import Trial
from heatherhatch_standins.serving import LOOPBACK

NODE_COUNTS = (3, 5, 7)
# Nodes send their counters every 5 s, so those of the start are in by then.
SETTLE_S = 7.0
MEASURED_S = 10.0
DATAGRAM_BYTES = 4_096
CPU_TARGET_PERCENT = 1.0
MEMORY_TARGET_MB = 32.0
BYTES_TARGET_PER_S = 9_000.0
CALLS_TARGET_PER_S = 2.0
MEBIBYTE = 1_048_576
SMALL_EDIT = Edit(pools=(Pool("tills", 0),))


@dataclass(frozen=True, slots=True)
class Cost:
    """Mean cost of one idle node.

    Attributes:
        cpu: Processor time of the whole process, percent of a core.
        memory_mb: Resident memory of the whole process, mebibytes.
        bytes_s: Bytes per second that it sends and receives: its requests to peers
            and store with their answers, and the requests of its peers to it.
        calls_s: Store calls per second.
    """

    cpu: float
    memory_mb: float
    bytes_s: float
    calls_s: float


def run() -> None:
    """Print the idle cost for several numbers of nodes, and its slope."""
    costs = {size: measure(size) for size in NODE_COUNTS}
    for size, cost in costs.items():
        print_figure(size, "cpu", cost.cpu, "% of a core", CPU_TARGET_PERCENT)
        print_figure(size, "memory", cost.memory_mb, "MiB", MEMORY_TARGET_MB)
        print_figure(size, "bytes", cost.bytes_s, "B/s", BYTES_TARGET_PER_S)
        print_figure(size, "store_calls", cost.calls_s, "1/s", CALLS_TARGET_PER_S)
    for name in ("cpu", "memory_mb", "bytes_s", "calls_s"):
        values = [getattr(costs[size], name) for size in NODE_COUNTS]
        slope = statistics.linear_regression(NODE_COUNTS, values).slope
        print(f"idle.slope.{name} {slope:.3f} per node")


def print_figure(size: int, name: str, value: float, unit: str, target: float) -> None:
    """Print one measurement and, where it is missed, its target."""
    note = f" MISSED target {target:g}" if value > target else ""
    print(f"idle.{size}_nodes.{name} {value:.3f} {unit}{note}")


def measure(size: int, edit: Edit = SMALL_EDIT) -> Cost:
    """Return the mean cost of an idle node.

    Args:
        size: Number of nodes.
        edit: Initial configuration.
    """
    receiver = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    receiver.bind((LOOPBACK, 0))
    receiver.setblocking(False)
    with receiver, Trial() as trial:
        deployment = Deployment(trial, "control", edit, size)
        address = f"{LOOPBACK}:{receiver.getsockname()[1]}"
        deployment.sections = {"platform": {"statsd": address}}
        deployment.start()
        processes = [
            psutil.Process(trial.processes[node].pid) for node in deployment.node_names
        ]
        time.sleep(SETTLE_S)
        read_counters(receiver)
        before = [cpu_s(process) for process in processes]
        started_s = time.monotonic()
        time.sleep(MEASURED_S)
        elapsed_s = time.monotonic() - started_s
        used_s = sum(cpu_s(process) for process in processes) - sum(before)
        counters = read_counters(receiver)
        memory = statistics.mean(process.memory_info().rss for process in processes)
    # An exchange between nodes costs both of them, but only one of them counts it.
    exchanged = 2 * counters["peer_bytes"] + counters["store_bytes"]
    return Cost(
        100 * used_s / elapsed_s / size,
        memory / MEBIBYTE,
        exchanged / elapsed_s / size,
        counters["store_calls"] / elapsed_s / size,
    )


def cpu_s(process: psutil.Process) -> float:
    """Return the processor seconds that a process has used."""
    times = process.cpu_times()
    return times.user + times.system


def read_counters(receiver: socket.socket) -> Counter:
    """Return the sum of each counter over all datagrams received."""
    sums: Counter = Counter()
    while True:
        try:
            data = receiver.recv(DATAGRAM_BYTES).decode()
        except BlockingIOError:
            return sums
        name, _, rest = data.partition(":")
        value, _, kind = rest.partition("|")
        if kind == "c":
            sums[name.rpartition(".")[2]] += float(value)
