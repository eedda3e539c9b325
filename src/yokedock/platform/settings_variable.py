"""The environment variable in which the platform passes the path of the settings file."""

SETTINGS_VARIABLE = "YOKEDOCK_SETTINGS"
