"""Calls of an operator to a cell."""

from __future__ import annotations

import time
from typing import Any

import anyio
import msgspec

from ragworttiller.platform.exchange import ExchangeBroken, NotSent
from standins.checker import AcceptedChange, ObservedVersion
from tools.callers import Balancer
from tools.plan import TOKEN
from tools.processes import Cell

ATTEMPTS = 5
RETRY_SECONDS = 0.3
POLL_SECONDS = 0.1
SUCCESS_STATUSES = (200, 202)


class CallFailed(Exception):
    """An operator's call was rejected or not answered."""


class Operator:
    """Publishes templates, submits and cancels jobs, and records accepted and observed versions.

    Parameters
    ----------
    cell : Cell
        Cell whose entries are observed.
    balancer : Balancer
        Sends the calls.
    """

    def __init__(self, cell: Cell, balancer: Balancer) -> None:
        self._cell = cell
        self._balancer = balancer
        self._headers = {"authorization": f"Bearer {TOKEN}"}
        self.accepted: list[AcceptedChange] = []
        self.observed: list[ObservedVersion] = []

    async def publish(self, workspace: str, name: str, body: dict[str, Any], base: int = 0) -> int:
        """Publish a template in place of version ``base`` (0 for none) and return its version."""
        target = f"/v1/workspaces/{workspace}/templates/{name}"
        result = await self.call("PUT", target, body, {"if-match": str(base)})
        version = int(result["version"])
        self.accepted.append(AcceptedChange(f"{workspace}/{name}", version, time.monotonic()))
        return version

    async def observe(self, workspace: str, name: str) -> dict[str, int]:
        """Return the version of a template that each running entry has in force."""
        versions = {}
        target = f"/v1/workspaces/{workspace}/templates/{name}"
        for entry in self._cell.entries.values():
            if not entry.running:
                continue
            try:
                answer = await self._balancer.call_entry(
                    entry.name, "GET", target, None, self._headers
                )
            except (NotSent, ExchangeBroken):
                continue
            body = msgspec.json.decode(answer.body)
            version = int(body["version"]) if answer.status == 200 else 0
            versions[entry.name] = version
            self.observed.append(
                ObservedVersion(
                    entry.name, entry.starts, f"{workspace}/{name}", version, time.monotonic()
                )
            )
        return versions

    async def wait_in_force(self, workspace: str, name: str, version: int, timeout: float) -> float:
        """Wait until all entries that answer have a version; return the seconds since acceptance.

        The result is ``timeout`` or more if some of them do not have it by then.
        """
        accepted = next(item for item in self.accepted if item.version == version)
        while time.monotonic() - accepted.at < timeout:
            versions = await self.observe(workspace, name)
            if versions and all(current >= version for current in versions.values()):
                break
            await anyio.sleep(POLL_SECONDS)
        return time.monotonic() - accepted.at

    async def submit(self, workspace: str, template: str, key: str) -> str:
        """Submit a job and return its id."""
        body = {"template": template, "parameters": {}, "key": key}
        result = await self.call("POST", f"/v1/workspaces/{workspace}/jobs", body)
        return str(result["job"])

    async def job(self, workspace: str, job: str) -> dict[str, Any]:
        """Return the status of a job."""
        return await self.call("GET", f"/v1/workspaces/{workspace}/jobs/{job}")

    async def cancel(self, workspace: str, job: str) -> dict[str, Any]:
        """Cancel a job."""
        return await self.call("DELETE", f"/v1/workspaces/{workspace}/jobs/{job}")

    async def call(
        self,
        method: str,
        target: str,
        value: Any = None,
        headers: dict[str, str] | None = None,
    ) -> Any:
        """Call a ready entry; retry if it gives no answer or a server error.

        All calls made here may be repeated: publications name their base version, jobs their key.

        Raises
        ------
        CallFailed
            No attempt succeeded, or the call was rejected.
        """
        problem = ""
        for _ in range(ATTEMPTS):
            try:
                answer = await self._balancer.call(
                    method, target, value, {**self._headers, **(headers or {})}
                )
            except (NotSent, ExchangeBroken) as exc:
                problem = str(exc)
            else:
                if answer.status in SUCCESS_STATUSES:
                    return msgspec.json.decode(answer.body)
                problem = answer.body.decode(errors="replace")
                if answer.status < 500:
                    break
            await anyio.sleep(RETRY_SECONDS)
        raise CallFailed(f"{method} {target}: {problem}")
