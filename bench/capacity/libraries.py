"""Memory that the libraries take before the daemon has done anything."""

import subprocess
import sys

LISTENER = "gevent.pywsgi"
ALL = (
    "gevent.pywsgi, falcon, geventhttpclient, msgspec, yaml, click, eliot, statsd,"
    " tenacity"
)
PROGRAM = """\
import {modules}
import psutil
import os
print(psutil.Process(os.getpid()).memory_info().rss)
"""
MEBIBYTE = 1_048_576


def imported_mib(modules: str) -> float:
    """Return the resident memory of a process that has imported modules."""
    command = [sys.executable, "-c", PROGRAM.format(modules=modules)]
    done = subprocess.run(command, capture_output=True, check=True)
    return int(done.stdout) / MEBIBYTE
