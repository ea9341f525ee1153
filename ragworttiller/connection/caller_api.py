"""HTTP endpoints of callers: requests to upstreams and the outcome of a key."""

from __future__ import annotations

from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from ragworttiller.connection.responses import error_response, handle_errors, json_response
from ragworttiller.exceptions import RagworttillerError, Ran, Stopping
from ragworttiller.messages import LicensedAnswer, LicensedRequest
from ragworttiller.metrics import Metrics
from ragworttiller.request.caller_request import ValidatedRequest, check_name, read_request
from ragworttiller.request.licensed import LicensedRequests
from ragworttiller.request.sender import Sender, UpstreamRequest
from ragworttiller.services.runner import DEFAULT_CONTENT_TYPE, Answer
from ragworttiller.timers import TimerService


class CallerApi:
    """Endpoints that callers use.

    Parameters
    ----------
    sender : Sender
        Sends idempotent requests.
    licensed : LicensedRequests
        Forwards non-idempotent requests to the owner of their key.
    metrics : Metrics
        Receives waiting times and answer codes.
    timers : TimerService
        Source of time.
    max_body : int
        Largest request body in bytes.
    request_timeout : float
        Maximum time for an answer in seconds.
    """

    def __init__(
        self,
        sender: Sender,
        licensed: LicensedRequests,
        metrics: Metrics,
        timers: TimerService,
        max_body: int,
        request_timeout: float,
    ) -> None:
        self._sender = sender
        self._licensed = licensed
        self._metrics = metrics
        self._timers = timers
        self._max_body = max_body
        self._request_timeout = request_timeout
        self._stopping_instance: str | None = None

    def stop(self, instance: str) -> None:
        """Refuse new requests from now on with errors that name ``instance``."""
        self._stopping_instance = instance

    def routes(self) -> list[Route]:
        """Return the routes of callers."""
        return [
            Route(
                "/v1/workspaces/{workspace}/upstreams/{upstream}/{path:path}",
                handle_errors(self.request),
                methods=["GET", "POST", "PUT", "PATCH", "DELETE"],
            ),
            Route("/v1/workspaces/{workspace}/outcomes/{key:path}", handle_errors(self.outcome)),
        ]

    async def request(self, request: Request) -> Response:
        """Serve one request to an upstream."""
        started = self._timers.now()
        kind = "request"
        try:
            if self._stopping_instance is not None:
                raise Stopping(instance=self._stopping_instance, retry_after=0)
            caller_request = await read_request(request, self._max_body, self._request_timeout)
            kind = "idempotent" if caller_request.idempotent else "licensed"
            response = await self._serve(caller_request)
        except RagworttillerError as exc:
            self._metrics.count_answer(exc.code)
            return error_response(exc)
        finally:
            self._metrics.record_wait(kind, self._timers.now() - started)
        self._metrics.count_answer("ok")
        return response

    async def outcome(self, request: Request) -> Response:
        """Show the recorded outcome of a key, or an error with the reason if there is none."""
        workspace = check_name("workspace", request.path_params["workspace"])
        answer = await self._licensed.lookup(f"{workspace}/{request.path_params['key']}")
        return json_response({"ran": Ran.YES.value, "status": answer.status})

    async def _serve(self, caller_request: ValidatedRequest) -> Response:
        if caller_request.key is None:
            upstream_request = UpstreamRequest(
                caller_request.attempt,
                caller_request.workspace,
                caller_request.upstream,
                caller_request.exchange,
                0,
                caller_request.budget,
            )
            return _runner_response(await self._sender.send(upstream_request))
        key = f"{caller_request.workspace}/{caller_request.key}"
        exchange = caller_request.exchange
        request = LicensedRequest(
            key,
            caller_request.attempt,
            caller_request.workspace,
            caller_request.upstream,
            exchange.method,
            exchange.path,
            exchange.headers,
            exchange.body,
            caller_request.budget,
        )
        return _recorded_response(key, await self._licensed.submit(request))


def _runner_response(answer: Answer) -> Response:
    headers = {"content-type": answer.content_type, "x-ran": Ran.YES.value}
    return Response(answer.body, answer.status, headers)


def _recorded_response(key: str, answer: LicensedAnswer) -> Response:
    headers = {"x-ran": Ran.YES.value, "x-replayed": str(answer.replayed).lower()}
    if answer.body is None:
        return json_response({"key": key, "ran": Ran.YES.value}, answer.status, headers)
    headers["content-type"] = answer.content_type or DEFAULT_CONTENT_TYPE
    return Response(answer.body, answer.status, headers)
