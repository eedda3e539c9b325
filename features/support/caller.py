"""Callers: each request runs on its own thread and keeps everything that came back."""

import threading
import time

import msgspec
import urllib3

from support.deployment import MODEL, TOKEN
from yokedock.base.clock import boot_time_s
from yokedock_emulator.tokens import expected_text

END_LIMIT_S = 40.0


class Caller:
    """One request to one gateway."""

    def __init__(self, url, path, body, headers=None):
        self.status = None
        self.data = b""
        self.error = None
        self.response = None
        self._connection_gone = threading.Event()
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
                timeout=urllib3.Timeout(connect=2.0, read=END_LIMIT_S),
            )
            self.status = self.response.status
            self.headers = self.response.headers
            for part in self.response.stream(None):
                self.data += part
        except (urllib3.exceptions.HTTPError, OSError, AttributeError, ValueError) as error:
            self.error = error

    def wait(self):
        """Wait for the final answer, or the end of the connection."""
        self._thread.join(END_LIMIT_S)
        assert not self._thread.is_alive(), f"no final answer after {END_LIMIT_S} s"
        return self

    def is_waiting(self):
        return self._thread.is_alive()

    def wait_events(self, count):
        """Wait until ``count`` events have arrived."""
        give_up = boot_time_s() + END_LIMIT_S
        while self.data.count(b"\n\n") < count and boot_time_s() < give_up:
            time.sleep(0.005)
        assert self.data.count(b"\n\n") >= count, f"{self.status} {self.data!r} {self.error}"

    def leave(self):
        """Close the connection in the middle of the answer, or before it."""
        give_up = boot_time_s() + END_LIMIT_S
        while self.response is None and self._thread.is_alive() and boot_time_s() < give_up:
            time.sleep(0.005)
        self.close()

    def close(self):
        """Close the connection if an answer has begun."""
        if self.response is not None:
            self.response.close()

    def outcome(self):
        """Return the typed outcome of an error answer, None if there is none."""
        body = self.json_error()
        return None if body is None else body["outcome"]

    def json_error(self):
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
        """Return the text of all events so far."""
        texts = []
        for event in self.data.split(b"\n\n"):
            payload = event.removeprefix(b"data: ")
            if payload.startswith(b"{") and b'"choices"' in payload:
                texts.append(msgspec.json.decode(payload)["choices"][0]["text"])
        return "".join(texts)

    def tokens(self):
        """Return how many tokens have arrived; the stand-in's are words."""
        return len(self.text().split())

    def wait_tokens(self, count):
        """Wait until ``count`` tokens have arrived."""
        give_up = boot_time_s() + END_LIMIT_S
        while self.tokens() < count and boot_time_s() < give_up:
            time.sleep(0.02)
        assert self.tokens() >= count, f"not {count}: {self.status} {self.data[-300:]!r}"

    def ends(self):
        """Return how many final events came: the end of the stream and errors."""
        return self.data.count(b"data: [DONE]") + self.data.count(b'data: {"error"')

    def is_whole(self):
        return self.ends() == 1 and self.text() == expected_text(self.prompt, self.max_tokens)

    def is_prefix(self):
        """Return whether what came is the beginning of the right answer."""
        return expected_text(self.prompt, self.max_tokens).startswith(self.text())


class ServiceCaller(Caller):
    """A call to a plain service."""

    def __init__(self, url, service, body, key, deadline_ms=8000):
        headers = {"Idempotency-Key": key, "X-Deadline-Ms": str(deadline_ms)}
        super().__init__(url, f"/v1/services/{service}", body, headers)
