"""Entries of a cell, and rows of the platform's directory."""

from __future__ import annotations

from typing import Any

from tools.children import HOST, Child
from tools.plan import RUNNER_CONNECTIONS, RUNNER_SLOTS, PlannedWorker


class Entry:
    """Entry of a cell; a restarted one gets a new process and keeps its addresses."""

    def __init__(self, name: str, failure_domain: str, peer_port: int, http_port: int) -> None:
        self.name = name
        self.failure_domain = failure_domain
        self.peer_address = f"{HOST}:{peer_port}"
        self.http_address = f"{HOST}:{http_port}"
        self.starts = 0
        self.child: Child | None = None

    @property
    def process(self) -> Child:
        """Current process of the entry."""
        assert self.child is not None
        return self.child

    @property
    def running(self) -> bool:
        """Whether the process of the entry runs."""
        return self.child is not None and self.child.exit_status is None

    def row(self, state: str) -> dict[str, str]:
        """Return the entry's row of the platform's directory."""
        return {
            "instance": self.name,
            "address": self.peer_address,
            "http_address": self.http_address,
            "failure_domain": self.failure_domain,
            "state": state,
        }


def ini(sections: dict[str, dict[str, str]]) -> str:
    """Return the text of a settings file."""
    lines = []
    for section, options in sections.items():
        lines.append(f"[{section}]")
        lines += [f"{name} = {value}" for name, value in options.items()]
    return "\n".join(lines) + "\n"


def worker_row(worker: PlannedWorker, port: int) -> dict[str, Any]:
    """Return a worker's row of the platform's directory."""
    return {
        "worker": worker.worker,
        "address": f"{HOST}:{port}/workers/{worker.worker}",
        "capacity": worker.capacity._asdict(),
        "failure_domain": worker.failure_domain,
        "rack": worker.rack,
        "labels": [],
        "state": "live",
    }


def runner_row(upstream: str, runner: str, port: int, domain: str) -> dict[str, Any]:
    """Return a runner's row of the platform's directory."""
    return {
        "upstream": upstream,
        "runner": runner,
        "address": f"{HOST}:{port}",
        "failure_domain": domain,
        "slots": RUNNER_SLOTS,
        "connections": RUNNER_CONNECTIONS,
        "state": "live",
    }
