"""Declares and parses options of INI files: each field holds its type, default and help.

A section is a frozen dataclass whose fields are declared with ``option``. ``read_section`` converts
INI text to the dataclass and collects all errors with their remedies instead of stopping at the
first.
"""

from __future__ import annotations

import configparser
import dataclasses
import re
from collections.abc import Callable, Collection, Mapping
from pathlib import Path
from typing import Any, TypeVar

Section = TypeVar("Section")
_MISSING = dataclasses.MISSING
_TRUE_WORDS = frozenset({"yes", "true", "on", "1"})
_FALSE_WORDS = frozenset({"no", "false", "off", "0"})
_PORT = re.compile(r"[0-9]{1,5}")


@dataclasses.dataclass(frozen=True)
class OptionSpec:
    """Metadata of one option: its help text and validator."""

    help: str
    check: Callable[[Any], str | None] | None


def option(
    help: str, default: Any = _MISSING, check: Callable[[Any], str | None] | None = None
) -> Any:
    """Declare an option. ``check`` returns a remedy if the value is invalid, otherwise None."""
    metadata = {"spec": OptionSpec(help, check)}
    if default is _MISSING:
        return dataclasses.field(metadata=metadata)
    return dataclasses.field(default=default, metadata=metadata)


def one_of(*allowed: str) -> Callable[[Any], str | None]:
    """Return a check that the value is one of ``allowed``."""

    def check(value: Any) -> str | None:
        return None if value in allowed else f"write one of: {', '.join(allowed)}"

    return check


def between(lowest: float, highest: float) -> Callable[[Any], str | None]:
    """Return a check that a number is from ``lowest`` to ``highest``, both included."""

    def check(value: Any) -> str | None:
        return None if lowest <= value <= highest else f"write a number from {lowest} to {highest}"

    return check


def address(value: Any) -> str | None:
    """Check that the value has the form of an IP address and a port."""
    host, _, port = str(value).rpartition(":")
    if not host or _PORT.fullmatch(port) is None or int(port) > 65535:
        return "write an IP address and a port, such as 127.0.0.1:7070"
    return None


def addresses(values: Any) -> str | None:
    """Check that each value has the form of an IP address and a port."""
    remedies = [address(value) for value in values]
    return next((remedy for remedy in remedies if remedy is not None), None)


class Problems:
    """Collects the errors found in a file, each with its location and a remedy."""

    def __init__(self) -> None:
        """Create an empty list of problems."""
        self.lines: list[str] = []

    def add(self, place: str, problem: str, remedy: str) -> None:
        """Add a problem found at ``place`` (section and option)."""
        self.lines.append(f"{place}: {problem}; {remedy}")

    def text(self) -> str:
        """Return all problems, one per line."""
        return "\n".join(self.lines)


def read_ini(path: Path, problems: Problems) -> configparser.ConfigParser:
    """Parse an INI file; a failure to read or parse it is added to ``problems``."""
    parser = configparser.ConfigParser(interpolation=None, strict=True)
    try:
        parser.read_string(path.read_text(encoding="utf-8"), source=str(path))
    except OSError as error:
        problems.add(
            str(path), error.strerror or "cannot be read", "give the path of a readable file"
        )
    except (configparser.Error, UnicodeDecodeError) as error:
        problems.add(str(path), " ".join(str(error).split()), "correct the INI syntax there")
    return parser


def read_sections(
    path: Path,
    kinds: Mapping[str, type[Any]],
    optional: Collection[str],
    example: str,
    problems: Problems,
) -> dict[str, Any]:
    """Read an INI file whose sections are named in ``kinds``; one with errors is None.

    A missing section that is ``optional`` has its defaults; ``example`` is a file to look at. If
    the file cannot be read or parsed, the result is empty.
    """
    parser = read_ini(path, problems)
    if problems.lines:
        return {}
    for title in parser.sections():
        if title not in kinds:
            remedy = f"use {', '.join(f'[{name}]' for name in kinds)}"
            problems.add(f"[{title}]", "unknown section", remedy)
    sections: dict[str, Any] = {}
    for name, kind in kinds.items():
        if name not in parser and name not in optional:
            problems.add(f"[{name}]", "missing section", f"add it; see {example}")
            continue
        values = parser[name] if parser.has_section(name) else {}
        sections[name] = read_section(kind, name, values, problems)
    return sections


def read_section(
    kind: type[Section], name: str, values: Mapping[str, str], problems: Problems
) -> Section | None:
    """Convert the text values of section ``name`` to ``kind``; None if any of them is invalid."""
    before = len(problems.lines)
    fields = {field.name: field for field in dataclasses.fields(kind)}  # type: ignore[arg-type]
    for unknown in sorted(set(values) - set(fields)):
        problems.add(f"[{name}] {unknown}", "unknown option", f"use one of: {', '.join(fields)}")
    arguments: dict[str, Any] = {}
    for field in fields.values():
        place = f"[{name}] {field.name}"
        spec: OptionSpec = field.metadata["spec"]
        if field.name not in values:
            if field.default is _MISSING:
                problems.add(place, "missing", f"add it: {spec.help}")
            continue
        value = _convert(field.type, values[field.name].strip(), place, problems)
        if value is None:
            continue
        remedy = spec.check(value) if spec.check else None
        if remedy:
            problems.add(place, f"cannot be {values[field.name]!r}", remedy)
        arguments[field.name] = value
    if len(problems.lines) > before:
        return None
    return kind(**arguments)


def _convert(kind: Any, text: str, place: str, problems: Problems) -> Any:
    """Convert text to the option's declared type; None if it is not valid for that type."""
    name = kind if isinstance(kind, str) else kind.__name__
    try:
        if name == "bool":
            if text.lower() in _TRUE_WORDS | _FALSE_WORDS:
                return text.lower() in _TRUE_WORDS
            raise ValueError
        if name == "int":
            return int(text)
        if name == "float":
            return float(text)
        if name == "Path":
            return Path(text)
        if name.startswith("tuple"):
            return tuple(part.strip() for part in text.split(",") if part.strip())
        return text
    except ValueError:
        remedies = {"bool": "write yes or no", "int": "write a whole number"}
        problems.add(place, f"cannot be {text!r}", remedies.get(name, "write a number"))
        return None
