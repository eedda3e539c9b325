"""Request handling: admission, backend selection, attempts, retries and responses."""
