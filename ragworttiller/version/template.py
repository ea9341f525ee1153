"""Job templates: their typed form, their checks and their instantiation with parameters."""

from __future__ import annotations

import re
from collections.abc import Iterator
from typing import Annotated, Any, Literal, NamedTuple

import msgspec

from ragworttiller.exceptions import InvalidField
from ragworttiller.resources import Resources

MAX_TASKS = 10_000
MAX_CPU_MILLICORES = 4_096_000
MAX_MEMORY_MIB = 67_108_864
MAX_ACCELERATORS = 64
MAX_RUN_TIME_SECONDS = 30 * 86_400
MAX_DEADLINE_SECONDS = 90 * 86_400
MAX_URGENCY = 9
MAX_SCALE_FACTOR = 1_000_000

ScalableField = Literal[
    "tasks", "cpu", "memory", "accelerators", "run_time", "urgency", "deadline_seconds"
]
BOUNDS: dict[str, tuple[float, float]] = {
    "tasks": (1, MAX_TASKS),
    "cpu": (1, MAX_CPU_MILLICORES),
    "memory": (1, MAX_MEMORY_MIB),
    "accelerators": (0, MAX_ACCELERATORS),
    "run_time": (0.001, MAX_RUN_TIME_SECONDS),
    "urgency": (0, MAX_URGENCY),
    "deadline_seconds": (0.001, MAX_DEADLINE_SECONDS),
}
_VALIDATION_ERROR = re.compile(
    r"^(?P<problem>.*?)(?: - at `(?:key in )?\$\.?(?P<field>.*)`)?$", re.DOTALL
)


class _StrictStruct(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Base class of a template and its parts; rejects unknown fields."""


class TemplateRules(_StrictStruct, frozen=True):
    """Placement rules for the tasks of a job.

    ``failure_domain`` lists the allowed failure domains, empty for all. ``spread`` places the tasks
    evenly over racks or failure domains. ``anti_affinity`` allows at most one task of the job per
    worker. ``labels`` are labels that a worker must have. ``checkpoint`` is whether a task resumes
    from a checkpoint, so that it may be moved even if it is not idempotent.
    """

    failure_domain: list[str] = []
    spread: Literal["", "rack", "failure_domain"] = ""
    anti_affinity: bool = False
    labels: list[str] = []
    checkpoint: bool = False


class IntegerParameter(_StrictStruct, tag="integer", tag_field="type", frozen=True):
    """Integer parameter; the fields in ``scales`` are multiplied by its value."""

    minimum: Annotated[int, msgspec.Meta(ge=0, le=MAX_SCALE_FACTOR)]
    maximum: Annotated[int, msgspec.Meta(ge=0, le=MAX_SCALE_FACTOR)]
    default: int
    scales: list[ScalableField] = []


class ChoiceParameter(_StrictStruct, tag="choice", tag_field="type", frozen=True):
    """Choice among names; the fields in ``scales`` are multiplied by the chosen factor."""

    choices: dict[str, Annotated[float, msgspec.Meta(ge=0, le=MAX_SCALE_FACTOR)]]
    default: str
    scales: list[ScalableField] = []


Parameter = IntegerParameter | ChoiceParameter


class Template(_StrictStruct, frozen=True):
    """Checked template.

    ``cpu`` is in thousandths of a core, ``memory`` in MiB, ``run_time`` and ``deadline_seconds``
    in seconds. Services have no run time. ``arguments`` and parameters go to the worker.
    """

    kind: Literal["service", "batch", "gang"]
    idempotent: bool
    tasks: Annotated[int, msgspec.Meta(ge=1, le=MAX_TASKS)]
    cpu: Annotated[int, msgspec.Meta(ge=1, le=MAX_CPU_MILLICORES)]
    memory: Annotated[int, msgspec.Meta(ge=1, le=MAX_MEMORY_MIB)]
    accelerators: Annotated[int, msgspec.Meta(ge=0, le=MAX_ACCELERATORS)] = 0
    run_time: Annotated[float, msgspec.Meta(gt=0, le=MAX_RUN_TIME_SECONDS)] | None = None
    urgency: Annotated[int, msgspec.Meta(ge=0, le=MAX_URGENCY)] = 0
    deadline_seconds: Annotated[float, msgspec.Meta(gt=0, le=MAX_DEADLINE_SECONDS)] | None = None
    rules: TemplateRules = TemplateRules()
    parameters: dict[str, Parameter] = {}
    arguments: dict[str, Any] = {}


class JobSpec(NamedTuple):
    """Job created from a template and parameters.

    ``deadline_seconds`` counts from submission; ``run_time`` is in seconds, None for services.
    ``arguments`` are passed to each task.
    """

    kind: str
    tasks: int
    need: Resources
    urgency: int
    deadline_seconds: float | None
    run_time: float | None
    idempotent: bool
    rules: dict[str, Any]
    arguments: dict[str, Any]


def check_template(body: dict[str, Any]) -> None:
    """Check the body of a template, and the jobs that its lowest and highest parameters describe.

    Raises
    ------
    InvalidField
        A field is missing, unknown, of a wrong type or out of its bounds.
    """
    template = parse_template(body)
    for factors in _extreme_factors(template):
        _scale(template, factors)


def parse_template(body: dict[str, Any]) -> Template:
    """Return the typed form of a template's body.

    Raises
    ------
    InvalidField
        A field is missing, unknown, of a wrong type or out of its bounds.
    """
    try:
        template = msgspec.convert(body, Template)
    except msgspec.ValidationError as exc:
        match = _VALIDATION_ERROR.match(str(exc))
        assert match is not None
        raise InvalidField(
            field=match["field"] or "template",
            problem=match["problem"],
            allowed="a template as described in the reference",
        ) from exc
    if template.kind == "service" and template.run_time is not None:
        raise InvalidField(field="run_time", problem="set for a service", allowed="null")
    for name, parameter in template.parameters.items():
        _check_parameter(template, name, parameter)
    return template


def instantiate(template: dict[str, Any], parameters: dict[str, Any]) -> JobSpec:
    """Return the job that a template's body and parameters describe.

    Raises
    ------
    InvalidField
        A parameter is unknown, of a wrong type or out of its bounds, or a scaled field is.
    """
    parsed = parse_template(template)
    for name in parameters:
        if name not in parsed.parameters:
            allowed = ", ".join(sorted(parsed.parameters)) or "no parameters"
            raise InvalidField(field=name, problem="unknown parameter", allowed=allowed)
    factors = {
        name: _factor(name, parameter, parameters.get(name, parameter.default))
        for name, parameter in parsed.parameters.items()
    }
    parameter_values = {
        name: parameters.get(name, p.default) for name, p in parsed.parameters.items()
    }
    spec = _scale(parsed, factors)
    return spec._replace(arguments={**parsed.arguments, **parameter_values})


def _check_parameter(template: Template, name: str, parameter: Parameter) -> None:
    field = f"parameters.{name}"
    if isinstance(parameter, IntegerParameter) and parameter.minimum > parameter.maximum:
        raise InvalidField(
            field=f"{field}.minimum", problem="above maximum", allowed=f"up to {parameter.maximum}"
        )
    if isinstance(parameter, ChoiceParameter) and not parameter.choices:
        raise InvalidField(field=f"{field}.choices", problem="empty", allowed="one choice or more")
    for scaled in parameter.scales:
        if getattr(template, scaled) is None:
            raise InvalidField(
                field=f"{field}.scales",
                problem=f"{scaled} is not set",
                allowed="fields that are set",
            )
    _factor(f"{field}.default", parameter, parameter.default)


def _factor(field: str, parameter: Parameter, value: Any) -> float:
    if isinstance(parameter, ChoiceParameter):
        if not isinstance(value, str) or value not in parameter.choices:
            allowed = ", ".join(sorted(parameter.choices))
            raise InvalidField(field=field, problem=f"{value!r} is not a choice", allowed=allowed)
        return parameter.choices[value]
    allowed = f"{parameter.minimum} to {parameter.maximum}"
    if not isinstance(value, int) or isinstance(value, bool):
        raise InvalidField(field=field, problem=f"{value!r} is not an integer", allowed=allowed)
    if not parameter.minimum <= value <= parameter.maximum:
        raise InvalidField(field=field, problem=f"{value} is out of bounds", allowed=allowed)
    return float(value)


def _extreme_factors(template: Template) -> Iterator[dict[str, float]]:
    """Yield the factors for all parameters at their minimum, then at their maximum."""
    for extreme in (min, max):
        yield {
            name: (
                float(extreme(parameter.minimum, parameter.maximum))
                if isinstance(parameter, IntegerParameter)
                else extreme(parameter.choices.values())
            )
            for name, parameter in template.parameters.items()
        }


def _scale(template: Template, factors: dict[str, float]) -> JobSpec:
    fields: dict[str, Any] = {name: getattr(template, name) for name in BOUNDS}
    for name, parameter in template.parameters.items():
        for scaled in parameter.scales:
            fields[scaled] *= factors[name]
    for field, value in fields.items():
        low, high = BOUNDS[field]
        if value is not None and not low <= value <= high:
            raise InvalidField(
                field=field, problem=f"{value:g} is out of bounds", allowed=f"{low:g} to {high:g}"
            )
    return JobSpec(
        kind=template.kind,
        tasks=round(fields["tasks"]),
        need=Resources(
            round(fields["cpu"]), round(fields["memory"]), round(fields["accelerators"])
        ),
        urgency=round(fields["urgency"]),
        deadline_seconds=fields["deadline_seconds"],
        run_time=fields["run_time"],
        idempotent=template.idempotent,
        rules=_placement_rules(template.rules),
        arguments=template.arguments,
    )


def _placement_rules(rules: TemplateRules) -> dict[str, Any]:
    """Return the rules under the names that placement uses, plus ``checkpoint``."""
    return {
        "failure_domain": rules.failure_domain,
        "labels": rules.labels,
        "spread": rules.spread,
        "max_per_worker": 1 if rules.anti_affinity else 0,
        "checkpoint": rules.checkpoint,
    }
