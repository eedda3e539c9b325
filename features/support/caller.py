"""Callers: each sends one request on its own thread and stores the complete response."""

import threading
import time

import msgspec
import urllib3

from support.deployment import MODEL, TOKEN
from yokedock.base.clock import boot_time_s
from yokedock_emulator.tokens import expected_text

RESPONSE_TIMEOUT_S = 40.0


class Caller:
    """One request to one gateway."""

    def __init__(self, url, path, body, headers=None):
        self.status = None
        self.data = b""
        self.error = None
        self.response = None
        self._connection_closed = threading.Event()
        self._url, self._path, self._body = url, path, body
        self._headers = {"Authorization": f"Bearer {TOKEN}", **(headers or {})}
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def _run(self):
        pool = urllib3.PoolManager(retries=False)
        try:
            self.response = pool.request(
                "POST",
                self._url + self._path,
                body=self._body,
                headers=self._headers,
                preload_content=False,
                timeout=urllib3.Timeout(connect=2.0, read=RESPONSE_TIMEOUT_S),
            )
            self.status = self.response.status
            self.headers = self.response.headers
            for chunk in self.response.stream(None):
                self.data += chunk
        except (urllib3.exceptions.HTTPError, OSError, AttributeError, ValueError) as error:
            self.error = error

    def wait(self):
        """Wait until the response ends or the connection closes."""
        self._thread.join(RESPONSE_TIMEOUT_S)
        assert not self._thread.is_alive(), f"response not complete after {RESPONSE_TIMEOUT_S} s"
        return self

    def is_waiting(self):
        return self._thread.is_alive()

    def wait_events(self, count):
        """Wait until ``count`` events have arrived."""
        deadline_s = boot_time_s() + RESPONSE_TIMEOUT_S
        while self.data.count(b"\n\n") < count and boot_time_s() < deadline_s:
            time.sleep(0.005)
        assert self.data.count(b"\n\n") >= count, f"{self.status} {self.data!r} {self.error}"

    def leave(self):
        """Close the connection as soon as the response headers have arrived."""
        deadline_s = boot_time_s() + RESPONSE_TIMEOUT_S
        while self.response is None and self._thread.is_alive() and boot_time_s() < deadline_s:
            time.sleep(0.005)
        self.close()

    def close(self):
        """Close the connection if response headers have arrived."""
        if self.response is not None:
            self.response.close()

    def outcome(self):
        """Return the typed outcome of an error response, or None if there is no error."""
        body = self.json_error()
        return None if body is None else body["outcome"]

    def json_error(self):
        """Return the error object of the response, or None if there is none."""
        for event in self.data.split(b"\n\n"):
            try:
                document = msgspec.json.decode(event.removeprefix(b"data: "))
            except msgspec.MsgspecError:
                continue
            if isinstance(document, dict) and "error" in document:
                return document["error"]
        return None


class StreamCaller(Caller):
    """A streamed completion."""

    def __init__(self, url, prompt, max_tokens, headers=None):
        self.prompt, self.max_tokens = prompt, max_tokens
        body = {"model": MODEL, "prompt": prompt, "max_tokens": max_tokens, "stream": True}
        super().__init__(url, "/v1/completions", msgspec.json.encode(body), headers)

    def text(self):
        """Return the concatenated text of all events received so far."""
        texts = []
        for event in self.data.split(b"\n\n"):
            payload = event.removeprefix(b"data: ")
            if payload.startswith(b"{") and b'"choices"' in payload:
                texts.append(msgspec.json.decode(payload)["choices"][0]["text"])
        return "".join(texts)

    def tokens(self):
        """Return how many tokens have arrived; the emulated engine's tokens are words."""
        return len(self.text().split())

    def wait_tokens(self, count):
        """Wait until ``count`` tokens have arrived."""
        deadline_s = boot_time_s() + RESPONSE_TIMEOUT_S
        while self.tokens() < count and boot_time_s() < deadline_s:
            time.sleep(0.02)
        assert self.tokens() >= count, (
            f"fewer than {count} tokens: {self.status} {self.data[-300:]!r}"
        )

    def ends(self):
        """Return how many final events arrived: end-of-stream markers and errors."""
        return self.data.count(b"data: [DONE]") + self.data.count(b'data: {"error"')

    def is_whole(self):
        return self.ends() == 1 and self.text() == expected_text(self.prompt, self.max_tokens)

    def is_prefix(self):
        """Return whether the received text is a prefix of the expected text."""
        return expected_text(self.prompt, self.max_tokens).startswith(self.text())


class ServiceCaller(Caller):
    """A unary call to a service with an idempotency key."""

    def __init__(self, url, service, body, key, deadline_ms=8000):
        headers = {"Idempotency-Key": key, "X-Deadline-Ms": str(deadline_ms)}
        super().__init__(url, f"/v1/services/{service}", body, headers)
