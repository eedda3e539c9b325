import dataclasses
import time

from behave import given, step, then, when
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey

from yokedock.connection.configuration_watch import ConfigurationClient, ConfigurationWatch
from yokedock.version.bundle_codec import ENVELOPE_KEY, PACK_KEY, pack_sections, sign_bundle
from yokedock.version.bundle_store import BundleStore
from yokedock_emulator.platform import Outage, Platform
from yokedock_emulator.slopes import aim_bundle

WATCH_MS = 10_000


@given("a configuration service with a bundle of the size aimed at")
def service_with_bundle(context):
    context.platform = Platform()
    context.key = Ed25519PrivateKey.generate()
    context.bundle, context.version = aim_bundle(), 0
    context.store = BundleStore(context.key.public_key())
    context.client = ConfigurationClient(context.platform.url)
    publish(context)
    assert len(context.signed.sections) > 30, len(context.signed.sections)


def publish(context):
    context.version += 1
    context.signed = sign_bundle(context.bundle, context.version, context.version, context.key)
    context.platform.publish_bundle(context.signed)


@step("a process with no bundle reads it")
def reads(context):
    before = context.platform.ledger().reads
    _, envelope = context.client.read(ENVELOPE_KEY)
    context.store.offer(envelope, context.client.sections, "test")
    context.reads = context.platform.ledger().reads - before


@when("one tenant is changed")
def change_tenant(context):
    tenants = dict(context.bundle.tenants)
    tenants["tenant-7"] = dataclasses.replace(tenants["tenant-7"], max_in_flight=5)
    context.bundle = dataclasses.replace(context.bundle, tenants=tenants)
    publish(context)


@when("one tenant is changed and the process reads again")
def change_and_read(context):
    change_tenant(context)
    reads(context)


@given("a process that watches it and is up to date after {count:d} publications")
def start_watch(context, count):
    watch = ConfigurationWatch(context.client, context.store, WATCH_MS)
    context.add_cleanup(watch.stop)
    watch.start()
    for _ in range(count):
        publish(context)
    wait_for_newest(context, WATCH_MS / 1000)


@when("the service is down for {down_s:g} s and is restored from a backup {lost:d} revisions older")
def restore_service(context, down_s, lost):
    context.platform.set_outage(Outage(down=True))
    time.sleep(down_s)
    context.platform.restore_backup(lost)
    context.platform.set_outage(Outage())


@then("the process has the newest bundle within {limit_s:g} s")
def wait_for_newest(context, limit_s):
    until_s = time.monotonic() + limit_s
    while context.store.stamp.version < context.version and time.monotonic() < until_s:
        time.sleep(0.01)
    assert context.store.stamp.version == context.version


@when("the packed sections are not published")
def pack_missing(context):
    context.platform.publish(PACK_KEY, b"")


@when("the packed sections are altered")
def pack_altered(context):
    packed = pack_sections(context.signed.sections)
    context.platform.publish(PACK_KEY, packed.replace(b"tenant-7", b"tenant-8"))


@when("the packed sections are those of another time")
def pack_of_another_time(context):
    first = pack_sections(context.signed.sections)
    context.bundle = dataclasses.replace(context.bundle, models={})
    publish(context)
    context.platform.publish(PACK_KEY, first)


@then("it has the newest bundle after {count:d} reads")
def newest_after(context, count):
    assert context.store.stamp.version == context.version
    assert context.reads == count, context.reads


@then("it has the newest bundle, however many reads that took")
def newest(context):
    assert context.store.stamp.version == context.version
    assert context.store.current().tenants == context.bundle.tenants
