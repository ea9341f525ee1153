"""Metrics of the messages that wait to be sent to other instances."""

from __future__ import annotations

from ragworttiller.metrics import Metrics
from ragworttiller.process.nng_peers import NngPeers
from ragworttiller.process.outbox_budget import DropReason


def register_queue_metrics(metrics: Metrics, peers: NngPeers) -> None:
    """Register how much waits for other instances, and what was dropped.

    Parameters
    ----------
    metrics : Metrics
        Registry of the metrics.
    peers : NngPeers
        Messages to other instances.
    """
    metrics.gauge(
        "peer_queued_bytes", "Bytes that wait to be sent to peers.", lambda: peers.queued_bytes
    )
    metrics.counter_by_label(
        "peer_messages_dropped",
        "Messages to peers that were not sent, because nobody waits for them or too many wait.",
        "reason",
        lambda: {reason: float(peers.dropped[reason]) for reason in DropReason},
    )
