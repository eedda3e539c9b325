"""Processes of the system: daemons, their settings, HTTP interfaces and the command line."""
