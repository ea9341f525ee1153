"""Interfaces to everything outside: log, instance list, workers, runners."""

from __future__ import annotations
