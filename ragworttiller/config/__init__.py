"""Settings of a process: typed options read from an INI file."""

from __future__ import annotations

from ragworttiller.config.defaults import load
from ragworttiller.config.settings import Settings

__all__ = ["Settings", "load"]
