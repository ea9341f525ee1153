"""Tests that the checker of sends and answers catches each fault that licenses prevent."""

from __future__ import annotations

import pytest

from ragworttiller.exceptions import RunnerBroken
from ragworttiller.messages import LicensedAnswer
from ragworttiller.process import licensed_attempts
from ragworttiller.process.fold import VALID, Committed
from ragworttiller.process.ledger import Ledger
from ragworttiller.process.ledger_fold import LedgerFold
from ragworttiller.process.licensed_attempts import AttemptRunner
from ragworttiller.records import Intent
from tests.ledger_rig import FakeSender, Rig, rig_of, violations
from tests.test_ledger import take_over

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return "asyncio"


def skip_license(monkeypatch):
    async def _license(self, attempt):
        return Committed(0, VALID)

    monkeypatch.setattr(AttemptRunner, "_license", _license)


def skip_read_back(monkeypatch):
    license_ = AttemptRunner._license

    async def _license(self, attempt):
        return (await license_(self, attempt))._replace(verdict=VALID)

    monkeypatch.setattr(AttemptRunner, "_license", _license)


def ignore_earlier_intent(monkeypatch):
    apply = LedgerFold._apply_intent

    def _apply_intent(self, offset, intent):
        self._licenses.pop(intent.key, None)
        return apply(self, offset, intent)

    monkeypatch.setattr(LedgerFold, "_apply_intent", _apply_intent)


def ignore_burnt_attempts(monkeypatch):
    apply = LedgerFold.apply

    def _apply(self, offset, record):
        if isinstance(record, Intent):
            self._burnt.clear()
        return apply(self, offset, record)

    monkeypatch.setattr(LedgerFold, "apply", _apply)


def guess_not_run(monkeypatch):
    monkeypatch.setattr(
        licensed_attempts, "outcome_unknown", lambda key: licensed_attempts.not_run(key, "a guess")
    )


def send_again(monkeypatch):
    send_once = FakeSender.send_once

    async def _send_once(self, request):
        try:
            return await send_once(self, request)
        except RunnerBroken:
            return await send_once(self, request)

    monkeypatch.setattr(FakeSender, "send_once", _send_once)


def forget_licenses(monkeypatch):
    dump = LedgerFold.dump

    def _dump(self):
        held, self._licenses = self._licenses, {}
        data = dump(self)
        self._licenses = held
        return data

    monkeypatch.setattr(LedgerFold, "dump", _dump)


def answer_another_caller(monkeypatch):
    answers: list[LicensedAnswer] = []
    submit = Ledger.submit

    async def _submit(self, request):
        answers.append(await submit(self, request))
        return answers[0]

    monkeypatch.setattr(Ledger, "submit", _submit)


async def two_keys(rig: Rig) -> None:
    for number in range(2):
        await rig.submit(rig.others()[0], f"t{number}", f"k{number}")


async def two_owners(rig: Rig) -> None:
    old = rig.owner()
    await take_over(rig, old.name)
    new = next(one for one in rig.others() if one.host.get(0) is not None)
    rig.log.append_delay = 0.1
    for one in (old, new):
        await rig.submit(one, f"t-{one.name}", wait=0.0)
    await rig.settle(1.0)


async def late_request(rig: Rig) -> None:
    old = rig.owner()
    rig.network.hold(old.name)
    await rig.submit(rig.others()[0], "t1")
    await take_over(rig, old.name)
    rig.network.release(old.name)
    await rig.settle()


async def broken_runner(rig: Rig) -> None:
    rig.owner().sender.error = RunnerBroken(runner="r")
    await rig.submit(rig.others()[0], "t1")


async def snapshot_then_takeover(rig: Rig) -> None:
    await broken_runner(rig)
    rig.owner().sender.error = None
    rig.owner().ledger.stream.post_snapshot()
    for number in range(rig.retention.records // 2):
        await rig.submit(rig.others()[0], f"u{number}", f"k{number}")
    await rig.kill(rig.owner().name)
    await rig.set_members(list(rig.instances))
    await rig.submit(rig.owner(), "t2")


MUTATIONS = [
    (skip_license, two_owners),
    (skip_read_back, two_owners),
    (ignore_earlier_intent, two_owners),
    (ignore_burnt_attempts, late_request),
    (guess_not_run, broken_runner),
    (send_again, broken_runner),
    (forget_licenses, snapshot_then_takeover),
    (answer_another_caller, two_keys),
]


@pytest.mark.parametrize(("mutate", "scenario"), MUTATIONS, ids=lambda one: one.__name__)
class TestMutations:
    async def test_mutation_is_caught(self, mutate, scenario, monkeypatch):
        mutate(monkeypatch)
        async with rig_of("a", "b", "c", keep=20) as rig:
            await scenario(rig)
            assert violations(rig) != []

    async def test_scenario_without_the_mutation_has_no_violation(self, mutate, scenario):
        async with rig_of("a", "b", "c", keep=20) as rig:
            await scenario(rig)
            assert violations(rig) == []
