"""Measures the memory of the imported libraries, without the daemon."""

import subprocess
import sys

LISTENER = "gevent.pywsgi"
ALL_LIBRARIES = (
    "gevent.pywsgi, falcon, geventhttpclient, msgspec, yaml, click, eliot, statsd"
)
MEMORY_PROGRAM = """\
import {modules}
import psutil
import os
print(psutil.Process(os.getpid()).memory_info().rss)
"""
MEBIBYTE = 1_048_576


def imported_mib(modules: str) -> float:
    """Return the resident memory of a process after it imported modules, MiB."""
    command = [sys.executable, "-c", MEMORY_PROGRAM.format(modules=modules)]
    completed = subprocess.run(command, capture_output=True, check=True)
    return int(completed.stdout) / MEBIBYTE
