"""Options of INI files, declared once: type, default and help stand on the field.

A section is a frozen dataclass whose fields are made by ``option``. ``read_section`` turns INI
text into the dataclass and collects every error with its remedy instead of stopping at the first.
"""

from __future__ import annotations

import configparser
import dataclasses
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any, TypeVar

Section = TypeVar("Section")
_MISSING = dataclasses.MISSING
_TRUE = frozenset({"yes", "true", "on", "1"})
_FALSE = frozenset({"no", "false", "off", "0"})


@dataclasses.dataclass(frozen=True)
class OptionSpec:
    """What is declared about one option: its help and its check."""

    help: str
    check: Callable[[Any], str | None] | None


def option(
    help: str, default: Any = _MISSING, check: Callable[[Any], str | None] | None = None
) -> Any:
    """Declare an option. ``check`` returns the remedy when the value is wrong, else None."""
    metadata = {"spec": OptionSpec(help, check)}
    if default is _MISSING:
        return dataclasses.field(metadata=metadata)
    return dataclasses.field(default=default, metadata=metadata)


def one_of(*allowed: str) -> Callable[[Any], str | None]:
    """Check that the value is one of ``allowed``."""

    def check(value: Any) -> str | None:
        return None if value in allowed else f"write one of: {', '.join(allowed)}"

    return check


def between(lowest: float, highest: float) -> Callable[[Any], str | None]:
    """Check that a number lies in a closed interval."""

    def check(value: Any) -> str | None:
        return None if lowest <= value <= highest else f"write a number from {lowest} to {highest}"

    return check


def address(value: Any) -> str | None:
    """Check that the value is an IP address and a port."""
    host, _, port = str(value).rpartition(":")
    if not host or not port.isdigit() or int(port) > 65535:
        return "write an IP number and a port, such as 127.0.0.1:7070"
    return None


class Problems:
    """All errors found in a file, each with the place and the remedy."""

    def __init__(self) -> None:
        """Start with no problem."""
        self.lines: list[str] = []

    def add(self, place: str, problem: str, remedy: str) -> None:
        """Note one problem at ``place`` (section and option)."""
        self.lines.append(f"{place}: {problem}; {remedy}")

    def text(self) -> str:
        """Return all problems, one a line."""
        return "\n".join(self.lines)


def read_ini(path: Path, problems: Problems) -> configparser.ConfigParser:
    """Read an INI file; a file that cannot be read or parsed is noted as a problem."""
    parser = configparser.ConfigParser(interpolation=None, strict=True)
    try:
        parser.read_string(path.read_text(encoding="utf-8"), source=str(path))
    except OSError as error:
        problems.add(str(path), error.strerror or "cannot be read", "name a readable file")
    except (configparser.Error, UnicodeDecodeError) as error:
        problems.add(str(path), " ".join(str(error).split()), "mend the INI syntax there")
    return parser


def read_section(
    kind: type[Section], name: str, values: Mapping[str, str], problems: Problems
) -> Section | None:
    """Turn the text values of section ``name`` into ``kind``; None when anything was wrong."""
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
    """Turn text into the declared type of the option; None when it is not of that type."""
    name = kind if isinstance(kind, str) else kind.__name__
    try:
        if name == "bool":
            if text.lower() in _TRUE | _FALSE:
                return text.lower() in _TRUE
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
