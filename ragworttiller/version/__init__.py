"""Objects with the lifetime of one version of the configuration."""

from __future__ import annotations
