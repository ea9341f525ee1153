"""Path of one caller's request: reading, licensing and sending."""

from __future__ import annotations
