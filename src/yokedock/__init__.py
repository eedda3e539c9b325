"""yokedock: a router for language-model traffic with separate prefill and decode pools."""
