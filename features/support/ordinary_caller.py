"""One request of a client that behaves: it comes again after a refusal or a lost connection."""

import http.client
import time

LIMIT_S = 60.0
RETRY_S = 0.2
TIMEOUT_S = 10.0
OK = 200


def until_answered(address, method, path, body, headers):
    """Send a request until it is answered with 200."""
    until_s = time.monotonic() + LIMIT_S
    seen = []
    while time.monotonic() < until_s:
        status, wait_s = attempt(address, method, path, body, headers)
        if status == OK:
            return
        seen.append(status)
        time.sleep(wait_s)
    raise AssertionError(f"{method} {path} was not answered: {seen[-10:]}")


def attempt(address, method, path, body, headers):
    """Return the status or the error of one attempt, and how long to wait before the next one."""
    connection = connect(address)
    try:
        connection.request(method, path, body, headers)
        response = connection.getresponse()
        response.read()
    except (OSError, http.client.HTTPException) as error:
        return repr(error), RETRY_S
    finally:
        connection.close()
    return response.status, float(response.headers.get("Retry-After", RETRY_S))


def connect(address):
    """Return a connection that is opened with its first request."""
    host, _, port = address.rpartition(":")
    return http.client.HTTPConnection(host, int(port), timeout=TIMEOUT_S)
