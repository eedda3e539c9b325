"""Calls to a plain service beside an agent."""

from __future__ import annotations

import urllib3

from yokedock.errors import EngineLost, EngineUnavailable
from yokedock.messages import ServiceAnswer

CONNECTIONS = 64
KEY_HEADER = "Idempotency-Key"


class ServiceClient:
    """Sends one call at a time for each worker and never repeats one by itself."""

    def __init__(self, url: str, connect_timeout_s: float) -> None:
        """Name the service's base URL."""
        self._url = url.rstrip("/")
        self._connect_timeout_s = connect_timeout_s
        self._pool = urllib3.PoolManager(maxsize=CONNECTIONS, retries=False, block=False)

    def call(
        self, service: str, body: bytes, content_type: str, key: str, timeout_s: float
    ) -> ServiceAnswer:
        """Return the service's answer.

        Raises ``EngineUnavailable`` when the call was certainly not handed over and
        ``EngineLost`` when its fate is not known.
        """
        headers = {"Content-Type": content_type}
        if key:
            headers[KEY_HEADER] = key
        try:
            response = self._pool.request(
                "POST",
                f"{self._url}/{service}",
                body=body,
                headers=headers,
                timeout=urllib3.Timeout(connect=self._connect_timeout_s, read=timeout_s),
                redirect=False,
            )
        except (urllib3.exceptions.NewConnectionError, urllib3.exceptions.ConnectTimeoutError):
            raise EngineUnavailable(f"no service answers at {self._url}; start it") from None
        except urllib3.exceptions.HTTPError as error:
            raise EngineLost(f"the service at {self._url} was lost ({error})") from None
        kind = response.headers.get("Content-Type", "application/octet-stream")
        return ServiceAnswer(response.status, kind, response.data)
