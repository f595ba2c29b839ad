"""Pages that are made from the code are equal to it."""

import re
from collections import Counter
from pathlib import Path

import pytest

from heatherhatch_core.exceptions import ERROR_RESPONSES, ErrorKind
from heatherhatch_daemon.events import Event
from heatherhatch_daemon.metrics import Metric
from heatherhatch_standins.pages import PAGES

SOURCES = Path(__file__).parent.parent / "packages/heatherhatch-daemon/src"
DOCS = Path(__file__).parent.parent / "docs"


@pytest.mark.parametrize("name", sorted(PAGES))
def test_pages_equal_the_code(name):
    written = (DOCS / name).read_text(encoding="utf-8")
    assert written == PAGES[name](), "run make pages"


def test_pages_know_every_error_kind_once():
    assert set(ERROR_RESPONSES) == set(ErrorKind)
    codes = [answer.code for answer in ERROR_RESPONSES.values()]
    assert len(codes) == len(set(codes))


def test_pages_number_every_event_once():
    numbers = [event.value.number for event in Event]
    assert len(numbers) == len(set(numbers))


@pytest.mark.parametrize("kind", [Event, Metric, ErrorKind])
def test_pages_promise_nothing_that_no_code_sends(kind):
    packages = SOURCES.parent.parent
    sources = [
        *packages.glob("heatherhatch-*/src/**/*.py"),
        *(packages.parent / "platform").glob("src/**/*.py"),
    ]
    text = "\n".join(path.read_text(encoding="utf-8") for path in sources)
    # The table of answers names every kind, so only further uses count.
    least = 2 if kind is ErrorKind else 1
    used = Counter(re.findall(rf"\b{kind.__name__}\.([A-Z_]+)\b", text))
    assert [item.name for item in kind if used[item.name] < least] == []
