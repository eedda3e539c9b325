"""Lint: packages of yokedock import only from lower layers, and no modules import in a cycle."""

import ast
import sys
from pathlib import Path

SOURCE = Path(__file__).resolve().parent.parent / "src" / "yokedock"
LAYERS = ("base", "version", "connection", "request", "process", "platform")
"""Packages from the lowest layer to the highest; each may import itself and those before it."""


def imported_modules(path):
    """Yield the yokedock modules that a file imports, including those under TYPE_CHECKING."""
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom) and (node.module or "").startswith("yokedock."):
            yield node.module
        elif isinstance(node, ast.Import):
            yield from (a.name for a in node.names if a.name.startswith("yokedock."))


def module_of(path):
    """Return the dotted module name of a file."""
    return "yokedock." + ".".join(path.relative_to(SOURCE).with_suffix("").parts)


def find_import_cycle(edges):
    """Return the modules of an import cycle, None if there is none."""
    state = {}

    def visit(module, path):
        state[module] = "open"
        for target in edges.get(module, ()):
            if state.get(target) == "open":
                return [*path[path.index(target) :], target]
            if target not in state:
                found = visit(target, [*path, target])
                if found:
                    return found
        state[module] = "done"
        return None

    for module in edges:
        if module not in state:
            found = visit(module, [module])
            if found:
                return found
    return None


def main():
    """Print imports from higher layers and an import cycle, if any; return the exit status."""
    edges = {module_of(path): sorted(set(imported_modules(path))) for path in SOURCE.rglob("*.py")}
    violations = []
    for module, targets in edges.items():
        package = module.split(".")[1]
        if package not in LAYERS:
            continue
        for target in targets:
            target_package = target.split(".")[1]
            if target_package in LAYERS and LAYERS.index(target_package) > LAYERS.index(package):
                violations.append(f"{module} imports {target}")
    cycle = find_import_cycle(edges)
    if cycle:
        violations.append("import cycle: " + " -> ".join(cycle))
    print("\n".join(violations) or f"{len(edges)} modules: layers respected, no import cycles")
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())
