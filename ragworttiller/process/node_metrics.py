"""Metrics of an instance that are read from its components."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from ragworttiller.decisions import DecisionLog
from ragworttiller.metrics import Metrics, usage
from ragworttiller.platform.channel import Traffic
from ragworttiller.process.append_budget import AppendBudget
from ragworttiller.process.membership import Membership
from ragworttiller.process.nng_peers import NngPeers
from ragworttiller.process.peer_metrics import register_queue_metrics


def register_metrics(
    metrics: Metrics,
    peers: NngPeers,
    membership: Membership,
    budget: AppendBudget,
    decisions: DecisionLog,
    platform: Mapping[str, Callable[[], Traffic]],
) -> None:
    """Register the control plane metrics: processor time, memory, messages, bytes and appends.

    Parameters
    ----------
    metrics : Metrics
        Registry of the metrics.
    peers : NngPeers
        Messages to other instances.
    membership : Membership
        Live instances.
    budget : AppendBudget
        Budget of appends to the log.
    decisions : DecisionLog
        Log of decisions.
    platform : mapping of str to callable
        Functions that return the traffic to the platform's services ``log``, ``workers`` and
        ``list``.
    """
    log, workers, listing = platform["log"], platform["workers"], platform["list"]
    metrics.counter("appends", "Appends to the log", lambda: budget.used)
    metrics.counter("decisions", "Decisions", lambda: decisions.count)
    metrics.counter("processor_seconds", "Processor time", lambda: usage().processor)
    metrics.counter("peer_messages_in", "Messages from peers", lambda: peers.traffic.messages_in)
    metrics.counter("peer_messages_out", "Messages to peers", lambda: peers.traffic.messages_out)
    metrics.counter("peer_bytes_in", "Bytes from peers", lambda: peers.traffic.bytes_in)
    metrics.counter("peer_bytes_out", "Bytes to peers", lambda: peers.traffic.bytes_out)
    register_queue_metrics(metrics, peers)
    metrics.counter("log_calls", "Calls to the log", lambda: log().calls)
    metrics.counter("log_bytes_in", "Bytes from the log", lambda: log().bytes_in)
    metrics.counter("log_bytes_out", "Bytes to the log", lambda: log().bytes_out)
    metrics.counter("worker_calls", "Calls to workers", lambda: workers().calls)
    metrics.counter("worker_bytes_in", "Bytes from workers", lambda: workers().bytes_in)
    metrics.counter("worker_bytes_out", "Bytes to workers", lambda: workers().bytes_out)
    metrics.counter("list_bytes_in", "Bytes from the platform's list", lambda: listing().bytes_in)
    metrics.counter("list_bytes_out", "Bytes to the platform's list", lambda: listing().bytes_out)
    metrics.gauge("resident_bytes", "Resident memory", lambda: usage().memory)
    metrics.gauge("members", "Live instances", lambda: len(membership.members))
