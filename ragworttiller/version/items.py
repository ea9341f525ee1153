"""Checks for the bodies of configuration items other than templates."""

from __future__ import annotations

from typing import Annotated, Any, TypedDict, get_type_hints

import msgspec

from ragworttiller.exceptions import InvalidField
from ragworttiller.placement.registry import DEFAULT_POLICY, POLICIES
from ragworttiller.routing.settings import upstream_settings

MAX_CPU_MILLICORES = 100_000_000
MAX_MEMORY_MIB = 1_000_000_000
MAX_ACCELERATORS = 100_000


class Quota(TypedDict, total=False):
    """Maximum that a workspace may book: thousandths of a core, MiB, accelerators."""

    cpu: Annotated[int, msgspec.Meta(ge=0, le=MAX_CPU_MILLICORES)]
    memory: Annotated[int, msgspec.Meta(ge=0, le=MAX_MEMORY_MIB)]
    accelerators: Annotated[int, msgspec.Meta(ge=0, le=MAX_ACCELERATORS)]


class WorkspacePolicy(TypedDict, total=False):
    """Placement policy of a workspace, by name."""

    placement: str


def convert(body: dict[str, Any], body_type: Any) -> Any:
    """Check a body against a type and return it as a value of that type.

    Raises
    ------
    InvalidField
        A field is unknown, of another type or out of its bounds.
    """
    known = get_type_hints(body_type)
    for name in body:
        if name not in known:
            raise InvalidField(field=name, problem="unknown field", allowed=", ".join(known))
    try:
        return msgspec.convert(body, body_type)
    except msgspec.ValidationError as exc:
        problem, _, path = str(exc).partition(" - at ")
        field = path.strip("`").removeprefix("$.") or "body"
        raise InvalidField(field=field, problem=problem, allowed=str(body_type.__name__)) from exc


def check_quota(body: dict[str, Any]) -> None:
    """Check the body of a ``quota`` item; raise `InvalidField`."""
    convert(body, Quota)


def check_policy(body: dict[str, Any]) -> None:
    """Check the body of a ``policy`` item; raise `InvalidField`."""
    name = convert(body, WorkspacePolicy).get("placement", DEFAULT_POLICY)
    if name not in POLICIES:
        raise InvalidField(
            field="placement", problem=f"unknown policy {name!r}", allowed=", ".join(POLICIES)
        )


def check_upstream(body: dict[str, Any]) -> None:
    """Check the body of an ``upstream`` item; raise `InvalidField`."""
    upstream_settings(body)
