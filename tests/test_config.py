"""Tests of the settings file."""

from __future__ import annotations

import pytest

from ragworttiller.config import load
from ragworttiller.config.base import ValueRejected
from ragworttiller.config.defaults import SECTIONS, Settings
from ragworttiller.config.options import Integer, ListOf
from ragworttiller.config.sample import sample
from ragworttiller.exceptions import SettingsInvalid


def write(tmp_path, text):
    path = tmp_path / "entry.ini"
    path.write_text(text)
    return path


class TestSettings:
    def test_sample_is_valid_and_holds_the_defaults(self, tmp_path):
        settings = load(write(tmp_path, sample()))
        assert settings.instance.name == "entry-1"
        assert settings.shards == (8, 4)
        assert settings.membership == (0.5, 2, 2.0)
        assert settings.limits.appends_per_second == 25
        assert settings.tls == (None, None, None)

    def test_tree_has_a_field_for_each_option(self):
        assert [section.name for section in SECTIONS] == list(Settings._fields)
        for section in SECTIONS:
            assert [option.name for option in section.options] == list(section.values_type._fields)
            assert all(option.help.endswith(".") for option in section.options)

    def test_all_errors_are_named_at_once(self, tmp_path):
        text = sample().replace("10.0.0.1:7400", "nowhere").replace("[log]", "[logs]")
        text = text.replace("# ledger = 8", "ledger = many\ncel = 4")
        text = text.replace("token = replace-this-secret-token", "")
        with pytest.raises(SettingsInvalid) as caught:
            load(write(tmp_path, text))
        message = str(caught.value)
        assert caught.value.fields["count"] == 5
        assert "[instance] peer_address: 'nowhere' is not an address" in message
        assert "[logs]: is not a section, allowed: did you mean 'log'?" in message
        assert "[shards] ledger: 'many' is not a whole number, allowed: whole number" in message
        assert "[shards] cel: is not an option, allowed: did you mean 'cell'?" in message
        assert "[operator] token: is required, allowed: 16 to 200 characters" in message

    @pytest.mark.parametrize(
        ("old", "new", "expected_message"),
        [
            ("# list_period = 2", "list_period = nan", "out of bounds"),
            ("# suspect_after = 2.0", "suspect_after = 0.6", "twice heartbeat_period"),
            ("http://10.0.0.100:9000", "ftp://10.0.0.100", "is not a URL"),
            ("http://10.0.0.100:9000", "http://10.0.0.100:x", "is not a URL"),
            ("http://10.0.0.100:9000", "https://10.0.0.100:9000", "is not a URL"),
            ("10.0.0.1:8080", "10.0.0.1:70000", "is not an address"),
            ("# level = info", "level = loud", "debug, info, warning, error"),
            ("# key =", "key = missing.pem", "is not a file"),
            ("[instance]", "instance", "INI file"),
        ],
    )
    def test_bad_value_names_what_is_allowed(self, tmp_path, old, new, expected_message):
        assert old in sample()
        with pytest.raises(SettingsInvalid, match=expected_message):
            load(write(tmp_path, sample().replace(old, new)))

    def test_list_of_options_names_the_bad_one(self):
        ports = ListOf(Integer("ports", "Ports.", low=1, high=9))
        assert ports.parse("1, 2\n3,") == [1, 2, 3]
        with pytest.raises(ValueRejected, match="'10' is out of bounds"):
            ports.parse("1, 10")

    def test_key_without_certificate(self, tmp_path):
        key = write(tmp_path, "x")
        with pytest.raises(SettingsInvalid, match="certificate and key together"):
            load(write(tmp_path, sample().replace("# key =", f"key = {key}")))

    def test_missing_file(self, tmp_path):
        with pytest.raises(SettingsInvalid, match="absent.ini"):
            load(tmp_path / "absent.ini")
