"""Routing settings of upstreams, from the configuration in force."""

from __future__ import annotations

import logging

from typing_extensions import override

from ragworttiller.exceptions import InvalidField, NotReady
from ragworttiller.routing.settings import (
    DEFAULT_UPSTREAM,
    UpstreamSettings,
    UpstreamSource,
    upstream_settings,
)
from ragworttiller.version.registry import Registry

log = logging.getLogger(__name__)

UPSTREAM_KIND = "upstream"


class RegistryUpstreams(UpstreamSource):
    """Reads the items of kind ``upstream``.

    The runners of an upstream serve all workspaces, so its settings are common to all: of several
    items with the same name, that of the workspace that sorts first applies.

    Parameters
    ----------
    registry : Registry
        Current configuration.
    """

    def __init__(self, registry: Registry) -> None:
        self._registry = registry
        self._offset = -1
        self._settings: dict[str, UpstreamSettings] = {}

    @override
    def upstream(self, workspace: str, name: str) -> UpstreamSettings:
        if self._registry.offset != self._offset:
            self._refresh()
        return self._settings.get(name, DEFAULT_UPSTREAM)

    def _refresh(self) -> None:
        try:
            items = self._registry.items(kind=UPSTREAM_KIND)
        except NotReady:
            return
        self._offset = self._registry.offset
        self._settings = {}
        for item in items:
            try:
                settings = upstream_settings(item.body)
            except InvalidField as exc:
                log.warning("invalid settings of upstream %s are ignored: %s", item.name, exc)
                continue
            self._settings.setdefault(item.name, settings)
