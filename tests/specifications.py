"""Loads the specifications in docs/spec as modules."""

import importlib.util
from pathlib import Path

SPEC_DIR = Path(__file__).parents[1] / "docs" / "spec"


def load_specification(name):
    """Return the module of the specification with the given name."""
    spec = importlib.util.spec_from_file_location(
        f"spec_{name}", SPEC_DIR / f"{name}.py"
    )
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module
