"""Where the platform tells a process the path of its settings."""

SETTINGS_VARIABLE = "YOKEDOCK_SETTINGS"
