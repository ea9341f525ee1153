"""Objects with the lifetime of one connection to a caller, runner or peer."""

from __future__ import annotations
