"""The router as the users' platform builds and runs it: the deploy file, in a scratch folder.

Nothing of a development environment is visible to the program: only its sources and the libraries
that the deploy file's own build line has installed.
"""

from __future__ import annotations

import json
import os
import re
import shutil
import subprocess
import tomllib
from pathlib import Path
from typing import Any

from yokedock.platform.settings_variable import SETTINGS_VARIABLE

DEPLOY_FILE = Path("deploy/system.toml")
BUILD_LIMIT_S = 900.0
"""The platform's own limit for a build."""
PASSED_ON = ("HOME", "LANG")
GAP = re.compile(r"\{\{([\w.]+)\}\}")


class DeployedRouter:
    """One router process; ``build`` once, then ``start`` as often as wanted."""

    def __init__(self, repository: Path, folder: Path) -> None:
        """Take the sources of ``repository``; everything is built below ``folder``."""
        self._folder = folder
        for name in ("src", "deploy"):
            shutil.copytree(
                repository / name, folder / name, ignore=shutil.ignore_patterns("__pycache__")
            )
        deploy = tomllib.loads((folder / DEPLOY_FILE).read_text())
        self._build_line: str = deploy["build"]
        role = deploy["roles"]["router"]
        self._run_line: str = role["run"]
        self._template = folder / role["template"]
        self._variables: dict[str, str] = role.get("env", {})

    def build(self) -> None:
        """Run the deploy file's build line; raises ``CalledProcessError`` if it fails."""
        subprocess.run(
            self._build_line,
            shell=True,
            check=True,
            cwd=self._folder,
            env=_environment(),
            timeout=BUILD_LIMIT_S,
        )

    def start(self, fields: dict[str, Any], output: int) -> subprocess.Popen[bytes]:
        """Start the program with the template filled from ``fields``.

        Its logs go to the descriptor ``output``.
        """
        settings = self._folder / f"{fields['nodeName']}.ini"
        settings.write_text(fill(self._template.read_text(), fields))
        environment = _environment()
        environment["PYTHONPATH"] = str(self._folder / "target" / "deps")
        environment[SETTINGS_VARIABLE] = str(settings)
        environment |= {name: fill(text, fields) for name, text in self._variables.items()}
        return subprocess.Popen(
            self._run_line.split(" "), cwd=self._folder, env=environment, stdout=output
        )


def fill(template: str, fields: dict[str, Any]) -> str:
    """Return the template with each gap ``{{a.b.0}}`` replaced by the field it names."""
    return GAP.sub(lambda gap: _text(_field(fields, gap[1])), template)


def _field(fields: Any, path: str) -> Any:
    for name in path.split("."):
        fields = fields[int(name)] if isinstance(fields, list) else fields[name]
    return fields


def _text(value: Any) -> str:
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, list):
        return ",".join(_text(item) for item in value)
    if isinstance(value, dict):
        return json.dumps(value)
    return str(value)


def _environment() -> dict[str, str]:
    """Return the caller's environment without any development environment."""
    own = os.environ.get("VIRTUAL_ENV", "")
    folders = os.environ["PATH"].split(os.pathsep)
    path = [folder for folder in folders if ".venv" not in folder and folder != f"{own}/bin"]
    kept = {name: os.environ[name] for name in PASSED_ON if name in os.environ}
    return {**kept, "PATH": os.pathsep.join(path)}
