"""Routing of requests to runners: policies, admission and retries."""

from __future__ import annotations
