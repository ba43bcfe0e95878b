"""The registry of experiments: each module here defines an ``EXPERIMENT``."""

import importlib
import pkgutil

from bench.experiment import Experiment
from cicadawheel.errors import UserError


def experiment_names() -> list[str]:
    """Return the names of all experiments."""
    return sorted(module.name for module in pkgutil.iter_modules(__path__))


def find_experiment(name: str) -> Experiment:
    """Return the experiment with this name.

    Raises
    ------
    UserError
        There is no experiment with this name.
    """
    if name not in experiment_names():
        known = ", ".join(experiment_names())
        raise UserError(f"no experiment {name}; known experiments: {known}")
    return importlib.import_module(f"{__name__}.{name}").EXPERIMENT
