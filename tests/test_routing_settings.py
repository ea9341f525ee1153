"""Tests of the settings of upstreams."""

from __future__ import annotations

import pytest

from ragworttiller.exceptions import InvalidField, NotReady
from ragworttiller.routing.settings import DEFAULT_UPSTREAM, UpstreamSettings, upstream_settings
from ragworttiller.version.registry import Item
from ragworttiller.version.upstreams import RegistryUpstreams


class FakeRegistry:
    """Registry with items of one kind."""

    def __init__(self):
        self.offset = 1
        self.rows = []
        self.ready = False
        self.reads = 0

    def items(self, workspace=None, kind=None):
        if not self.ready:
            raise NotReady(instance="a", reason="starting")
        self.reads += 1
        return [Item(ws, kind, "marking", 1, body, "op", 0.0) for ws, body in sorted(self.rows)]


class TestUpstreamSettings:
    @pytest.mark.parametrize(
        "body",
        [
            {"polcy": "x"},
            {"policy": "best"},
            {"queue_limit": -1},
            {"queue_limit": True},
            {"hedging": 1},
            {"stall_seconds": 0},
        ],
    )
    def test_bad_field_is_named(self, body):
        with pytest.raises(InvalidField) as caught:
            upstream_settings(body)
        assert caught.value.fields["field"] == next(iter(body))

    def test_missing_fields_have_defaults(self):
        assert upstream_settings({"hedging": False}) == UpstreamSettings(hedging=False)


class TestRegistryUpstreams:
    def test_settings_apply_to_all_workspaces_and_change_with_the_offset(self):
        items = FakeRegistry()
        source = RegistryUpstreams(items)
        assert source.upstream("lego", "marking") == DEFAULT_UPSTREAM
        items.ready = True
        items.rows = [("ong", {"queue_limit": 7}), ("lego", {"queue_limit": 5})]
        for workspace in ("ong", "lego", "ong"):
            assert source.upstream(workspace, "marking").queue_limit == 5
        assert source.upstream("ong", "booking") == DEFAULT_UPSTREAM
        assert items.reads == 1
        items.rows, items.offset = [("lego", {"queue_limit": "x"})], 2
        assert source.upstream("ong", "marking") == DEFAULT_UPSTREAM
