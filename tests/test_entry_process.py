"""Tests of entries as processes, against the platform's stand-in over HTTP."""

from __future__ import annotations

import json
import signal
import socket
import subprocess
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path

import anyio
import pytest
from click.testing import Result
from typer.testing import CliRunner

from ragworttiller.__main__ import app
from ragworttiller.config.entry import SECTIONS, load_entry
from ragworttiller.exceptions import SettingsInvalid
from ragworttiller.listeners import open_entry_listeners
from ragworttiller.scheduling.decisions.cell_policies import (
    CANDIDATES,
    COPIES,
    ESTIMATES,
    EVACUATIONS,
    HEADROOMS,
    KINDS,
    LAST_TASKS,
    MOVES,
    OBSERVATIONS,
    ORDERS,
    PLACEMENTS,
    PREEMPTIONS,
    SEPARATIONS,
    SHARE_ORDERS,
)
from ragworttiller.scheduling.records.formats import ENTRIES, JOBS, OWNER, OWNER_KEY, Claim, decode
from standins.platform.deployment import ROOT, Deployment, render, settings_fields
from tests.scheduling_rig import job_body, step

HOST = "h.example"


class Platform(Deployment):
    """A deployment with submissions by tests and commands of the operators' tool."""

    async def submit(self, name: str, job: str, *steps: dict) -> int:
        return (await self.call(name, "POST", f"/q/{job}", job_body(*steps))).status

    async def command(self, name: str, *arguments: str) -> Result:
        """Run a command of the operators' tool against an entry."""
        entry = f"http://{self.fields[name]['listen']['ready']}"
        line = ["--entry", entry, "--output", "json", "cell", *arguments]
        return await anyio.to_thread.run_sync(lambda: CliRunner().invoke(app, line))

    async def show(self, name: str, *arguments: str):
        """Return what a command prints, decoded."""
        result = await self.command(name, *arguments)
        assert result.exit_code == 0, result.output
        return json.loads(result.output)


@pytest.fixture()
def with_platform(tmp_path: Path):
    """Return a function that runs a body against a platform."""

    def run(body: Callable[[Platform], Awaitable[None]]):
        async def main():
            platform = Platform(tmp_path)
            try:
                async with anyio.create_task_group() as tasks:
                    await platform.run(tasks)
                    await body(platform)
                    tasks.cancel_scope.cancel()
            except BaseException:
                print(platform.report())
                raise
            finally:
                platform.kill_entries()

        anyio.run(main)

    return run


JOB_A, JOB_B = "00000000000000aa", "00000000000000bb"


class TestEntryProcess:
    def test_a_job_passes_from_end_to_end(self, with_platform):
        async def body(platform: Platform):
            platform.start("e1")
            platform.start("e2")
            await platform.wait_ready("e1", "e2")
            assert await platform.submit("e1", JOB_A, step(4), step(2, after=[0])) == 200
            await platform.wait_state("e2", JOB_A, "completed")
            assert platform.monitor.violations == []
            assert len(platform.monitor.starts) == 6
            assert platform.advisor.calls >= 2
            page = await platform.metrics("e1")
            assert 'ragworttiller_answers_total{code="ok"} 1.0' in page
            assert "ragworttiller_owner_lasting_tasks_waiting 0.0" in page
            assert "# TYPE ragworttiller_owner_lasting_task_wait_seconds summary" in page
            assert 'ragworttiller_waiting_seconds_quantile{kind="POST",quantile="0.99"}' in page
            assert "ragworttiller_owner_advisor_entries_avoided 0.0" in page
            pages = page + await platform.metrics("e2")
            assert 'ragworttiller_advisor_call_seconds_count{outcome="ok"}' in pages

        with_platform(body)

    def test_a_killed_entry_loses_no_job(self, with_platform):
        async def body(platform: Platform):
            platform.start("e1")
            platform.start("e2")
            await platform.wait_ready("e1", "e2")
            for name in ("e1", "e2"):
                await platform.submit(name, JOB_A if name == "e1" else JOB_B, step(3))
            platform.entries["e1"].kill()
            await platform.wait_state("e2", JOB_A, "completed")
            await platform.wait_state("e2", JOB_B, "completed")
            assert platform.monitor.violations == []

        with_platform(body)

    def test_operators_see_the_cell_through_any_entry(self, with_platform):
        async def body(platform: Platform):
            platform.start("e1")
            platform.start("e2")
            await platform.wait_ready("e1", "e2")
            assert await platform.submit("e1", JOB_A, step(1, cpu=10**6)) == 200

            async def shown() -> bool:
                # The owner answers "jobs"; "show" counts jobs in each entry's own fold, which may
                # be behind by the interval between two reads of the store.
                return all(
                    [
                        await platform.show(name, "jobs")
                        and (await platform.show(name, "show"))["open_jobs"]
                        for name in ("e1", "e2")
                    ]
                )

            await platform.wait_until(shown)
            for name in ("e1", "e2"):
                overview = await platform.show(name, "show")
                assert overview["owner"] in ("e1", "e2")
                assert overview["entries"] == ["e1", "e2"]
                assert overview["unreachable"] == []
                assert list(overview["open_jobs"].values()) == [1]
                (job,) = await platform.show(name, "jobs")
                assert (job["job"], job["wait"]) == (JOB_A, "no_runner_suits")
                (stage,) = await platform.show(name, "job", JOB_A)
                assert stage["waiting"] == 1
                assert len(await platform.show(name, "runners")) == 3
                assert await platform.show(name, "interference") == []
                refused = await platform.command(name, "job", JOB_B)
                assert refused.exit_code != 0
                assert "not_found" in refused.output

        with_platform(body)

    def test_a_dry_run_through_any_entry_submits_nothing(self, with_platform):
        async def body(platform: Platform):
            platform.start("e1")
            platform.start("e2")
            await platform.wait_ready("e1", "e2")
            file = platform.folder / "job.json"
            file.write_bytes(job_body(step(2)))
            call = ("dry-run", str(file), "--host", HOST, "--path", "/q/")

            async def answered() -> bool:
                found = await platform.command("e1", *call)
                return found.exit_code == 0 and bool(json.loads(found.output)["job"]["steps"])

            await platform.wait_until(answered)
            for name in ("e1", "e2"):
                result = await platform.show(name, *call)
                assert result["refused"] == ""
                assert len(result["job"]["steps"][0]["runners"]) == 3
                assert (await platform.show(name, "show"))["open_jobs"] == {}
                refused = await platform.command(name, *call[:-1], "/none/")
                assert "queue_unknown" in refused.output
                assert refused.exit_code == 3
            assert platform.monitor.starts == []
            assert platform.advisor.calls == 0

        with_platform(body)

    def test_a_planned_stop_is_graceful(self, with_platform):
        async def body(platform: Platform):
            platform.start("e1")
            platform.start("e2")
            await platform.wait_ready("e1", "e2")
            platform.entries["e1"].send_signal(signal.SIGTERM)
            await platform.wait_until(lambda: self.unready(platform))
            assert await platform.submit("e1", JOB_A, step(1)) == 200
            with anyio.fail_after(6):
                while platform.entries["e1"].poll() is None:
                    await anyio.sleep(0.05)
            assert platform.entries["e1"].returncode == 0
            await platform.wait_state("e2", JOB_A, "completed")

        with_platform(body)

    def test_an_owner_that_stops_stays_announced_until_it_has_released_the_cell(
        self, with_platform
    ):
        """Guards against an owner that still acts, but whose peers have dropped it."""

        async def body(platform: Platform):
            platform.start("e1")
            await platform.wait_ready("e1")
            platform.store.queue_seconds[OWNER.topic] = 0.8
            platform.entries["e1"].send_signal(signal.SIGTERM)
            while not self.claim(platform).released:
                assert "e1" in platform.store.partition(ENTRIES.topic).newest()
                await anyio.sleep(0.01)
            await platform.wait_until(lambda: self.withdrawn(platform))

        with_platform(body)

    def claim(self, platform: Platform) -> Claim:
        _, value = platform.store.partition(OWNER.topic).newest()[OWNER_KEY]
        return decode(value, Claim)

    async def withdrawn(self, platform: Platform) -> bool:
        return "e1" not in platform.store.partition(ENTRIES.topic).newest()

    def test_a_planned_stop_ends_in_time_though_the_store_is_down(self, with_platform):
        async def body(platform: Platform):
            platform.start("e1")
            await platform.wait_ready("e1")
            platform.store.down = True
            platform.entries["e1"].send_signal(signal.SIGTERM)
            with anyio.fail_after(5.5):
                while platform.entries["e1"].poll() is None:
                    await anyio.sleep(0.05)
            assert platform.entries["e1"].returncode == 0

        with_platform(body)

    def test_a_request_in_progress_when_a_stop_ends_gets_its_answer(self, with_platform):
        """Guards against a 500 for a request that arrives at the end of the drain."""

        async def body(platform: Platform):
            platform.start("e1")
            await platform.wait_ready("e1")
            platform.entries["e1"].send_signal(signal.SIGTERM)
            with anyio.fail_after(5.9):
                await anyio.sleep(2.4)
                platform.store.queue_seconds[JOBS.topic] = 8.0
                assert await platform.submit("e1", JOB_A, step(1)) == 504
                while platform.entries["e1"].poll() is None:
                    await anyio.sleep(0.05)
            assert platform.entries["e1"].returncode == 0

        with_platform(body)

    async def unready(self, platform: Platform) -> bool:
        return await platform.ready("e1") == 503

    def test_changed_settings_are_read_and_bad_ones_are_not(self, with_platform):
        async def body(platform: Platform):
            platform.start("e1")
            await platform.wait_ready("e1")
            path = platform.folder / "e1.ini"
            good = path.read_text()
            path.write_text(good.replace("level = info", "level = noise"))
            platform.entries["e1"].send_signal(signal.SIGHUP)
            await platform.wait_until(lambda: self.logged(platform, "settings not reloaded"))
            path.write_text(good)
            platform.entries["e1"].send_signal(signal.SIGHUP)
            await platform.wait_until(lambda: self.logged(platform, "settings reloaded"))
            assert await platform.ready("e1") == 200

        with_platform(body)

    def test_a_reload_while_the_modules_load_does_not_end_the_entry(self, with_platform):
        async def body(platform: Platform):
            platform.start("e1")
            await platform.wait_until(lambda: self.accepts(platform))
            platform.entries["e1"].send_signal(signal.SIGHUP)
            await platform.wait_ready("e1")

        with_platform(body)

    async def accepts(self, platform: Platform) -> bool:
        host, _, port = platform.fields["e1"]["listen"]["front"].rpartition(":")
        try:
            socket.create_connection((host, int(port)), 1.0).close()
        except ConnectionRefusedError:
            return False
        return True

    async def logged(self, platform: Platform, message: str) -> bool:
        return any(line["message"] == message for line in platform.lines("e1"))

    def test_a_changed_configuration_is_in_force_soon(self, with_platform):
        async def body(platform: Platform):
            platform.start("e1")
            await platform.wait_ready("e1")
            platform.configure(2, path_prefix="/new/")
            with anyio.fail_after(2):
                while (await platform.call("e1", "GET", "/new/")).status != 200:
                    await anyio.sleep(0.05)
            assert (await platform.call("e1", "GET", "/q/")).status == 404

        with_platform(body)

    def test_the_entry_imports_no_command_line_tool(self):
        loaded = modules_loaded_by("ragworttiller.entry, ragworttiller.entry_process")
        assert loaded.isdisjoint({"typer", "rich", "starlette"})

    def test_connections_are_accepted_before_the_other_modules_load(self):
        loaded = modules_loaded_by("ragworttiller.entry")
        assert loaded.isdisjoint({"anyio", "uvicorn", "asyncio", "msgspec"})


def modules_loaded_by(modules: str) -> set[str]:
    """Return the modules that a new process has loaded after importing some."""
    code = f"import sys, json, {modules}; print(json.dumps(list(sys.modules)))"
    found = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True
    )
    return set(json.loads(found.stdout))


class TestEntryListeners:
    def test_both_addresses_of_an_entry_listen(self, tmp_path: Path):
        path = tmp_path / "settings.ini"
        path.write_text("[instance]\ncallers_address = 127.0.0.1:0\n")
        listeners = open_entry_listeners(path)
        with listeners["callers_address"] as listener:
            with socket.create_connection(listener.getsockname(), 1.0):
                pass
            assert set(listeners) == {"callers_address"}

    @pytest.mark.parametrize(
        "text", ["", "no section", "[instance]\ncallers_address = x", "[instance]\n%"]
    )
    def test_settings_that_cannot_be_read_open_nothing(self, tmp_path: Path, text: str):
        path = tmp_path / "settings.ini"
        path.write_text(text)
        assert open_entry_listeners(path) == {}
        assert open_entry_listeners(tmp_path / "missing") == {}


class TestEntrySettings:
    def test_the_settings_template_is_valid(self, tmp_path: Path):
        path = tmp_path / "settings.ini"
        template = (ROOT / "deploy" / "settings.ini").read_text()
        path.write_text(render(template, settings_fields("e1", "127.0.0.1:1", "127.0.0.1:2")))
        read = load_entry(path)
        assert read.platform.advisor_address == "127.0.0.1:2"
        assert read.bounds.longest_lease_ms == 6000

    def test_the_settings_offer_the_policies_that_exist(self):
        (section,) = (section for section in SECTIONS if section.name == "policies")
        found = {option.name: set(option.allowed.split(", ")) for option in section.options}
        assert found == {
            "order": set(ORDERS),
            "placement": set(PLACEMENTS),
            "candidates": set(CANDIDATES),
            "observation": set(OBSERVATIONS),
            "preemption": set(PREEMPTIONS),
            "headroom": set(HEADROOMS),
            "shares": set(SHARE_ORDERS),
            "copies": set(COPIES),
            "moves": set(MOVES),
            "kinds": set(KINDS),
            "last_tasks": set(LAST_TASKS),
            "estimates": set(ESTIMATES),
            "interference": set(SEPARATIONS),
            "evacuation": set(EVACUATIONS),
        }

    def test_all_errors_are_reported_at_once(self, tmp_path: Path):
        path = tmp_path / "settings.ini"
        path.write_text("[instance]\nname = x\nother = 1\n[bounds]\nlongest_lease_ms = soon\n")
        with pytest.raises(SettingsInvalid) as caught:
            load_entry(path)
        for part in ("other", "longest_lease_ms", "store_address", "callers_address"):
            assert part in str(caught.value)
