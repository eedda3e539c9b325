"""Reads a bundle's INI source and checks it as a whole."""

from __future__ import annotations

import re
from pathlib import Path
from typing import Any

from yokedock.base.options import Problems, read_ini, read_section
from yokedock.errors import BundleInvalid
from yokedock.version.bundle import KINDS, ROLE_DECODE, ROLE_PREFILL, Bundle, Limits

_NAME = re.compile(r"^[a-z0-9][a-z0-9._-]{0,63}$")
_SHA256 = re.compile(r"^[0-9a-f]{64}$")
_TABLES = {
    "class": "classes",
    "tenant": "tenants",
    "model": "models",
    "engine": "engines",
    "service": "services",
    "replica": "replicas",
}


def read_bundle_source(path: Path) -> Bundle:
    """Return the bundle that the INI file states, with version 0.

    Raises ``BundleInvalid`` with every error and its remedy.
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
        if not _NAME.match(name):
            problems.add(f"[{title}]", "bad name", "use small letters, digits, '.', '_' and '-'")
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
    """Check what one section says about another."""
    if not bundle.classes:
        problems.add("[class …]", "none stated", "add at least one, such as [class default]")
    hashes: dict[str, str] = {}
    for name, tenant in bundle.tenants.items():
        place = f"[tenant {name}] token_sha256"
        if not _SHA256.match(tenant.token_sha256):
            problems.add(place, "not a hash", "write the token's SHA-256, 64 hexadecimal digits")
        if tenant.token_sha256 in hashes:
            problems.add(place, f"same as {hashes[tenant.token_sha256]}'s", "give each its own")
        hashes[tenant.token_sha256] = name
        for used in tenant.classes:
            if used not in bundle.classes:
                problems.add(f"[tenant {name}] classes", f"no class {used}", f"add [class {used}]")
    agents: dict[str, str] = {}
    for name, engine in bundle.engines.items():
        if engine.model not in bundle.models:
            remedy = f"add [model {engine.model}]"
            problems.add(f"[engine {name}] model", f"no model {engine.model}", remedy)
        _check_agent(f"[engine {name}] agent", name, engine.agent, agents, problems)
    for name, replica in bundle.replicas.items():
        if replica.service not in bundle.services:
            remedy = f"add [service {replica.service}]"
            problems.add(f"[replica {name}] service", f"no service {replica.service}", remedy)
        if name in bundle.engines:
            problems.add(f"[replica {name}]", "an engine has this name", "rename one of them")
        _check_agent(f"[replica {name}] agent", name, replica.agent, agents, problems)
    _check_roles(bundle, problems)


def _check_agent(
    place: str, name: str, agent: str, agents: dict[str, str], problems: Problems
) -> None:
    """Check that no two back ends share an agent."""
    if agent in agents:
        problems.add(place, f"same as {agents[agent]}'s", "give each back end its own agent")
    agents[agent] = name


def _check_roles(bundle: Bundle, problems: Problems) -> None:
    """Check that each model has a fixed prefill and a fixed decode engine."""
    for model in bundle.models:
        roles = {engine.role for engine in bundle.engines.values() if engine.model == model}
        for role in (ROLE_PREFILL, ROLE_DECODE):
            if role not in roles:
                remedy = f"add an engine with role = {role}, so that the role never goes empty"
                problems.add(f"[model {model}]", f"no fixed {role} engine", remedy)
