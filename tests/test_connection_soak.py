"""Short runs of the soak of an HTTP server."""

from __future__ import annotations

import pytest

from tests.connection_soak import play


class TestConnectionSoak:
    @pytest.mark.parametrize("seed", [1, 2, 3])
    def test_promises_hold_beside_clients_that_do_not_behave(self, seed: int):
        soak = play(seed)
        assert soak.problems == []
        assert soak.served > 0
