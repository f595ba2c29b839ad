"""The measure of how close teams came to their shares."""

from heatherhatch_core.state.entities import Team
from heatherhatch_standins.load import Asked
from heatherhatch_standins.shares import share_error

TEAMS = (Team("red", 3.0, 10), Team("blue", 1.0, 10))


def asked_by(team, count, burst=0):
    return [Asked(f"{team}-{burst}-{i}", team, "p", burst) for i in range(count)]


def served(team, count, burst=0):
    return {f"{team}-{burst}-{i}" for i in range(count)}


def test_shares_have_no_error_when_divided_by_weight():
    asked = asked_by("red", 100) + asked_by("blue", 100)
    answered = frozenset(served("red", 30) | served("blue", 10))
    assert share_error(asked, answered, TEAMS) == 0.0


def test_shares_count_what_went_to_the_wrong_team():
    asked = asked_by("red", 100) + asked_by("blue", 100)
    answered = frozenset(served("red", 20) | served("blue", 20))
    assert share_error(asked, answered, TEAMS) == 0.25


def test_shares_lend_what_a_team_does_not_ask_for():
    asked = asked_by("red", 10) + asked_by("blue", 100)
    answered = frozenset(served("red", 10) | served("blue", 30))
    assert share_error(asked, answered, TEAMS) == 0.0


def test_shares_leave_quiet_times_and_open_work_out():
    asked = asked_by("red", 10, -1) + asked_by("", 10)
    assert share_error(asked, frozenset(served("red", 5, -1)), TEAMS) == 0.0
