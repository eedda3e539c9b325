"""Lint: every library that the deployed program can import is declared for the deployment.

Follows all imports from the entry points in ``deploy``, including those inside functions. Each
module must belong to the standard library, to this repository, or to a distribution that
deploy/requirements.txt lists with the same version as requirements.lock.
"""

import ast
import importlib.metadata
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
ENTRY_POINTS = ("deploy/main.py", "deploy/origin_store.py")


def imported_modules(source):
    """Return the modules that a source text imports at run time, at any nesting depth."""
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


def find_source(module, root):
    """Return the source file of a module of this repository, None for any other module."""
    base = root / "src" / Path(*module.split("."))
    for path in (base.with_suffix(".py"), base / "__init__.py"):
        if path.exists():
            return path
    return None


def third_party_imports(root):
    """Return {top-level module: importing file} for the third-party imports of the program."""
    files, seen, third_party = [root / path for path in ENTRY_POINTS], set(), {}
    while files:
        path = files.pop()
        if path in seen:
            continue
        seen.add(path)
        for module in imported_modules(path.read_text()):
            source = find_source(module, root)
            top = module.partition(".")[0]
            if source is not None:
                files.append(source)
            elif top not in sys.stdlib_module_names and find_source(top, root) is None:
                third_party.setdefault(top, str(path.relative_to(root)))
    return third_party


def pinned_versions(path):
    """Return {normalized distribution name: version} for a file of pinned requirements."""
    lines = path.read_text().splitlines()
    pairs = (line.partition("==") for line in lines if line and not line.startswith("#"))
    return {normalize_name(name): version for name, _, version in pairs}


def normalize_name(name):
    """Return a distribution name in the form used for comparison."""
    return name.lower().replace("_", "-").replace(".", "-")


def problems(root):
    """Return one line for each undeclared library and each version mismatch."""
    declared = pinned_versions(root / "deploy" / "requirements.txt")
    locked = pinned_versions(root / "requirements.lock")
    distributions = importlib.metadata.packages_distributions()
    found = []
    for module, path in sorted(third_party_imports(root).items()):
        names = {normalize_name(name) for name in distributions.get(module, [module])}
        if not names & declared.keys():
            found.append(f"{path} imports {module}; add it to deploy/requirements.txt")
    for name, version in sorted(declared.items()):
        if locked.get(name) != version:
            found.append(f"{name} is {version} when deployed but {locked.get(name)} when tested")
    return found


def main():
    """Print all problems; return the exit status."""
    found = problems(ROOT)
    print(
        "\n".join(found)
        or "all libraries of the deployed program are declared with the locked versions"
    )
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main())
