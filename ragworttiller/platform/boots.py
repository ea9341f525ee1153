"""Names of boots: a runner may start again under its identifier, with another time of birth."""

from __future__ import annotations

_SEPARATOR = "@"
MAX_BORN_DIGITS = 20


def boot_name(runner: str, born: int) -> str:
    """Return the name of a boot.

    Parameters
    ----------
    runner : str
        Identifier of the runner.
    born : int
        Time of its start in milliseconds since the epoch, 0 if it does not tell it; an identifier
        then names one boot only.
    """
    return f"{runner}{_SEPARATOR}{born}" if born else runner


def runner_id(boot: str) -> str:
    """Return the identifier of the runner that a boot belongs to."""
    return _split(boot)[0]


def born_at(boot: str) -> int:
    """Return the time at which a boot started, in milliseconds since the epoch, 0 if unknown."""
    return _split(boot)[1]


def replaces(boot: str, earlier: str) -> bool:
    """Return whether a boot is a later one of the same runner: the earlier one has ended."""
    runner, born = _split(boot)
    earlier_runner, earlier_born = _split(earlier)
    return runner == earlier_runner and born > earlier_born


def _split(boot: str) -> tuple[str, int]:
    runner, separator, born = boot.rpartition(_SEPARATOR)
    if not separator or not (born.isascii() and born.isdecimal()) or len(born) > MAX_BORN_DIGITS:
        return boot, 0
    return runner, int(born)
