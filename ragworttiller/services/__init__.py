"""Interfaces to external services: log, directory, workers and runners."""

from __future__ import annotations
