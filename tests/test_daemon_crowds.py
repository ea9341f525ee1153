"""Tests that the daemon outlives crowds of clients that do not behave, as a process on loopback."""

from __future__ import annotations

import anyio
import pytest

from ragworttiller.platform.channel import ChannelSet
from tests.crowd_rig import MEGABYTE, Crowd, Meter, Script
from tests.test_client_crowds import LEFT_DESCRIPTORS, long_field, short_fields, trailers
from tools.plan import CellPlan
from tools.processes import Cell

# The memory that a daemon may use unless its settings say otherwise.
MEMORY_MB = 256
CLIENTS = 60
WAIT_SECONDS = 60.0


class TestDaemon:
    """Guards against a crowd that makes the daemon exceed the memory of its machine."""

    @pytest.mark.parametrize("script", [long_field, short_fields, trailers])
    def test_heads_and_trailers_without_end(self, script: Script):
        async def main():
            async with Cell(CellPlan(entries=1)) as cell:
                entry = cell.entries["entry-0"]
                with Meter(entry.process.pid, entry.http_address) as meter:
                    idle = meter.descriptors
                    with Crowd(entry.http_address, CLIENTS, script) as crowd:
                        with anyio.fail_after(WAIT_SECONDS):
                            while not crowd.is_quiet:
                                await anyio.sleep(0.05)
                        channels = ChannelSet(entry.http_address, 5.0)
                        assert (await channels.request("GET", "/ready")).status == 200
                        await channels.close()
                    assert entry.running
                    assert meter.memory <= MEMORY_MB * MEGABYTE, f"{meter.memory / MEGABYTE:.0f}"
                    assert meter.descriptors <= idle + CLIENTS + LEFT_DESCRIPTORS

        anyio.run(main)
