"""Measurement of how far the served work deviates from the teams' shares."""

from heatherhatch_core.state.entities import Team
from heatherhatch_standins.load import GeneratedRequest
from heatherhatch_standins.shares import share_error

TEAMS = (Team("red", 3.0, 10), Team("blue", 1.0, 10))


def requests_of(team, count, burst=0):
    return [
        GeneratedRequest(f"{team}-{burst}-{i}", team, "p", burst) for i in range(count)
    ]


def served_ids(team, count, burst=0):
    return {f"{team}-{burst}-{i}" for i in range(count)}


def test_shares_have_no_error_when_divided_by_weight():
    requests = requests_of("red", 100) + requests_of("blue", 100)
    answered = frozenset(served_ids("red", 30) | served_ids("blue", 10))
    assert share_error(requests, answered, TEAMS) == 0.0


def test_shares_count_work_served_for_the_wrong_team():
    requests = requests_of("red", 100) + requests_of("blue", 100)
    answered = frozenset(served_ids("red", 20) | served_ids("blue", 20))
    assert share_error(requests, answered, TEAMS) == 0.25


def test_shares_allow_other_teams_to_use_unrequested_capacity():
    requests = requests_of("red", 10) + requests_of("blue", 100)
    answered = frozenset(served_ids("red", 10) | served_ids("blue", 30))
    assert share_error(requests, answered, TEAMS) == 0.0


def test_shares_ignore_requests_outside_bursts_and_open_work():
    requests = requests_of("red", 10, -1) + requests_of("", 10)
    assert share_error(requests, frozenset(served_ids("red", 5, -1)), TEAMS) == 0.0
