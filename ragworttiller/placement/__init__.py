"""Placement of tasks on workers: policies, rules and the index of free room."""

from __future__ import annotations
