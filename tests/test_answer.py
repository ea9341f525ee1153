"""Tests of a runner's answer."""

from __future__ import annotations

import pytest

from ragworttiller.connection.caller_api import _runner_response
from ragworttiller.services.runner import Answer


class TestAnswer:
    @pytest.mark.parametrize("name", ["content-type", "Content-Type"])
    def test_content_type_is_relayed_for_any_case_of_its_name(self, name):
        answer = Answer(200, [(name, "text/plain")], b"x")
        assert _runner_response(answer).headers["content-type"] == "text/plain"

    def test_answer_without_a_content_type_is_bytes(self):
        assert Answer(200, [], b"").content_type == "application/octet-stream"
