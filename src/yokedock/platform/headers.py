"""The platform's names of headers, paths and message fields."""

from __future__ import annotations

from yokedock.connection.header_dialect import HeaderNames

PLATFORM_HEADERS = HeaderNames(
    request_id="X-Yokedock-Attempt-Id",
    deadline_ms="X-Yokedock-Deadline-Ms",
    last_event_id="Last-Event-Id",
    resumes="Resumes",
    model="X-Yokedock-Model",
    tokens="X-Yokedock-Token-Usage",
    parts="X-Yokedock-Prompt-Prefix",
    output_hint="X-Yokedock-Length-Hint",
    instance="X-Yokedock-Expected-Instance",
    stage="X-Yokedock-Serving-Stage",
    kv_source="X-Yokedock-Kv-Source",
    fetch_from="Kv-Fetch",
    not_run="X-Yokedock-Not-Executed",
    signature="X-Yokedock-Response-Seal",
    load="X-Yokedock-Instance-Load",
    leaving="Server-Leaving",
    limit="Server-Limit",
    set_by_router=(
        "X-Yokedock-Expected-Instance",
        "X-Yokedock-Expected-Version",
        "X-Yokedock-Serving-Stage",
        "X-Yokedock-Kv-Source",
        "X-Yokedock-Kv-Retention",
        "X-Yokedock-Kv-Backup",
        "X-Yokedock-Request-Priority",
        "X-Yokedock-Pin-Ms",
        "Kv-Fetch",
    ),
    prefill_stage="prefill",
    handle_field="kvHandle",
    tokens_field="tokenCount",
    release_path="/kv-handle/",
    order_path="/order",
    order_kind_field="operation",
    order_kind="stage",
    role_field="stage",
    holder_field="holder",
    token_field="fencingToken",
    cache_list_path="/kv-list",
    cache_list_field="held",
)
