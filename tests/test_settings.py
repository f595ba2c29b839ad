"""Parsing of the daemon's settings file."""

import pytest

from heatherhatch_core.exceptions import SettingsError
from heatherhatch_daemon.settings import Address
from heatherhatch_daemon.settings_file import parse_settings

GOOD = """\
node: {name: n1}
listen: {callers: "127.0.0.1:1", operators: "127.0.0.1:2", peers: "127.0.0.1:3"}
store: {kind: etcd, address: "127.0.0.1:4"}
security: {peer_secret: s}
"""


def test_settings_fill_in_defaults():
    settings = parse_settings(GOOD)
    assert settings.listen.peers == Address("127.0.0.1", 3)
    assert settings.timing.standing_s == 2.0


def test_settings_report_every_error_with_its_line():
    text = GOOD + "limits: {body_bytes: many}\nnoode: 1\ntiming: {lease_s: -1}\n"
    with pytest.raises(SettingsError) as caught:
        parse_settings(text)
    assert [problem.split(":")[0] for problem in caught.value.problems] == [
        "line 5",
        "line 6",
        "line 7",
    ]


def test_settings_refuse_host_names():
    with pytest.raises(SettingsError, match="IP address"):
        parse_settings(GOOD.replace("127.0.0.1:4", "localhost:4"))
