"""Processes of a trial: started, addressed by their output, ended by process id."""

import os
import signal
import subprocess
import sys
import tempfile
from dataclasses import dataclass, field
from pathlib import Path

import yaml

from heatherhatch_core.keys import digest_of

from .serving import LOOPBACK

FIRST_SECRET = "trial-secret"
FIRST_TOKEN = f"first.{FIRST_SECRET}"
PEER_SECRET = "trial-peers"
EXIT_TIMEOUT_S = 15.0


@dataclass(slots=True)
class Trial:
    """Starts the processes of one trial, and kills those that run when it exits.

    Use it as a context manager.

    Attributes:
        folder: Folder for the settings and logs of the processes.
        processes: Processes by name.
    """

    folder: Path = field(default_factory=lambda: Path(tempfile.mkdtemp()))
    processes: dict[str, subprocess.Popen] = field(default_factory=dict)

    def __enter__(self):
        return self

    def __exit__(self, *_exception):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait(EXIT_TIMEOUT_S)

    def start_standin(self, name: str, module: str, *arguments: str) -> str:
        """Start a stand-in and return the ``host:port`` addresses that it prints."""
        command = [sys.executable, "-m", f"heatherhatch_standins.{module}", *arguments]
        process = self._start(name, command, subprocess.PIPE)
        return process.stdout.readline().decode().strip()

    def start_daemon(self, name: str, settings: dict) -> None:
        """Write a settings file and start a daemon with it."""
        path = self.folder / f"{name}.yaml"
        path.write_text(yaml.safe_dump(settings), encoding="utf-8")
        command = [sys.executable, "-m", "heatherhatch_daemon.cmdline"]
        self._start(name, [*command, "--settings", str(path)], subprocess.DEVNULL)

    def stop_process(self, name: str) -> int:
        """Send SIGTERM to a process and return its exit code."""
        process = self.processes[name]
        process.terminate()
        return process.wait(EXIT_TIMEOUT_S)

    def kill(self, name: str) -> None:
        """Kill a process and wait for its exit."""
        self.processes[name].kill()
        self.processes[name].wait(EXIT_TIMEOUT_S)

    def pause(self, name: str) -> None:
        """Stop a process with SIGSTOP."""
        self.processes[name].send_signal(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Continue a process that is stopped with SIGSTOP."""
        self.processes[name].send_signal(signal.SIGCONT)

    def _start(self, name, command, stdout):
        environment = {**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)}
        with (self.folder / f"{name}.log").open("ab") as log:
            process = subprocess.Popen(
                command, stdout=stdout, stderr=log, env=environment, cwd=self.folder
            )
        self.processes[name] = process
        return process


def node_settings(
    name: str, ports: tuple[int, int, int], store: str, data_centre: str = "dc-1"
) -> dict:
    """Return the settings of one node of a trial.

    Args:
        name: Name of the node.
        ports: Ports for callers, operators and peers.
        store: ``host:port`` of the store.
        data_centre: Data centre of the node.
    """
    callers, operators, peers = (f"{LOOPBACK}:{port}" for port in ports)
    return {
        "node": {"name": name, "data_centre": data_centre},
        "listen": {"callers": callers, "operators": operators, "peers": peers},
        "store": {"kind": "etcd", "address": store},
        "security": {
            "peer_secret": PEER_SECRET,
            "first_operator_digest": digest_of(FIRST_SECRET),
        },
    }
