"""Base class of all errors, and the body in which an error is sent."""

from __future__ import annotations

import logging
from enum import StrEnum
from typing import Any, ClassVar, TypedDict

log = logging.getLogger(__name__)

MAX_RETRY_AFTER_SECONDS = 86_400.0


class Ran(StrEnum):
    """Whether the work that an answer concerns has run."""

    NO = "not_run"
    YES = "ran"
    UNKNOWN = "outcome_unknown"


class ErrorBody(TypedDict):
    """Error as it appears in HTTP answers and messages between instances.

    ``retry_after`` is in seconds, or None when a retry does not help.
    """

    code: str
    message: str
    ran: str
    retry_after: float | None
    fields: dict[str, Any]


class RagworttillerError(Exception):
    """Base class of all errors of the scheduler.

    Parameters
    ----------
    retry_after : float, optional
        Seconds after which the caller may retry.
    **fields : object
        Values for the placeholders of ``template``; they are also sent in the error body.
    """

    code: ClassVar[str] = "internal"
    status: ClassVar[int] = 500
    ran: ClassVar[Ran] = Ran.UNKNOWN
    template: ClassVar[str] = "internal error"
    registry: ClassVar[dict[str, type[RagworttillerError]]] = {}

    @property
    def retry_after(self) -> float | None:
        """Seconds after which the caller may retry."""
        return self._retry_after

    @property
    def fields(self) -> dict[str, Any]:
        """Values for the placeholders of the message."""
        return self._fields

    def __init_subclass__(cls, **kwargs: Any) -> None:
        super().__init_subclass__(**kwargs)
        RagworttillerError.registry[cls.code] = cls

    def __init__(self, *, retry_after: float | None = None, **fields: Any) -> None:
        self._retry_after = retry_after
        self._fields = fields
        super().__init__(self.template.format(**fields))

    def body(self) -> ErrorBody:
        """Return the error as it is sent in HTTP answers and messages."""
        return ErrorBody(
            code=self.code,
            message=str(self),
            ran=self.ran.value,
            retry_after=self._retry_after,
            fields=self._fields,
        )


def error_from(body: ErrorBody) -> RagworttillerError:
    """Rebuild an error from its body.

    Parameters
    ----------
    body : ErrorBody
        Error body that another instance sent.

    Returns
    -------
    RagworttillerError
        An error of the class that has the code, or the base class for an unknown code or for fields
        that the class does not have. A time to retry that is out of range is left out.
    """
    cls = RagworttillerError.registry.get(body["code"], RagworttillerError)
    seconds = body["retry_after"]
    if seconds is not None and not 0 <= seconds <= MAX_RETRY_AFTER_SECONDS:
        seconds = None
    try:
        return cls(retry_after=seconds, **body["fields"])
    except Exception:
        # Formatting calls whatever the fields hold.
        log.warning(
            "error of another instance has other fields", extra={"error": body["code"][:40]}
        )
        return RagworttillerError(retry_after=seconds)
