"""The configuration of a service of model engines, with the figures of jabalrest-om."""

from __future__ import annotations

STRIDE = 11
SWITCH_S = 6.0


def configuration(version: int) -> dict[str, object]:
    """Return the operator's configuration: one resumable route to the service ``llm``."""
    return {
        "version": version,
        "routes": [
            {
                "name": "r",
                "host": "a.example",
                "pathPrefix": "/s/",
                "routeType": "streaming",
                "timeoutMs": 14000,
                "targetLatencyMs": 900,
                "priority": 1,
                "service": "llm",
                "maxAttempts": 2,
                "sessionAffinity": True,
                "resumable": True,
                "itlTargetMs": 300,
            }
        ],
        "services": [
            {
                "name": "llm",
                "healthPath": "/health",
                "maxConnections": 620,
                "protocol": "h1",
                "tlsEnabled": False,
                "engine": {
                    "slotCount": 128,
                    "kvCapacity": 66897,
                    "kvTokenBytes": 18432,
                    "linkMbps": 350000.0,
                    "moves": True,
                    "backups": True,
                    "stride": STRIDE,
                    "most": 12,
                    "kvHoldS": 0.5,
                    "stageSwitchS": SWITCH_S,
                    "pinMs": 4000.0,
                    "holdMs": 2000.0,
                    "models": [{"name": "m"}],
                },
            }
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
    }
