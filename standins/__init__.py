"""Small stand-ins for the platform: log, directory, workers and runners."""

from __future__ import annotations
