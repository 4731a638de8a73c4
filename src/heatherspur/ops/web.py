"""Operations listener: health, status, metrics and announcements of targets.

It uses ``circuits.web`` without its dispatcher, which fails on form bodies. Callers
have no access to this listener; they are served by ``h11``, for the reasons given in
``docs/design/house-style.md``.
"""

import json
from collections.abc import Callable
from typing import Any

from circuits import BaseComponent, handler
from circuits.web import BaseServer

from heatherspur.core import Address
from heatherspur.membership import announced, parse_announcement

__all__ = ["OpsServer"]

MAX_ANNOUNCEMENT_BYTES = 4096


class OpsServer(BaseComponent):
    """HTTP server for operators and for the targets on this host.

    :param address: Address to listen on.
    :param status: Returns the status of the node.
    :param metrics: Returns the metrics as text and their content type.
    """

    channel = "web"

    def __init__(
        self,
        address: Address,
        status: Callable[[], dict[str, Any]],
        metrics: Callable[[], tuple[bytes, str]],
    ) -> None:
        super().__init__()
        self._status = status
        self._metrics = metrics
        self._pages_by_path = {
            "/health": self._show_health,
            "/status": self._show_status,
            "/metrics": self._show_metrics,
            "/announce": self._announce,
        }
        BaseServer((address.host, address.port)).register(self)

    @handler("write", priority=1)
    def _on_write(self, event, sock, _data):
        """Discard a response to a closed connection; circuits would raise an error."""
        if sock.fileno() < 0:
            event.stop()

    @handler("request")
    def _on_request(self, request, response):
        page = self._pages_by_path.get(request.path.rstrip("/"))
        if page is None:
            return _refuse(response, 404, "no such page")
        return page(request, response)

    def _show_health(self, _request, _response) -> str:
        """Return ``ok``; a response shows that the event loop runs."""
        return "ok\n"

    def _show_status(self, _request, response) -> str:
        response.headers["Content-Type"] = "application/json"
        return json.dumps(self._status(), indent=2) + "\n"

    def _show_metrics(self, _request, response) -> str:
        body, content_type = self._metrics()
        response.headers["Content-Type"] = content_type
        return body.decode()

    def _announce(self, request, response) -> str:
        """Validate a target's announcement and fire it as an event."""
        try:
            fields = json.loads(request.body.read(MAX_ANNOUNCEMENT_BYTES))
        except ValueError:
            return _refuse(response, 400, "body is not JSON")
        parsed = parse_announcement(fields, request.remote.ip)
        if parsed.is_err():
            return _refuse(response, 400, parsed.err_value.reason)
        self.fire(announced(parsed.ok_value), "members")
        response.headers["Content-Type"] = "application/json"
        return json.dumps({"accepted": True}) + "\n"


def _refuse(response, status: int, reason: str) -> str:
    response.status = status
    response.headers["Content-Type"] = "application/json"
    return json.dumps({"accepted": False, "reason": reason}) + "\n"
