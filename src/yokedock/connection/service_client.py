"""HTTP client for a service on the agent's machine that is not a model engine."""

from __future__ import annotations

import urllib3

from yokedock.connection.bounded_http import bounded_pool_manager, read_whole
from yokedock.errors import EngineLost, EngineUnavailable
from yokedock.messages import ServiceAnswer

POOL_SIZE = 64
IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"


class ServiceClient:
    """Sends one call at a time for each worker thread, without automatic retries."""

    def __init__(self, url: str, connect_timeout_s: float) -> None:
        """``url`` is the base URL of the service."""
        self._url = url.rstrip("/")
        self._connect_timeout_s = connect_timeout_s
        self._pool = bounded_pool_manager(POOL_SIZE)

    def call(
        self, service: str, body: bytes, content_type: str, key: str, timeout_s: float
    ) -> ServiceAnswer:
        """Call the service and return its response.

        Raises ``EngineUnavailable`` if the call was certainly not delivered and ``EngineLost`` if
        its outcome is unknown.
        """
        headers = {"Content-Type": content_type}
        if key:
            headers[IDEMPOTENCY_KEY_HEADER] = key
        try:
            streamed = self._pool.request(
                "POST",
                f"{self._url}/{service}",
                body=body,
                headers=headers,
                timeout=urllib3.Timeout(connect=self._connect_timeout_s, read=timeout_s),
                redirect=False,
                preload_content=False,
            )
            response = read_whole(streamed)
        except (urllib3.exceptions.NewConnectionError, urllib3.exceptions.ConnectTimeoutError):
            raise EngineUnavailable(
                f"cannot connect to the service at {self._url}; start it"
            ) from None
        except urllib3.exceptions.HTTPError as error:
            raise EngineLost(
                f"the connection to the service at {self._url} was lost ({error})"
            ) from None
        kind = response.headers.get("Content-Type", "application/octet-stream")
        return ServiceAnswer(response.status, kind, response.data)
