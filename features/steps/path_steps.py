import msgspec
import openai
import urllib3
from behave import step, then, when
from support.caller import Caller, ServiceCaller, StreamCaller
from support.deployment import MODEL, REPEATABLE, SERVICE, TOKEN
from support.judge import assert_answer_or_refusal, assert_nothing_held, executions_of

from yokedock.base.clock import wall_clock_ms
from yokedock.request.idempotency import new_key
from yokedock_emulator.tokens import expected_text

PROMPT = "Which huts have free bunks on the ridge route tonight? "
DAY_MS = 86_400_000


@step("a caller streams {count:d} tokens through {gateway}")
def stream(context, count, gateway):
    before = started(context)
    context.caller = StreamCaller(context.deployment.urls[gateway], PROMPT * 8, count)
    context.started_before = before


@when("a caller streams {count:d} tokens after a prompt of {size:d} tokens through {gateway}")
def stream_long(context, count, size, gateway):
    prompt = "trek" * size
    context.caller = StreamCaller(context.deployment.urls[gateway], prompt, count)


@when("{callers:d} callers stream {count:d} tokens each through both gateways")
def stream_many(context, callers, count):
    urls = [context.deployment.urls[name] for name in ("gateway-1", "gateway-2")]
    context.callers = [
        StreamCaller(urls[number % 2], f"caller {number}: {PROMPT}", count)
        for number in range(callers)
    ]


@when("the caller leaves after {count:d} events")
def leave(context, count):
    context.caller.wait_events(count)
    context.caller.leave()


@step("the answer is whole")
def answer_whole(context):
    caller = context.caller.wait()
    assert caller.is_whole(), f"{caller.status} {caller.data[-500:]!r} {caller.error}"


@then("every answer is whole")
def all_whole(context):
    for caller in context.callers:
        context.caller = caller
        answer_whole(context)


@then("every answer is whole or a refusal that says when to come back")
def whole_or_refused(context):
    for caller in context.callers:
        assert_answer_or_refusal(caller.wait())
    refused = [caller for caller in context.callers if caller.status != 200]
    assert refused, "no caller was refused, although there are more callers than slots"


@then("nothing stays held")
def nothing_held(context):
    assert_nothing_held(context.deployment)


@then("it was prefilled on one engine and decoded on another")
def two_engines(context):
    after = started(context)
    used = [name for name in after if after[name] > context.started_before[name]]
    assert len(used) == 2, used
    assert "prefill" in used[0] and "decode" in used[1], used


def started(context):
    deployment = context.deployment
    return {
        name: len(deployment.ledger(name).requests_started) for name in deployment.engine_names()
    }


@when("a caller asks for {count:d} tokens at once through {gateway}")
def ask_whole(context, count, gateway):
    body = {"model": MODEL, "prompt": PROMPT, "max_tokens": count}
    url = context.deployment.urls[gateway]
    context.caller = Caller(url, "/v1/completions", msgspec.json.encode(body)).wait()
    context.count = count


@then("the whole answer is right")
def whole_right(context):
    document = msgspec.json.decode(context.caller.data)
    assert document["choices"][0]["text"] == expected_text(PROMPT, context.count), document
    assert document["usage"]["completion_tokens"] == context.count, document


@when("a caller asks through {gateway} for an answer that stops before its {count:d}th token")
def ask_with_stop(context, gateway, count):
    context.wanted = expected_text(PROMPT, count - 1)
    stop = expected_text(PROMPT, count)[len(context.wanted) :]
    assert stop not in context.wanted
    client = openai_client(context, gateway)
    asked = {"model": MODEL, "prompt": PROMPT, "max_tokens": 30, "stop": [stop]}
    context.whole = client.completions.create(**asked)
    context.chunks = list(client.completions.create(**asked, stream=True))


@then("the answer ends there, streamed and whole")
def ends_there(context):
    choice = context.whole.choices[0]
    assert (choice.text, choice.finish_reason) == (context.wanted, "stop"), choice
    streamed = "".join(chunk.choices[0].text for chunk in context.chunks)
    assert streamed == context.wanted, streamed
    assert context.chunks[-1].choices[0].finish_reason == "stop", context.chunks[-1]


@when("a caller asks through {gateway} with a temperature and a seed")
def ask_with_sampling(context, gateway):
    client = openai_client(context, gateway)
    client.completions.create(
        model=MODEL, prompt=PROMPT, max_tokens=3, temperature=0.25, seed=77, top_p=0.5
    )


@then("the engine that decoded was told both")
def told_sampling(context):
    deployment = context.deployment
    told = [
        sampling
        for name in deployment.engine_names()
        for sampling in deployment.ledger(name).samplings
        if sampling.seed == 77
    ]
    assert [(s.temperature, s.top_p) for s in told] == [(0.25, 0.5)], told


@when("a caller sends {size:d} bytes of headers through {gateway}")
def huge_headers(context, size, gateway):
    headers = {"Authorization": f"Bearer {TOKEN}", "X-Filler": "x" * size}
    url = context.deployment.urls[gateway] + "/v1/completions"
    context.refusal = None
    try:
        context.refusal = urllib3.request("POST", url, headers=headers, retries=False).status
    except urllib3.exceptions.HTTPError as error:
        context.error = error


@then("the headers are refused")
def headers_refused(context):
    assert context.refusal == 431, (context.refusal, getattr(context, "error", None))


# --- The OpenAI client ---


def openai_client(context, gateway):
    url = f"{context.deployment.urls[gateway]}/v1"
    return openai.OpenAI(base_url=url, api_key=TOKEN, max_retries=0)


@then("the OpenAI client lists the model through {gateway}")
def openai_models(context, gateway):
    assert [model.id for model in openai_client(context, gateway).models.list()] == [MODEL]


@then("the OpenAI client chats through {gateway}, streamed and whole")
def openai_chat(context, gateway):
    client = openai_client(context, gateway)
    messages = [{"role": "user", "content": "Is hut 7 open?"}]
    whole = client.chat.completions.create(model=MODEL, messages=messages, max_tokens=9)
    parts = client.chat.completions.create(
        model=MODEL,
        messages=messages,
        max_tokens=9,
        stream=True,
        stream_options={"include_usage": True},
    )
    chunks = list(parts)
    streamed = "".join(c.choices[0].delta.content or "" for c in chunks if c.choices)
    prompt = "<|user|>\nIs hut 7 open?\n<|assistant|>\n"
    assert streamed == whole.choices[0].message.content == expected_text(prompt, 9)
    assert chunks[-1].usage.completion_tokens == 9
    assert whole.choices[0].finish_reason == "length"


@then("the OpenAI client gets a typed error for an unknown model through {gateway}")
def openai_error(context, gateway):
    try:
        openai_client(context, gateway).completions.create(model="none", prompt="x")
    except openai.NotFoundError as error:
        assert error.body["code"] == "not_found", error.body
        return
    raise AssertionError("no error")


# --- Plain services ---


@when("a service call is sent through {gateway}")
def service_call(context, gateway):
    url = context.deployment.urls[gateway]
    context.key = context.deployment.fresh_key()
    context.service_callers = [ServiceCaller(url, SERVICE, b"hut 7", context.key).wait()]


@when("the same call is sent through {gateway}")
def same_call(context, gateway):
    url = context.deployment.urls[gateway]
    context.service_callers.append(ServiceCaller(url, SERVICE, b"hut 7", context.key).wait())


@then("both got the same answer")
def same_answer(context):
    first, second = context.service_callers
    assert first.status == second.status == 200, (first.data, second.data)
    assert first.data == second.data, (first.data, second.data)


@then("the service ran the key {count:d} times")
def ran_times(context, count):
    runs = executions_of(context.deployment, context.key)
    assert len(runs) == count, runs


@when("a repeatable call is sent through {gateway}")
def repeatable_call(context, gateway):
    url = context.deployment.urls[gateway]
    context.caller = Caller(url, f"/v1/services/{REPEATABLE}", b"list").wait()


@then("the call succeeded")
def call_succeeded(context):
    assert context.caller.status == 200, context.caller.data


# --- Bad input ---


def bad_request(what):
    """Return (method, path, body, headers) of a request that cannot be served."""
    good = {"model": MODEL, "messages": [{"role": "user", "content": "x"}]}
    token = {"Authorization": f"Bearer {TOKEN}"}
    chat, service = "/v1/chat/completions", f"/v1/services/{SERVICE}"
    encode = msgspec.json.encode
    now = wall_clock_ms()
    cases = {
        "malformed JSON": ("POST", chat, b"{", token),
        "a wrong type": ("POST", chat, encode({**good, "max_tokens": "many"}), token),
        "no messages": ("POST", chat, encode({**good, "messages": []}), token),
        "deeply nested JSON": ("POST", chat, b'{"messages":' + b"[" * 100_000, token),
        "an unknown model": ("POST", chat, encode({**good, "model": "none"}), token),
        "an unknown path": ("POST", "/v1/nothing", b"", token),
        "a wrong method": ("GET", chat, b"", token),
        "an oversized body": ("POST", chat, b" " * 1_000_000, token),
        "a temperature out of range": ("POST", chat, encode({**good, "temperature": 9}), token),
        "an empty stop sequence": ("POST", chat, encode({**good, "stop": [""]}), token),
        "too many tokens": ("POST", chat, encode({**good, "max_tokens": 10**6}), token),
        "no token": ("POST", chat, encode(good), {}),
        "a bad token": ("POST", chat, encode(good), {"Authorization": "Bearer wrong"}),
        "a bad deadline": ("POST", chat, encode(good), {**token, "X-Deadline-Ms": "-1"}),
        "an unknown class": ("POST", chat, encode(good), {**token, "X-Request-Class": "none"}),
        "a service call without key": ("POST", service, b"x", token),
        "a key that is no UUIDv7": ("POST", service, b"x", {**token, "Idempotency-Key": "7"}),
        "a key that is too old": (
            "POST",
            service,
            b"x",
            {**token, "Idempotency-Key": new_key(now - DAY_MS)},
        ),
        "a key from the future": (
            "POST",
            service,
            b"x",
            {**token, "Idempotency-Key": new_key(now + DAY_MS)},
        ),
    }
    return cases[what]


@when("a caller sends {what}")
def send_bad(context, what):
    method, path, body, headers = bad_request(what)
    url = context.deployment.urls["gateway-1"] + path
    context.response = urllib3.request(
        method, url, body=body, headers=headers, timeout=10.0, retries=False
    )


@then("the status is {status:d} with code {code}")
def status_code(context, status, code):
    response = context.response
    assert response.status == status, (response.status, response.data[:300])
    error = msgspec.json.decode(response.data)["error"]
    assert error["code"] == code and error["outcome"] == "not_run" and error["message"], error
