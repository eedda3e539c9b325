"""Lint: imports between the packages of yokedock point one way, and modules form no circle."""

import ast
import sys
from pathlib import Path

SOURCE = Path(__file__).resolve().parent.parent / "src" / "yokedock"
ORDER = ("base", "version", "connection", "request", "process", "platform")
"""A package may import those before it."""


def imported(path):
    """Yield the modules of yokedock that a file imports, under TYPE_CHECKING too."""
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom) and (node.module or "").startswith("yokedock."):
            yield node.module
        elif isinstance(node, ast.Import):
            yield from (a.name for a in node.names if a.name.startswith("yokedock."))


def module_of(path):
    """Return the dotted name of a file."""
    return "yokedock." + ".".join(path.relative_to(SOURCE).with_suffix("").parts)


def find_circle(edges):
    """Return a circle of modules, None if there is none."""
    state = {}

    def visit(module, trail):
        state[module] = "open"
        for target in edges.get(module, ()):
            if state.get(target) == "open":
                return [*trail[trail.index(target) :], target]
            if target not in state:
                found = visit(target, [*trail, target])
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
    """Print what points the wrong way; return the exit status."""
    edges = {module_of(path): sorted(set(imported(path))) for path in SOURCE.rglob("*.py")}
    wrong = []
    for module, targets in edges.items():
        package = module.split(".")[1]
        if package not in ORDER:
            continue
        for target in targets:
            other = target.split(".")[1]
            if other in ORDER and ORDER.index(other) > ORDER.index(package):
                wrong.append(f"{module} imports {target}")
    circle = find_circle(edges)
    if circle:
        wrong.append("circle: " + " -> ".join(circle))
    print("\n".join(wrong) or f"{len(edges)} modules: imports point one way")
    return 1 if wrong else 0


if __name__ == "__main__":
    sys.exit(main())
