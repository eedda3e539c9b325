"""Lint: whatever the deployed program can import, lazily too, is declared for the deployment.

Walks the imports from ``deploy/main.py``, those inside functions included. Each module must be of
the standard library, ours, or of a distribution that deploy/requirements.txt names in the very
version that the lock file has.
"""

import ast
import importlib.metadata
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
ENTRY = "deploy/main.py"


def imported(source):
    """Return the modules that a source text imports at run time, at any depth of nesting."""
    found = set()
    nodes = [ast.parse(source)]
    while nodes:
        node = nodes.pop()
        if isinstance(node, ast.If) and "TYPE_CHECKING" in ast.dump(node.test):
            nodes.extend(node.orelse)
            continue
        if isinstance(node, ast.Import):
            found.update(alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module:
            found.add(node.module)
            found.update(f"{node.module}.{alias.name}" for alias in node.names)
        nodes.extend(ast.iter_child_nodes(node))
    return found


def source_of(module, root):
    """Return the file of one of our modules, None if it is none."""
    base = root / "src" / Path(*module.split("."))
    for path in (base.with_suffix(".py"), base / "__init__.py"):
        if path.exists():
            return path
    return None


def foreign_imports(root):
    """Return {top-level module of a library: file that imports it} for the deployed program."""
    files, seen, foreign = [root / ENTRY], set(), {}
    while files:
        path = files.pop()
        if path in seen:
            continue
        seen.add(path)
        for module in imported(path.read_text()):
            own = source_of(module, root)
            top = module.partition(".")[0]
            if own is not None:
                files.append(own)
            elif top not in sys.stdlib_module_names and source_of(top, root) is None:
                foreign.setdefault(top, str(path.relative_to(root)))
    return foreign


def versions(path):
    """Return {normal name of a distribution: version} of a file of pinned requirements."""
    lines = path.read_text().splitlines()
    pairs = (line.partition("==") for line in lines if line and not line.startswith("#"))
    return {normal(name): version for name, _, version in pairs}


def normal(name):
    """Return a distribution's name as names are compared."""
    return name.lower().replace("_", "-").replace(".", "-")


def problems(root):
    """Return a line for everything that is missing or of another version."""
    declared = versions(root / "deploy" / "requirements.txt")
    locked = versions(root / "requirements.lock")
    owners = importlib.metadata.packages_distributions()
    found = []
    for module, path in sorted(foreign_imports(root).items()):
        names = {normal(name) for name in owners.get(module, [module])}
        if not names & declared.keys():
            found.append(f"{path} imports {module}; add it to deploy/requirements.txt")
    for name, version in sorted(declared.items()):
        if locked.get(name) != version:
            found.append(f"{name} is {version} when deployed and {locked.get(name)} in tests")
    return found


def main():
    """Print what is wrong; return the exit status."""
    found = problems(ROOT)
    print("\n".join(found) or "the deployed program imports only what is declared for it")
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main())
