"""Requests that the gateway refuses, and what it reports about earlier attempts."""

import random
import time
from types import SimpleNamespace

import pytest

from heatherhatch_core.exceptions import ErrorKind, Execution, HeatherhatchError
from heatherhatch_core.state.configuration import Configuration
from heatherhatch_core.state.entities import Pool, WorkClass, WorkKind
from heatherhatch_daemon.metrics import NoMetrics
from heatherhatch_daemon.tasks.gateway import Gateway, Work
from heatherhatch_daemon.transport.http import HttpRequest


@pytest.fixture
def gateway():
    follower = SimpleNamespace(
        config=Configuration(
            pools={"tills": Pool("tills", 1)},
            classes={"settle": WorkClass("settle", "tills", WorkKind.REQUEST, 2.0)},
        ),
        has_standing=lambda: True,
    )
    exchange = SimpleNamespace(random=random.Random(1))
    once = SimpleNamespace(issue=lambda team, count: (team,) * count)
    return Gateway(follower, None, exchange, once, NoMetrics(), time.monotonic)


def error_of(gateway, key):
    work = Work("settle", "", key, HttpRequest("POST", "/"))
    with pytest.raises(HeatherhatchError) as caught:
        gateway.handle(work)
    return caught.value


def test_gateway_issues_no_tickets_while_shutting_down(gateway):
    assert gateway.issue_tickets("", 2) == ("", "")
    gateway.shutting_down = True
    with pytest.raises(HeatherhatchError) as caught:
        gateway.issue_tickets("", 1)
    assert caught.value.kind is ErrorKind.SHUTTING_DOWN


@pytest.mark.parametrize("count", [0, -1, 1_001])
def test_gateway_limits_the_tickets_per_call(gateway, count):
    with pytest.raises(HeatherhatchError) as caught:
        gateway.issue_tickets("", count)
    assert caught.value.kind is ErrorKind.BAD_REQUEST


@pytest.mark.parametrize("cause", ["standing", "draining", "key"])
def test_gateway_reports_unknown_for_keyed_requests_it_cannot_check(gateway, cause):
    if cause == "standing":
        gateway.follower.has_standing = lambda: False
    gateway.draining = cause == "draining"
    assert error_of(gateway, "").answer.execution is Execution.NOT_RUN
    assert error_of(gateway, "some key").answer.execution is Execution.UNKNOWN
