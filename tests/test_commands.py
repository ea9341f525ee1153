"""Tests of the command-line tool against entries that give prepared answers."""

from __future__ import annotations

import json
import threading
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

import pytest
from typer.testing import CliRunner

from ragworttiller.__main__ import app
from ragworttiller.commands.exit_codes import EXIT_CODE_MEANINGS, exit_code
from ragworttiller.config.sample import sample
from ragworttiller.exceptions import (
    NotReady,
    OutcomeUnknown,
    RagworttillerError,
    Unauthorized,
    VersionConflict,
)

ITEM = {
    "workspace": "ws",
    "kind": "template",
    "name": "t",
    "version": 7,
    "body": {"kind": "batch", "need": {"cpu": 1000}},
    "author": "ann",
    "at": 1.0,
}
CONFLICT = VersionConflict(name="t", current=7, base=5)


class Entry:
    """Fake entry that answers each call with the next of its prepared answers."""

    def __init__(self):
        self.answers = {}
        self.received = []
        entry = self

        class Handler(BaseHTTPRequestHandler):
            def handle_any(self):
                length = int(self.headers.get("content-length") or 0)
                body = self.rfile.read(length)
                entry.received.append((self.command, self.path, dict(self.headers), body))
                prepared = entry.answers[f"{self.command} {self.path}"]
                answer = prepared.pop(0) if len(prepared) > 1 else prepared[0]
                if answer is None:
                    return
                status, value, headers = entry.encode(answer)
                self.send_response(status)
                for name, text in headers.items():
                    self.send_header(name, text)
                self.send_header("content-length", str(len(value)))
                self.end_headers()
                self.wfile.write(value)

            do_GET = do_PUT = do_POST = do_DELETE = handle_any  # noqa: N815

            def log_message(self, *_args):
                return

        self.server = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self.url = f"http://127.0.0.1:{self.server.server_port}"
        self.thread = threading.Thread(target=self.server.serve_forever, args=(0.01,))
        self.thread.start()

    def encode(self, answer):
        if isinstance(answer, RagworttillerError):
            headers = {"x-ran": answer.ran.value}
            return answer.status, json.dumps(answer.body()).encode(), headers
        if isinstance(answer, tuple):
            return answer
        return 200, json.dumps(answer).encode(), {}

    def prepare(self, call, *answers):
        self.answers[call] = list(answers)

    def close(self):
        self.server.shutdown()
        self.server.server_close()
        self.thread.join()


@pytest.fixture
def entry():
    started = Entry()
    yield started
    started.close()


@pytest.fixture
def second_entry():
    started = Entry()
    yield started
    started.close()


def run(*arguments, entries=(), output="table"):
    options = [part for one in entries for part in ("--entry", one.url)]
    options += ["--token", "secret", "--author", "ann", "--output", output, "--timeout", "5"]
    return CliRunner().invoke(app, [*options, *arguments])


TEMPLATE = "/v1/workspaces/ws/templates/t"


class TestClient:
    def test_next_entry_is_tried_when_one_is_not_ready(self, entry, second_entry):
        entry.prepare(f"GET {TEMPLATE}", NotReady(instance="a", reason="starting"))
        second_entry.prepare(f"GET {TEMPLATE}", ITEM)
        result = run("templates", "show", "ws", "t", entries=[entry, second_entry], output="json")
        assert (result.exit_code, json.loads(result.stdout)) == (0, ITEM)
        headers = second_entry.received[0][2]
        assert headers["authorization"] == "Bearer secret"
        assert headers["x-author"] == "ann"

    def test_lost_answer_is_repeated_only_for_reads(self, entry, second_entry, tmp_path):
        body = tmp_path / "t.json"
        body.write_text("{}")
        for call in (f"GET {TEMPLATE}", f"PUT {TEMPLATE}"):
            entry.prepare(call, None)
            second_entry.prepare(call, ITEM)
        read = run("templates", "show", "ws", "t", entries=[entry, second_entry])
        change = run(
            "templates", "publish", "ws", "t", "--file", str(body), entries=[entry, second_entry]
        )
        assert (read.exit_code, change.exit_code) == (0, 5)
        assert [call[0] for call in second_entry.received] == ["GET"]

    def test_unreachable_and_refused_have_different_exit_codes(self, entry):
        entry.prepare("GET /v1/status", Unauthorized())
        assert run("status", entries=[entry]).exit_code == 3
        closed = Entry()
        closed.close()
        assert run("status", entries=[closed]).exit_code == 6
        assert run("status").exit_code == 6
        assert run("status", "--wrong").exit_code == 2


class TestTemplates:
    def test_conflict_shows_both_versions(self, entry, tmp_path):
        body = tmp_path / "t.json"
        body.write_text('{"kind": "gang"}')
        entry.prepare(f"PUT {TEMPLATE}", CONFLICT)
        older = {**ITEM, "version": 5, "author": "bob", "body": {"kind": "service"}}
        entry.prepare(f"GET {TEMPLATE}/history", [older, ITEM])
        result = run(
            "templates", "publish", "ws", "t", "--file", str(body), "--base", "5", entries=[entry]
        )
        assert result.exit_code == 4
        lines = result.stdout.splitlines()
        assert [line.split()[-1] for line in lines[1:]] == [
            '{"kind":"service"}',
            '{"kind":"batch","need":{"cpu":1000}}',
            '{"kind":"gang"}',
        ]
        assert "bob" in lines[1] and "ann" in lines[2]
        assert "is at version 7, the change was made from version 5" in result.stderr

    def test_adjust_sends_the_changed_body_from_the_version_read(self, entry):
        entry.prepare(f"GET {TEMPLATE}", ITEM)
        entry.prepare(f"PUT {TEMPLATE}", {**ITEM, "version": 9})
        fields = ("need.cpu=4000", "rules.labels=[1]", "note=a=b")
        result = run("templates", "adjust", "ws", "t", *fields, entries=[entry])
        assert result.exit_code == 0
        _, _, headers, body = entry.received[-1]
        assert headers["if-match"] == "7"
        assert json.loads(body) == {
            "kind": "batch",
            "need": {"cpu": 4000},
            "rules": {"labels": [1]},
            "note": "a=b",
        }
        assert run("templates", "adjust", "ws", "t", "cpu", entries=[entry]).exit_code == 3


class TestJobs:
    def test_wait_shows_progress_and_fails_with_the_job(self, entry):
        path = "GET /v1/workspaces/ws/jobs/j1?wait=5.000"
        running = {"job": "j1", "state": "running", "tasks": {"done": 1, "running": 2}}
        ended = {"job": "j1", "state": "failed", "tasks": {"failed": 3}, "reason": "exit 1"}
        entry.prepare(path, running, running, ended)
        result = run("jobs", "wait", "ws", "j1", entries=[entry])
        assert result.exit_code == 1
        assert "running: 1 done, 2 running" in result.stderr
        assert result.stderr.count("running:") == 1
        assert "ended as failed: exit 1" in result.stderr

    def test_cancel_takes_a_job_or_a_selector(self, entry):
        entry.prepare("DELETE /v1/workspaces/ws/jobs?template=t&state=pending", {"cancelled": 4})
        chosen = ("--selector", "template=t", "--selector", "state=pending")
        result = run("jobs", "cancel", "ws", *chosen, entries=[entry], output="json")
        assert json.loads(result.stdout) == {"cancelled": 4}
        assert run("jobs", "cancel", "ws", entries=[entry]).exit_code == 2
        wrong = run("jobs", "cancel", "ws", "--selector", "color=red", entries=[entry])
        assert wrong.exit_code == 3

    def test_submit_sends_parameters_under_a_key(self, entry):
        entry.prepare("POST /v1/workspaces/ws/jobs", {"job": "j1"})
        assert run("jobs", "submit", "ws", "t", "size=3", entries=[entry]).exit_code == 0
        body = json.loads(entry.received[0][3])
        assert body["parameters"] == {"size": 3}
        assert len(body["key"]) == 32


class TestRequests:
    PATH = "/v1/workspaces/ws/upstreams/marking/grades/1"

    def test_answer_of_the_upstream_is_printed_whatever_its_status(self, entry):
        entry.prepare(f"POST {self.PATH}", (500, b"sorry", {"x-ran": "ran", "x-replayed": "true"}))
        arguments = ("requests", "send", "ws", "marking", "/grades/1", "--method", "post")
        result = run(*arguments, "--key", "k", "--deadline", "2", entries=[entry])
        assert (result.exit_code, result.stdout) == (0, "sorry")
        assert "status 500 replayed" in result.stderr
        headers = entry.received[0][2]
        assert (headers["idempotency-key"], headers["x-deadline-seconds"]) == ("k", "2")

    def test_unknown_outcome_has_its_own_exit_code(self, entry):
        entry.prepare(f"POST {self.PATH}", OutcomeUnknown(key="ws/k"))
        arguments = ("requests", "send", "ws", "marking", "grades/1", "--data", "{}")
        assert run(*arguments, entries=[entry]).exit_code == 5
        assert entry.received[0][3] == b"{}"
        assert run(*arguments, "--file", "x", entries=[entry]).exit_code == 2


class TestOtherCommands:
    def test_lists_and_use(self, entry):
        entry.prepare("GET /v1/workers", [{"worker": "w1", "blocks": ["full"], "tasks": 3}])
        entry.prepare("GET /v1/upstreams", [{"upstream": "a", "runner": "r"}, {"upstream": "b"}])
        entry.prepare("GET /v1/instances", [{"instance": "e2"}, {"instance": "e1"}])
        entry.prepare("GET /v1/workspaces/ws/use", [1500, 64, 0])
        entry.prepare(f"GET {TEMPLATE}/history", [{**ITEM, "at": 86400.0}])
        entry.prepare("GET /v1/decisions", [{"kind": "route", "waited": 0.25}])
        shown = {
            name: run(*name.split(), entries=[entry]).stdout
            for name in (
                "workers list",
                "upstreams list a",
                "instances list",
                "workspaces use ws",
                "decisions tail",
                "templates history ws t",
            )
        }
        assert "1970-01-02 00:00:00+00:00" in shown["templates history ws t"]
        assert '["full"]' in shown["workers list"]
        assert len(shown["upstreams list a"].splitlines()) == 2
        assert shown["instances list"].splitlines()[1].startswith("e1")
        assert "cpu           1500" in shown["workspaces use ws"]
        assert "0.25" in shown["decisions tail"]

    def test_a_waiting_stage_shows_what_stands_against_its_runners(self, entry):
        """Guards against a view that names a reason only, also of an entry without details."""
        wait = {"wait": "not_usable", "details": {"obstacles": {"suspended": 2}, "with_room": 2}}
        entry.prepare("GET /v1/cell/jobs/j", [{"stage": "j.0.0", **wait}, {"stage": "j.0.1"}])
        lines = run("cell", "job", "j", entries=[entry]).stdout.splitlines()
        assert "obstacles" in lines[0]
        assert "not_usable" in lines[1] and '{"suspended":2}' in lines[1]
        assert lines[2].startswith("j.0.1")

    def test_config_check_names_all_errors(self, tmp_path):
        path = tmp_path / "e.ini"
        path.write_text(sample())
        assert run("config", "check", str(path)).exit_code == 0
        path.write_text(sample().replace("[instance]", "[instances]"))
        result = run("config", "check", str(path))
        assert result.exit_code == 2
        assert "did you mean 'instance'" in result.stderr
        assert run("config", "sample").stdout == sample()

    def test_every_code_has_an_exit_code_with_a_meaning(self):
        listed = run("codes").stdout
        for code, cls in RagworttillerError.registry.items():
            assert code in listed
            assert exit_code(cls.__new__(cls)) in EXIT_CODE_MEANINGS
