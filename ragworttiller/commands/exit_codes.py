"""Exit codes of the command-line tool."""

from __future__ import annotations

from enum import IntEnum

from ragworttiller.exceptions import (
    EntryUnreachable,
    RagworttillerError,
    Ran,
    SettingsInvalid,
    VersionConflict,
)


class ExitCode(IntEnum):
    """Exit code of a command."""

    OK = 0
    FAILED = 1
    USAGE = 2
    REFUSED = 3
    CONFLICT = 4
    UNKNOWN = 5
    UNREACHABLE = 6


EXIT_CODE_MEANINGS = {
    ExitCode.OK: "done",
    ExitCode.FAILED: "the work ended without success",
    ExitCode.USAGE: "wrong arguments, or invalid settings file",
    ExitCode.REFUSED: "refused, not done",
    ExitCode.CONFLICT: "another operator changed the item first, nothing done",
    ExitCode.UNKNOWN: "outcome not known, the work or change may have been done",
    ExitCode.UNREACHABLE: "no entry could be reached, nothing done",
}

EXIT_CODES_BY_RAN = {
    Ran.NO: ExitCode.REFUSED,
    Ran.YES: ExitCode.FAILED,
    Ran.UNKNOWN: ExitCode.UNKNOWN,
}


def exit_code(error: RagworttillerError) -> ExitCode:
    """Return the exit code for an error."""
    if isinstance(error, SettingsInvalid):
        return ExitCode.USAGE
    if isinstance(error, VersionConflict):
        return ExitCode.CONFLICT
    if isinstance(error, EntryUnreachable):
        return ExitCode.UNREACHABLE
    return EXIT_CODES_BY_RAN[error.ran]
