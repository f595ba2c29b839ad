"""Loads the specifications that stand in docs/spec."""

import importlib.util
from pathlib import Path

FOLDER = Path(__file__).parents[1] / "docs" / "spec"


def load(name):
    """Return the module of a specification."""
    spec = importlib.util.spec_from_file_location(f"spec_{name}", FOLDER / f"{name}.py")
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module
