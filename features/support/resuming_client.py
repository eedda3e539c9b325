"""A caller of one stream that resumes it, at any router, and records which engines wrote it."""

import asyncio
import re
import time

from support.router_world import RawCaller, request_bytes

EVENT = re.compile(rb"id: (\d+)\ndata: piece \d+ of (\w+)")


class ResumingClient:
    """One caller; ``events`` holds the number and the engine of each event that it received."""

    prompt_tokens = 50
    """Less than an engine's cache lists exactly."""

    def __init__(self, world, number, route, tries=0):
        """``number`` determines the prompt; the ids of the requests begin after ``tries``."""
        self._world = world
        self._route = route
        self._number = number
        self._tries = tries
        self.first_request = ""
        """Id of the request that received the first event."""
        self.events = []
        self.status = None
        self.is_whole = False
        self.took_s = 0.0

    def begin(self, router, last_event=None):
        """Request the stream; disconnect after ``last_event``, if given."""
        self._request(router, [], last_event)

    def resume(self, router, last_event=None, names_first=True):
        """Request the rest of the stream."""
        headers = [("Last-Event-Id", str(len(self.events)))]
        if names_first:
            headers.append(("X-Resumes", self.first_request))
        self._request(router, headers, last_event)

    def versions(self):
        """Return the versions of the engines whose events it received."""
        return {self._world.backends[name].version for _, name in self.events}

    def has_each_event_once(self, count):
        """Return whether it received the events from 1 to ``count`` in order."""
        return [number for number, _ in self.events] == list(range(1, count + 1))

    def _request(self, router, headers, last_event):
        self._tries += 1
        name = f"c{self._number}-{self._tries}"
        part = f"part{self._number}:{self.prompt_tokens}"
        tokens = f"{self.prompt_tokens},60"
        headers = [("X-Model", "m"), ("X-Tokens", tokens), ("X-Prompt-Parts", part), *headers]
        caller = RawCaller(self._world, router.settings.callers.listen)
        sent_s = time.monotonic()
        caller.send(request_bytes(self._route, headers=headers, request_id=name))
        if last_event is None:
            self.status, _, body, self.is_whole = caller.read_answer()
        else:
            body = self._read_until_event(caller, last_event)
            caller.leave()
        self.took_s = time.monotonic() - sent_s
        found = [(int(number), engine.decode()) for number, engine in EVENT.findall(body)]
        if found and not self.events:
            self.first_request = name
        self.events += found

    def _read_until_event(self, caller, number):
        try:
            return caller.read_until(f"id: {number}\n".encode()) + caller.read_until(b"\n\n")
        except (asyncio.IncompleteReadError, ConnectionError) as error:
            return getattr(error, "partial", b"")
