"""Errors in what callers, operators and other systems send, and in settings."""

from __future__ import annotations

from ragworttiller.exceptions.base import RagworttillerError, Ran


class InvalidField(RagworttillerError):
    """A field of the request is malformed or out of bounds."""

    code = "invalid_field"
    status = 400
    ran = Ran.NO
    template = "field {field!r}: {problem}, allowed: {allowed}"


class Unreadable(RagworttillerError):
    """Bytes received from outside do not have the expected form."""

    code = "unreadable"
    status = 400
    ran = Ran.NO
    template = "{what} cannot be read: {problem}"


class BodyTooLarge(RagworttillerError):
    """The request body exceeds the limit."""

    code = "body_too_large"
    status = 413
    ran = Ran.NO
    template = "the body exceeds {limit} bytes"


class Unauthorized(RagworttillerError):
    """An operator's call has no valid token."""

    code = "unauthorized"
    status = 401
    ran = Ran.NO
    template = "this call needs an operator token"


class NotFound(RagworttillerError):
    """The named item does not exist."""

    code = "not_found"
    status = 404
    ran = Ran.NO
    template = "{kind} {name!r} does not exist"


class VersionConflict(RagworttillerError):
    """Another operator changed the item first."""

    code = "version_conflict"
    status = 409
    ran = Ran.NO
    template = "{name!r} is at version {current}, the change was made from version {base}"


class SettingsInvalid(RagworttillerError):
    """The settings file has errors; all of them are listed."""

    code = "settings_invalid"
    status = 500
    ran = Ran.NO
    template = "{count} errors in the settings: {problems}"
