"""Variants.

Says which registry holds the variants that a field of the document may name.
"""

import importlib

REGISTRIES = {
    "balancing": ("persimmonlane.balancing.policies", "balancers"),
    "detector": ("persimmonlane.ejection.detectors", "registry"),
}


def find_registry(field):
    """Return the registry for a field's variants."""
    # Those slices import the model, so that they can't be imported at the top.
    module_name, attribute = REGISTRIES[field]
    return getattr(importlib.import_module(module_name), attribute)
