"""Errors of requests that a server refuses before it has received them whole."""

from __future__ import annotations

from ragworttiller.exceptions.base import RagworttillerError, Ran


class MalformedRequest(RagworttillerError):
    """The bytes received are no valid HTTP request."""

    code = "malformed_request"
    status = 400
    ran = Ran.NO
    template = "the request is not valid HTTP"


class RequestTimeout(RagworttillerError):
    """The request did not arrive whole in the time that it has."""

    code = "request_timeout"
    status = 408
    ran = Ran.NO
    template = "the {part} of the request did not arrive within {seconds} s"


class TargetTooLong(RagworttillerError):
    """The request line exceeds the limit of the head."""

    code = "target_too_long"
    status = 414
    ran = Ran.NO
    template = "the request line exceeds {limit} bytes"


class HeadTooLarge(RagworttillerError):
    """The head, the framing of a chunk or the trailers of a request exceed the limit."""

    code = "head_too_large"
    status = 431
    ran = Ran.NO
    template = "the head or the trailers exceed {limit} bytes"


class TooManyRequests(RagworttillerError):
    """The server holds as many connections or bytes of requests as it may."""

    code = "too_many_requests"
    status = 503
    ran = Ran.NO
    template = "the server holds too many requests"
