"""Client of the HTTP API for configuration items."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

import msgspec

from ragworttiller.commands.client import api_path
from ragworttiller.commands.context import CommandContext
from ragworttiller.exceptions import InvalidField, NotFound, VersionConflict

JsonObject = dict[str, Any]


class Items:
    """Items of one collection of a workspace.

    Parameters
    ----------
    context : CommandContext
        Client and output.
    workspace : str
        The workspace.
    collection : str
        ``templates``, ``quotas``, ``policies`` or ``upstream-policies``.
    """

    def __init__(self, context: CommandContext, workspace: str, collection: str) -> None:
        self._client = context.client
        self._output = context.output
        self._workspace = workspace
        self._collection = collection

    def all(self) -> list[JsonObject]:
        """Return all items."""
        items: list[JsonObject] = self._client.call("GET", self._path())
        return items

    def get(self, name: str) -> JsonObject:
        """Return one item."""
        item: JsonObject = self._client.call("GET", self._path(name))
        return item

    def history(self, name: str) -> list[JsonObject]:
        """Return the latest versions of an item."""
        versions: list[JsonObject] = self._client.call("GET", self._path(name, "history"))
        return versions

    def publish(self, name: str, base: int, body: JsonObject) -> JsonObject:
        """Publish an item based on version ``base``; print both versions on a conflict."""
        return self._change("PUT", name, base, body)

    def delete(self, name: str, base: int) -> JsonObject:
        """Delete an item based on version ``base``; print both versions on a conflict."""
        return self._change("DELETE", name, base, None)

    def adjust(
        self, name: str, base: int | None, change: Callable[[JsonObject], JsonObject]
    ) -> JsonObject:
        """Publish the current body of an item as modified by ``change``.

        The change is based on version ``base``, or on the current version if it is None. An item
        that does not exist is created from an empty body.
        """
        try:
            item = self.get(name)
        except NotFound:
            item = {"version": 0, "body": {}}
        return self.publish(name, item["version"] if base is None else base, change(item["body"]))

    def _path(self, *parts: str) -> str:
        return api_path("workspaces", self._workspace, self._collection, *parts)

    def _change(self, method: str, name: str, base: int, body: JsonObject | None) -> JsonObject:
        headers = {"if-match": str(base)}
        try:
            result: JsonObject = self._client.call(method, self._path(name), body, headers)
        except VersionConflict:
            self._show_conflict(name, base, body)
            raise
        return result

    def _show_conflict(self, name: str, base: int, body: JsonObject | None) -> None:
        versions = {row["version"]: row for row in self.history(name)}
        current = versions[max(versions)]
        rows = [
            {"which": "base of this change", **versions.get(base, {"version": base})},
            {"which": "current", **current},
            {"which": "this change", "body": body},
        ]
        self._output.rows(rows, ["which", "version", "author", "body"])


def read_body(file: Path) -> JsonObject:
    """Read a JSON object from a file.

    Raises
    ------
    InvalidField
        The file cannot be read or does not contain a JSON object.
    """
    try:
        return msgspec.json.decode(file.read_bytes(), type=JsonObject)
    except (OSError, msgspec.MsgspecError) as exc:
        raise InvalidField(field=str(file), problem=str(exc), allowed="a JSON object") from exc


def with_fields(body: JsonObject, assignments: Sequence[str]) -> JsonObject:
    """Return a body with fields set by assignments like ``rules.urgency=5``.

    Values are parsed as JSON; a value that is not JSON is taken as text.

    Raises
    ------
    InvalidField
        An assignment has no ``=``, or its path leads through a field that is not an object.
    """
    changed: JsonObject = msgspec.json.decode(msgspec.json.encode(body))
    for assignment in assignments:
        path, equals, text = assignment.partition("=")
        if not path or not equals:
            raise InvalidField(field=assignment, problem="not an assignment", allowed="FIELD=VALUE")
        *parents, last = path.split(".")
        target: Any = changed
        for parent in parents:
            target = target.setdefault(parent, {})
            if not isinstance(target, dict):
                raise InvalidField(
                    field=path, problem=f"{parent} is not an object", allowed="a field"
                )
        target[last] = parse_value(text)
    return changed


def parse_value(text: str) -> Any:
    """Return the JSON value of a text, or the text if it is not JSON."""
    try:
        return msgspec.json.decode(text.encode())
    except msgspec.MsgspecError:
        return text
