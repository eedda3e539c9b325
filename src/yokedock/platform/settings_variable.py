"""The environment variables in which the platform passes settings."""

SETTINGS_VARIABLE = "YOKEDOCK_SETTINGS"
"""Path of the settings file."""
LINK_VARIABLE = "YOKEDOCK_LINK_MBPS"
"""Rate of the machine's network link in Mbit/s; unset or empty if it is not known."""
LIMITS_VARIABLE = "YOKEDOCK_MACHINE_LIMITS"
"""Limits of the process as a JSON object; unset or empty if they are not known."""
