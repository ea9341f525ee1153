"""Tests of templates and the jobs created from them."""

from __future__ import annotations

from typing import Any

import pytest

from ragworttiller.exceptions import InvalidField
from ragworttiller.resources import Resources
from ragworttiller.version.template import check_template, instantiate

BODY: dict[str, Any] = {
    "kind": "batch",
    "idempotent": True,
    "tasks": 2,
    "cpu": 500,
    "memory": 256,
    "run_time": 60.0,
    "deadline_seconds": 600.0,
    "rules": {"spread": "rack", "labels": ["ssd"], "anti_affinity": True},
    "parameters": {
        "copies": {
            "type": "integer",
            "minimum": 1,
            "maximum": 10,
            "default": 2,
            "scales": ["tasks", "run_time"],
        },
        "size": {
            "type": "choice",
            "choices": {"small": 1, "large": 4.5},
            "default": "small",
            "scales": ["cpu", "memory"],
        },
    },
    "arguments": {"command": "mark"},
}


def body(**fields: Any) -> dict[str, Any]:
    return {**BODY, **fields}


class TestInstantiate:
    def test_parameters_scale_the_fields_they_name(self):
        spec = instantiate(BODY, {"copies": 3, "size": "large"})
        assert (spec.tasks, spec.run_time) == (6, 180.0)
        assert spec.need == Resources(2250, 1152, 0)
        assert spec.deadline_seconds == 600.0
        assert spec.arguments == {"command": "mark", "copies": 3, "size": "large"}
        assert spec.rules["max_per_worker"] == 1

    def test_defaults_apply(self):
        assert instantiate(BODY, {}).tasks == 4

    @pytest.mark.parametrize(
        ("parameters", "field", "allowed"),
        [
            ({"copies": 11}, "copies", "1 to 10"),
            ({"copies": True}, "copies", "1 to 10"),
            ({"size": "huge"}, "size", "large, small"),
            ({"colour": 1}, "colour", "copies, size"),
        ],
    )
    def test_bad_parameter_is_named_with_its_bounds(self, parameters, field, allowed):
        with pytest.raises(InvalidField) as caught:
            instantiate(BODY, parameters)
        assert caught.value.fields["field"] == field
        assert caught.value.fields["allowed"] == allowed


class TestCheckTemplate:
    def test_good_template_passes(self):
        check_template(BODY)

    @pytest.mark.parametrize(
        ("fields", "field"),
        [
            ({"kind": "daemon"}, "kind"),
            ({"tasks": 0}, "tasks"),
            ({"urgency": 10}, "urgency"),
            ({"colour": 1}, "colour"),
            ({"memory": 10**9}, "memory"),
            ({"kind": "service"}, "run_time"),
            ({"rules": {"spread": "town"}}, "rules.spread"),
            ({"cpu": 4_000_000}, "cpu"),
            ({"deadline_seconds": None, "parameters": {}, "run_time": -1.0}, "run_time"),
        ],
    )
    def test_bad_field_is_named(self, fields, field):
        with pytest.raises(InvalidField) as caught:
            check_template(body(**fields))
        assert field in str(caught.value)

    @pytest.mark.parametrize(
        "parameter",
        [
            {"type": "integer", "minimum": 5, "maximum": 1, "default": 3},
            {"type": "integer", "minimum": 1, "maximum": 4, "default": 9},
            {"type": "choice", "choices": {}, "default": "a"},
            {"type": "integer", "minimum": 1, "maximum": 2, "default": 1, "scales": ["colour"]},
            {"type": "integer", "minimum": 0, "maximum": 2, "default": 1, "scales": ["tasks"]},
        ],
    )
    def test_bad_parameter_is_refused(self, parameter):
        with pytest.raises(InvalidField):
            check_template(body(parameters={"copies": parameter}))

    def test_missing_field_is_named(self):
        short = {key: value for key, value in BODY.items() if key != "cpu"}
        with pytest.raises(InvalidField, match="cpu"):
            check_template(short)
