"""Distances between data centres.

A region holds data centres that are close to each other. Links between regions are
longer, narrower and dearer than those within one.
"""

import enum


class Locality(enum.IntEnum):
    """How far another data centre is from this node's one; nearer ones are smaller."""

    DATA_CENTRE = 0
    REGION = 1
    ELSEWHERE = 2


class RegionMap:
    """The regions of the data centres, seen from one of these.

    Attributes:
        data_centre: Name of this node's data centre.
        region: Name of its region, empty if it is not known.
    """

    __slots__ = ("data_centre", "region", "_regions")

    def __init__(self, data_centre, regions):
        """Create the map.

        Args:
            data_centre: Name of this node's data centre.
            regions: Dict of the names of the regions by data centre.
        """
        self.data_centre = data_centre
        self.region = regions.get(data_centre, "")
        self._regions = dict(regions)

    def find_region(self, data_centre):
        """Return the name of a data centre's region, empty if it is not known."""
        return self._regions.get(data_centre, "")

    def locate(self, data_centre):
        """Return the `Locality` of a data centre.

        Without settings on regions, all data centres are in one.
        """
        if data_centre == self.data_centre:
            return Locality.DATA_CENTRE
        if self.find_region(data_centre) == self.region:
            return Locality.REGION
        return Locality.ELSEWHERE

    def list_regions(self):
        """Return the names of all regions in sorted order."""
        return sorted(set(self._regions.values()))

    def list_unknown(self, names):
        """Return those of some names of regions that are not known, in their order."""
        known = set(self._regions.values())
        return [name for name in names if name not in known]

    def spans_regions(self):
        """Return whether the fleet is in more than one region."""
        return len(set(self._regions.values())) > 1
