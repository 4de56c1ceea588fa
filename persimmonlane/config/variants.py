"""Variants.

Says which registry holds the variants that a field of the document may name.
"""

import importlib
import importlib.util

REGISTRIES = {
    "balancing": ("persimmonlane.balancing.policies", "balancers"),
    "detector": ("persimmonlane.ejection.detectors", "registry"),
}


def find_registry(field):
    """Return the registry for a field's variants, or None if it isn't installed."""
    module_name, attribute = REGISTRIES[field]
    if importlib.util.find_spec(module_name) is None:
        return None
    return getattr(importlib.import_module(module_name), attribute)
