"""Pages that are made from the code are equal to it."""

from pathlib import Path

import pytest

from heatherhatch_core.exceptions import ANSWERS, ErrorKind
from heatherhatch_daemon.events import Event
from heatherhatch_standins.pages import PAGES

DOCS = Path(__file__).parent.parent / "docs"


@pytest.mark.parametrize("name", sorted(PAGES))
def test_pages_equal_the_code(name):
    written = (DOCS / name).read_text(encoding="utf-8")
    assert written == PAGES[name](), "run make pages"


def test_pages_know_every_error_kind_once():
    assert set(ANSWERS) == set(ErrorKind)
    codes = [answer.code for answer in ANSWERS.values()]
    assert len(codes) == len(set(codes))


def test_pages_number_every_event_once():
    numbers = [event.value.number for event in Event]
    assert len(numbers) == len(set(numbers))
