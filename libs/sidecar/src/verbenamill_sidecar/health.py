"""Serves the readiness check and the metrics."""

from collections.abc import Callable
from http import HTTPStatus

from verbenamill_http.server import Request, Response
from verbenamill_sidecar.routing.responses import error_response

METRICS_PATH = b'/metrics'


class Health:
    """Handles requests to the health port.

    :param is_ready: whether the daemon accepts requests of callers.
    :param render: renders the text of the metrics.
    """

    def __init__(
        self,
        *,
        is_ready: Callable[[], bool],
        render: Callable[[], bytes],
    ) -> None:
        self._is_ready = is_ready
        self._render = render

    async def handle(self, request: Request) -> Response:
        """Answer one request."""
        if request.head.target.partition(b'?')[0] == METRICS_PATH:
            return Response(
                status=HTTPStatus.OK,
                headers=[(b'content-type', b'text/plain; version=0.0.4')],
                body=self._render(),
            )
        if self._is_ready():
            return Response(status=HTTPStatus.OK, body=b'ready\n')
        return error_response(HTTPStatus.SERVICE_UNAVAILABLE, 'not ready')
