"""The pinned packages are those that the project needs."""

import ast
import importlib.metadata
import re
from pathlib import Path

ROOT = Path(__file__).parent.parent
SOURCES = ("packages", "platform", "tests", "bench", "docs/spec")
PROGRAMS = {"ruff", "pytest-xdist"}  # used by the Makefile


def normalized(name: str) -> str:
    return re.sub(r"[-_.]+", "-", name).lower()


def pinned_packages() -> set[str]:
    lines = (ROOT / "requirements.txt").read_text().splitlines()
    return {normalized(line.partition("==")[0]) for line in lines}


def imported_packages() -> set[str]:
    modules = set()
    for folder in SOURCES:
        for path in (ROOT / folder).rglob("*.py"):
            for node in ast.walk(ast.parse(path.read_text())):
                if isinstance(node, ast.Import):
                    modules |= {item.name.partition(".")[0] for item in node.names}
                elif isinstance(node, ast.ImportFrom) and not node.level:
                    modules.add(node.module.partition(".")[0])
    packages = importlib.metadata.packages_distributions()
    return {normalized(name) for module in modules for name in packages.get(module, ())}


def required_by(name: str) -> set[str]:
    requirements = importlib.metadata.requires(name) or ()
    return {
        normalized(re.match(r"[\w.-]+", item)[0])
        for item in requirements
        if "extra ==" not in item
    }


# Guards against a set-up that fails for a package that nothing uses.
def test_each_pinned_package_is_imported_or_required_by_one_that_is():
    pinned = pinned_packages()
    needed = set()
    found = (imported_packages() | PROGRAMS) & pinned
    while found:
        needed |= found
        found = set().union(*map(required_by, found)) & pinned - needed
    assert pinned - needed == set()
