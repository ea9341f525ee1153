"""Cluster scheduler for mixed workloads in one shared cell."""

from __future__ import annotations

__version__ = "0.1.0"
