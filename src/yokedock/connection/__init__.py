"""Connections to callers, backends and peers, and the state kept for each of them."""
