"""Generated pages match the code."""

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
def test_pages_match_the_code(name):
    page = (DOCS / name).read_text(encoding="utf-8")
    assert page == PAGES[name](), "run make pages"


def test_pages_list_every_error_kind_once():
    assert set(ERROR_RESPONSES) == set(ErrorKind)
    codes = [answer.code for answer in ERROR_RESPONSES.values()]
    assert len(codes) == len(set(codes))


def test_pages_number_every_event_once():
    numbers = [event.value.number for event in Event]
    assert len(numbers) == len(set(numbers))


@pytest.mark.parametrize("kind", [Event, Metric, ErrorKind])
def test_pages_list_only_members_that_the_code_uses(kind):
    packages = SOURCES.parent.parent
    sources = [
        *packages.glob("heatherhatch-*/src/**/*.py"),
        *(packages.parent / "platform").glob("src/**/*.py"),
    ]
    text = "\n".join(path.read_text(encoding="utf-8") for path in sources)
    # ERROR_RESPONSES names every error kind, so only further uses count.
    min_uses = 2 if kind is ErrorKind else 1
    uses = Counter(re.findall(rf"\b{kind.__name__}\.([A-Z_]+)\b", text))
    assert [item.name for item in kind if uses[item.name] < min_uses] == []
