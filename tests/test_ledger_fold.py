"""Tests of the fold that validates licenses."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from ragworttiller.process.ledger_fold import LedgerFold
from ragworttiller.records import ExpireKeys, GiveUp, Intent, Outcome

ONE, TWO = b"1" * 16, b"2" * 16


def intent(attempt="t1", key="k", body=ONE, holder="a", at=1.0):
    return Intent(f"i-{attempt}", key, attempt, body, holder, "up", at)


def outcome(attempt="t1", key="k", body: bytes | None = b"x"):
    return Outcome(f"o-{attempt}", key, attempt, 200, "text/plain", body)


def give_up(attempt="t1", key="k", by="a", at=1.0):
    return GiveUp(f"g-{attempt}", key, attempt, by, at)


def reasons(*records):
    fold = LedgerFold()
    return [fold.apply(offset, record).reason for offset, record in enumerate(records, 1)]


class TestRules:
    def test_earlier_intent_wins(self):
        assert reasons(intent("t1"), intent("t2"), intent("t3", body=TWO)) == [
            "",
            "key_taken",
            "key_reused",
        ]

    def test_outcome_settles_the_key_of_its_own_attempt_only(self):
        assert reasons(intent("t1"), outcome("t2"), outcome("t1"), outcome("t1")) == [
            "",
            "not_licensed",
            "",
            "not_licensed",
        ]
        assert reasons(intent("t1"), outcome("t1"), intent("t2"), give_up("t1"))[2:] == [
            "key_taken",
            "not_holder",
        ]

    def test_give_up_of_the_holder_releases_the_key(self):
        assert reasons(intent("t1"), give_up("t1"), outcome("t1"), intent("t2", body=TWO)) == [
            "",
            "",
            "not_licensed",
            "",
        ]

    def test_give_up_of_another_only_burns_an_attempt_without_license(self):
        assert reasons(intent("t1"), give_up("t1", by="b"), intent("t2")) == [
            "",
            "not_holder",
            "key_taken",
        ]
        assert reasons(give_up("t1", by="b"), intent("t1"), intent("t2")) == [
            "",
            "attempt_burnt",
            "",
        ]

    def test_second_copy_of_any_record_is_invalid(self):
        freed = reasons(intent("t1"), give_up("t1"), intent("t1"), give_up("t1"), intent("t2"))
        assert freed == ["", "", "attempt_burnt", "repeated", ""]
        lost = reasons(intent("t1"), intent("t2"), intent("t1"), give_up("t1"), intent("t2"))
        assert lost == ["", "key_taken", "repeated", "", "attempt_burnt"]

    def test_expiry_drops_old_answers_but_no_license(self):
        found = reasons(
            intent("t1", "k1", at=1.0),
            intent("t2", "k2", at=2.0),
            outcome("t2", "k2"),
            ExpireKeys("e", 4),
            intent("t3", "k1", at=9.0),
            intent("t4", "k2", at=2.0),
            give_up("t5", "k5", by="b", at=2.0),
            ExpireKeys("e", 4),
            intent("t6", "k2", at=2.1),
        )
        assert found == ["", "", "", "", "key_taken", "too_late", "too_late", "repeated", ""]

    def test_offset_before_keeps_recent_answers(self):
        fold = LedgerFold()
        assert fold.offset_before(10.0) == 0
        for number in range(1, 4):
            fold.apply(2 * number - 1, intent(f"t{number}", f"k{number}", at=float(number)))
            fold.apply(2 * number, outcome(f"t{number}", f"k{number}"))
        assert [fold.offset_before(at) for at in (1.0, 2.0, 3.0, 9.0)] == [0, 3, 5, 7]
        assert fold.body_bytes == 3
        fold.apply(7, ExpireKeys("e", 5))
        assert list(fold.settled) == ["k3"] and fold.body_bytes == 1


attempts = st.sampled_from(
    [("t1", "k1", 1.0), ("t2", "k1", 2.0), ("t3", "k2", 1.5), ("t4", "k2", 3.0)]
)
holders = st.sampled_from(["a", "b"])
records = st.one_of(
    st.builds(
        lambda attempt, body, holder: intent(attempt[0], attempt[1], body, holder, attempt[2]),
        attempts,
        st.sampled_from([ONE, TWO]),
        holders,
    ),
    st.builds(lambda attempt, body: outcome(*attempt[:2], body), attempts, st.just(b"x")),
    st.builds(lambda attempt, by: give_up(*attempt[:2], by, attempt[2]), attempts, holders),
    st.builds(ExpireKeys, st.just("e"), st.integers(0, 60)),
)


class TestSnapshot:
    @settings(max_examples=300, derandomize=True, deadline=None)
    @given(st.lists(records, max_size=40), st.integers(0, 40))
    def test_fold_from_a_snapshot_equals_the_fold_from_the_start(self, stream, cut):
        whole, later = LedgerFold(), LedgerFold()
        verdicts = []
        for offset, record in enumerate(stream, 1):
            if offset - 1 == min(cut, len(stream)):
                later.load(whole.dump())
            verdicts.append((offset, record, whole.apply(offset, record)))
        if cut >= len(stream):
            later.load(whole.dump())
        for offset, record, verdict in verdicts[cut:]:
            assert later.apply(offset, record) == verdict
        assert later.dump() == whole.dump()
        assert later.body_bytes == whole.body_bytes

    @settings(max_examples=300, derandomize=True, deadline=None)
    @given(st.lists(records, max_size=40))
    def test_no_attempt_is_licensed_twice_and_no_key_twice_at_once(self, stream):
        fold = LedgerFold()
        licensed = set()
        for offset, record in enumerate(stream, 1):
            taken = {*fold.licenses, *fold.settled}
            valid = fold.apply(offset, record).valid
            if isinstance(record, Intent) and valid:
                assert record.key not in taken
                assert record.attempt not in licensed
                licensed.add(record.attempt)
