"""Components of the standalone daemon: log streams, membership, peers and shards."""

from __future__ import annotations
