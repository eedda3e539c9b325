"""Parses a bundle's INI source and validates it, including references between sections."""

from __future__ import annotations

import re
from pathlib import Path
from typing import Any

from yokedock.base.options import Problems, read_ini, read_section
from yokedock.errors import BundleInvalid
from yokedock.version.bundle import KINDS, ROLE_DECODE, ROLE_PREFILL, Bundle, Limits

_NAME_PATTERN = re.compile(r"^[a-z0-9][a-z0-9._-]{0,63}$")
_SHA256_PATTERN = re.compile(r"^[0-9a-f]{64}$")
_TABLES = {
    "class": "classes",
    "tenant": "tenants",
    "model": "models",
    "engine": "engines",
    "service": "services",
    "replica": "replicas",
}


def read_bundle_source(path: Path) -> Bundle:
    """Return the bundle described by an INI file, with version 0.

    Raises ``BundleInvalid`` listing every error with its remedy.
    """
    problems = Problems()
    parser = read_ini(path, problems)
    limits: Limits | None = Limits()
    tables: dict[str, dict[str, Any]] = {table: {} for table in _TABLES.values()}
    for title in parser.sections():
        if title == "limits":
            limits = read_section(Limits, title, parser[title], problems)
            continue
        kind, _, name = title.partition(" ")
        if kind not in KINDS:
            kinds = ", ".join(f"[{known} NAME]" for known in KINDS)
            problems.add(f"[{title}]", "unknown section", f"use [limits], {kinds}")
            continue
        if not _NAME_PATTERN.match(name):
            problems.add(
                f"[{title}]", "invalid name", "use lower-case letters, digits, '.', '_' and '-'"
            )
        value = read_section(KINDS[kind], title, parser[title], problems)
        if value is not None:
            tables[_TABLES[kind]][name] = value
    if problems.lines:
        raise BundleInvalid(problems.text())
    assert limits is not None
    bundle = Bundle(0, 0, limits, previous_pools={}, **tables)
    _check_references(bundle, problems)
    if problems.lines:
        raise BundleInvalid(problems.text())
    return bundle


def _check_references(bundle: Bundle, problems: Problems) -> None:
    """Check the references between sections, and that tokens and agents are unique."""
    if not bundle.classes:
        problems.add("[class …]", "no request class", "add at least one, such as [class default]")
    hashes: dict[str, str] = {}
    for name, tenant in bundle.tenants.items():
        place = f"[tenant {name}] token_sha256"
        if not _SHA256_PATTERN.match(tenant.token_sha256):
            problems.add(
                place, "not a SHA-256 hash", "write the token's SHA-256 as 64 hexadecimal digits"
            )
        if tenant.token_sha256 in hashes:
            problems.add(
                place, f"same as {hashes[tenant.token_sha256]}'s", "give each tenant its own"
            )
        hashes[tenant.token_sha256] = name
        for used in tenant.classes:
            if used not in bundle.classes:
                problems.add(f"[tenant {name}] classes", f"no class {used}", f"add [class {used}]")
    agents: dict[str, str] = {}
    for name, engine in bundle.engines.items():
        if engine.model not in bundle.models:
            remedy = f"add [model {engine.model}]"
            problems.add(f"[engine {name}] model", f"no model {engine.model}", remedy)
        _check_agent_unique(f"[engine {name}] agent", name, engine.agent, agents, problems)
    for name, replica in bundle.replicas.items():
        if replica.service not in bundle.services:
            remedy = f"add [service {replica.service}]"
            problems.add(f"[replica {name}] service", f"no service {replica.service}", remedy)
        if name in bundle.engines:
            problems.add(f"[replica {name}]", "an engine has this name", "rename one of them")
        _check_agent_unique(f"[replica {name}] agent", name, replica.agent, agents, problems)
    _check_fixed_roles(bundle, problems)


def _check_agent_unique(
    place: str, name: str, agent: str, agents: dict[str, str], problems: Problems
) -> None:
    """Check that no two backends have the same agent address."""
    if agent in agents:
        problems.add(place, f"same as {agents[agent]}'s", "give each backend its own agent")
    agents[agent] = name


def _check_fixed_roles(bundle: Bundle, problems: Problems) -> None:
    """Check that each model has at least one fixed prefill and one fixed decode engine."""
    for model in bundle.models:
        roles = {engine.role for engine in bundle.engines.values() if engine.model == model}
        for role in (ROLE_PREFILL, ROLE_DECODE):
            if role not in roles:
                remedy = f"add an engine with role = {role}, so that the role always has one"
                problems.add(f"[model {model}]", f"no fixed {role} engine", remedy)
