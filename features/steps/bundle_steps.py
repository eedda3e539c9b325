import time

import msgspec
from behave import step, then, when
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey
from support.judge import assert_version_everywhere

from yokedock.base.clock import wall_clock_ms
from yokedock.process.bundle_files import read_signed
from yokedock.version.bundle_codec import Envelope, SignedBundle, sign_bundle
from yokedock.version.bundle_source import read_bundle_source

NOT_ADOPTED_S = 2.0
"""Watches react within a second; a version not in force after this was not adopted."""


@step("a new version is published")
def publish_new(context):
    context.deployment.publish()


@when("two versions are published close together")
def publish_two(context):
    context.deployment.publish()
    context.deployment.publish()


@step("it is in force on every process within 9 s")
def in_force(context):
    assert_version_everywhere(context.deployment)


@when("the content of the first version is published as a new version")
def publish_old_content(context):
    context.deployment.publish(context.deployment.bundle_sections())


@when("an unsigned bundle is published")
def publish_unsigned(context):
    signed = next_signed(context)
    envelope = msgspec.json.decode(signed.envelope, type=Envelope)
    publish(context, SignedBundle(encoded(envelope.manifest, b""), signed.sections))


@when("a wrongly signed bundle is published")
def publish_wrongly_signed(context):
    publish(context, next_signed(context, Ed25519PrivateKey.generate()))


@when("an altered envelope is published")
def publish_altered(context):
    signed = next_signed(context)
    envelope = msgspec.json.decode(signed.envelope, type=Envelope)
    manifest = envelope.manifest.replace(b'"version":', b'"version":9')
    publish(context, SignedBundle(encoded(manifest, envelope.signature), signed.sections))


@when("a truncated envelope is published")
def publish_truncated(context):
    signed = next_signed(context)
    publish(context, SignedBundle(signed.envelope[:-40], signed.sections))


@when("an envelope over 1 MB is published")
def publish_large(context):
    signed = next_signed(context)
    publish(context, SignedBundle(signed.envelope + b" " * 1_000_000, signed.sections))


@when("the same version with other content is published")
def publish_same_version(context):
    sections = context.deployment.bundle_sections()
    sections["class default"]["priority"] = "1"
    publish(context, next_signed(context, version=context.deployment.version, sections=sections))


@when("a bundle whose sections are missing is published")
def publish_without_sections(context):
    sections = context.deployment.bundle_sections()
    sections["class default"]["priority"] = "2"
    signed = next_signed(context, sections=sections)
    publish(context, SignedBundle(signed.envelope, {}))


@when("a bundle with an altered section is published")
def publish_altered_section(context):
    sections = context.deployment.bundle_sections()
    sections["class default"]["priority"] = "3"
    signed = next_signed(context, sections=sections)
    altered = {digest: content + b" " for digest, content in signed.sections.items()}
    publish(context, SignedBundle(signed.envelope, altered))


def next_signed(context, key=None, version=None, sections=None):
    """Return the next version as signed bytes, without publishing it."""
    deployment = context.deployment
    directory = deployment.sign(deployment.version + 1, sections)
    bundle = read_bundle_source(deployment.directory / f"{deployment.version + 1}.ini")
    if key is None and version is None:
        return read_signed(directory)
    return sign_bundle(
        bundle, version or deployment.version + 1, wall_clock_ms(), key or deployment.private_key()
    )


def encoded(manifest, signature):
    return msgspec.json.encode(Envelope(manifest, signature))


def publish(context, signed):
    for item in signed.published():
        context.deployment.publish_value(item.key, item.content)


@then("no process adopts it")
def not_adopted(context):
    time.sleep(NOT_ADOPTED_S)
    deployment = context.deployment
    stamps = {(s.version, s.digest) for s in map(deployment.status, deployment.daemons())}
    assert len(stamps) == 1, stamps
    assert stamps.pop()[0] == deployment.version
    deployment.publish_directory(deployment.signed)


@when("the configuration service goes back to the first version")
def service_goes_back(context):
    deployment = context.deployment
    deployment.publish_directory(deployment.directory / "signed-1")


@when("{first} and {second} are killed and started again")
def restart_two(context, first, second):
    for name in (first, second):
        restart(context, name)


@when("{name} is killed and started again")
def restart(context, name):
    context.deployment.nodes[name].restart()


@when("a new version reaches only some processes before the service goes down")
def half_spread(context):
    deployment = context.deployment
    deployment.publish()
    daemons = deployment.daemons()
    deployment.wait_for(
        lambda: any(deployment.status(n).version == deployment.version for n in daemons),
        9.0,
        "adopted by one process",
    )
    deployment.set_outage(down=True)


@when("the configuration service goes down")
def service_down(context):
    context.deployment.set_outage(down=True)
