"""Keys by which the operator evacuates data centres."""

EVACUATION_PREFIX = "op/evacuate/"


def build_evacuation_key(data_centre):
    """Return the key whose existence evacuates a data centre."""
    return EVACUATION_PREFIX + data_centre


def parse_data_centre(key):
    """Return the name of the data centre that a key evacuates, or None."""
    if not key.startswith(EVACUATION_PREFIX):
        return None
    return key[len(EVACUATION_PREFIX) :] or None
