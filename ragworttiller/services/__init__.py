"""Interfaces to external services: log, instance list, workers and runners."""

from __future__ import annotations
