"""Command-line tool: one module for each group of commands."""

from __future__ import annotations
