"""Tests of the metrics of an entry's calls to the store."""

from __future__ import annotations

import anyio
import pytest

from ragworttiller.exceptions import AppendConflict, AppendUndecided, LogUnavailable
from ragworttiller.metrics import Metrics
from ragworttiller.platform.store import KeyedRecord, Producer, Store
from ragworttiller.platform.store_meter import StoreMeter
from ragworttiller.scheduling.entry.store_metrics import register_store_metrics
from tests.store_rig import PARTITION, StoreRig, virtual, while_writing

TOPIC = PARTITION.topic
RECORD = [KeyedRecord("k", b"v")]


def metered(rig: StoreRig) -> StoreMeter:
    """Count and time the calls of a rig's client."""
    meter = StoreMeter(rig.timers)
    rig.store = Store("", 1.0, rig.link, meter)
    return meter


class TestStoreMeter:
    @virtual
    async def test_durations_are_kept_by_topic_and_outcome(self):
        """Guards against a slow store that is not told from one that refuses."""
        rig = StoreRig()
        meter = metered(rig)
        rig.service.write_seconds = 0.5
        await rig.store.append(PARTITION, RECORD)
        rig.service.down = True
        with pytest.raises(LogUnavailable):
            await rig.store.append(PARTITION, RECORD)
        rig.service.down, rig.link.unanswered = False, True
        with pytest.raises(AppendUndecided):
            await rig.store.append(PARTITION, RECORD)
        rig.link.unanswered = False
        with pytest.raises(AppendConflict):
            await rig.store.append(PARTITION, RECORD, at=7)
        counts = {labels: distribution.count for labels, distribution in meter.durations.items()}
        assert counts == dict.fromkeys(
            [(TOPIC, outcome) for outcome in ("ok", "refused", "undecided", "rejected")], 1
        )
        assert meter.durations[TOPIC, "ok"].total == pytest.approx(0.5)

    @virtual
    async def test_an_append_in_flight_shows_its_age(self):
        rig = StoreRig()
        meter = metered(rig)
        rig.service.write_seconds = 3.0
        with anyio.move_on_after(0.7):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(rig.store.append, PARTITION, RECORD)
                await rig.timers.sleep(0.5)
                assert meter.in_flight_seconds() == {TOPIC: pytest.approx(0.5)}
        assert meter.in_flight_seconds() == {TOPIC: 0.0}
        assert meter.durations[TOPIC, "cancelled"].count == 1

    @virtual
    async def test_calls_of_a_writer_that_repeat_an_append_are_counted(self):
        rig = StoreRig()
        meter = metered(rig)
        writer = rig.writer(retry_interval=0.2)

        async def body():
            await writer.append(RECORD, 2.0)
            assert meter.repeated[TOPIC] == 0
            rig.link.silent_next = 2
            await writer.append(RECORD, 2.0)
            assert meter.repeated[TOPIC] == 2
            await rig.store.append(PARTITION, RECORD, Producer("q", 1), 1)
            assert meter.repeated[TOPIC] == 2

        await while_writing(writer, body)

    @virtual
    async def test_refused_reads_are_told_from_unanswered_ones(self):
        rig = StoreRig()
        meter = metered(rig)
        rig.service.down = True
        for read in (rig.store.read(PARTITION, 0), rig.store.read_newest(PARTITION)):
            with pytest.raises(LogUnavailable):
                await read
        rig.service.down, rig.link.cut = False, True
        with pytest.raises(LogUnavailable):
            await rig.store.read(PARTITION, 0)
        assert (meter.reads_refused[TOPIC], meter.reads_unanswered[TOPIC]) == (2, 1)

    @virtual
    async def test_the_metrics_page_shows_them(self):
        rig = StoreRig()
        meter, metrics = metered(rig), Metrics()
        register_store_metrics(metrics, meter)
        for _ in range(2):
            await rig.store.append(PARTITION, RECORD, Producer("p", 1), 1)
        rig.service.down = True
        with pytest.raises(LogUnavailable):
            await rig.store.read(PARTITION, 0)
        page = metrics.exposition().decode()
        labels = f'{{outcome="ok",topic="{TOPIC}"}}'
        assert f"ragworttiller_store_append_seconds_count{labels} 2.0" in page
        for name in ("store_appends_repeated_total", "store_reads_refused_total"):
            assert f'ragworttiller_{name}{{topic="{TOPIC}"}} 1.0' in page
        assert f'ragworttiller_store_append_in_flight_seconds{{topic="{TOPIC}"}} 0.0' in page
