"""Commands that validate, sign and compare bundles."""

from __future__ import annotations

import sys
from pathlib import Path

import cyclopts
import msgspec
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey

from yokedock.base.clock import wall_clock_ms
from yokedock.process.bundle_diff import diff_bundles
from yokedock.process.bundle_files import (
    format_public_key,
    open_signed,
    parse_public_key,
    read_private_key,
    read_signed,
    write_private_key,
    write_signed,
)
from yokedock.process.exit import EXIT_ERROR
from yokedock.version.bundle_codec import sign_bundle, with_previous_pools
from yokedock.version.bundle_source import read_bundle_source

app = cyclopts.App(name="bundle")


@app.command(name="check")
def check_bundle(source: Path) -> None:
    """Validate a bundle's source and print every error with its remedy."""
    bundle = read_bundle_source(source)
    print(
        f"{source}: no errors; {len(bundle.models)} models, {len(bundle.engines)} engines, "
        f"{len(bundle.replicas)} replicas, {len(bundle.tenants)} tenants"
    )


@app.command(name="keygen")
def keygen(file: Path) -> None:
    """Generate a signing key: write the private key to FILE and print the public key."""
    key = Ed25519PrivateKey.generate()
    write_private_key(key, file)
    print(format_public_key(key.public_key()))


@app.command(name="sign")
def sign(source: Path, *, version: int, key: Path, out: Path, previous: Path | None = None) -> None:
    """Sign SOURCE as VERSION and write the signed bundle to directory OUT.

    PREVIOUS is the directory of the active version. Give it if there is one, so that the new
    bundle records the previous replicas of each service whose replicas change.
    """
    bundle = read_bundle_source(source)
    private_key = read_private_key(key)
    now_ms = wall_clock_ms()
    if previous is not None:
        before = open_signed(read_signed(previous), private_key.public_key())
        if version <= before.version:
            print(f"the active version is {before.version}; use a higher one", file=sys.stderr)
            sys.exit(EXIT_ERROR)
        bundle = with_previous_pools(bundle, before, now_ms)
    signed = sign_bundle(bundle, version, now_ms, private_key)
    write_signed(signed, out)
    print(f"version {version}: {len(signed.sections)} sections in {out}; publish them")


@app.command(name="show")
def show(directory: Path, *, public_key: str) -> None:
    """Verify a signed bundle and print it as JSON."""
    bundle = open_signed(read_signed(directory), parse_public_key(public_key))
    print(msgspec.json.format(msgspec.json.encode(bundle)).decode())


@app.command(name="diff")
def diff(old: Path, new: Path, *, public_key: str) -> None:
    """Print the differences between two signed bundles."""
    key = parse_public_key(public_key)
    before, after = open_signed(read_signed(old), key), open_signed(read_signed(new), key)
    print(f"version {before.version} -> {after.version}")
    for line in diff_bundles(before, after):
        print(line)
