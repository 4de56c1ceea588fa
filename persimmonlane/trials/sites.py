"""Sites.

The sizes of the users' sites, and documents for them.
"""

import msgspec

from ..config.model import (
    DetectionPolicy,
    Document,
    FleetPolicy,
    Objectives,
    Organisation,
    Service,
)
from ..membership.servers import BackendServer
from ..registries import Registry
from ..traces.examples import SALT, describe_example_key

sites = Registry("site")

SLOTS = 4
DETECTOR = DetectionPolicy().detector
BALANCING = Service(name="default").balancing
LARGE_SHARE = 0.6


class Load(msgspec.Struct, frozen=True):
    """What one organisation sends to the whole fleet.

    Attributes:
        organisation: Its name.
        rate: Requests per second that it sends.
    """

    organisation: str
    rate: float


class Site:
    """Base of the sites.

    Attributes:
        data_centres: Names of the data centres.
        delay_s: One-way delay between data centres, in seconds.
        client_delay_s: One-way delay from callers, in seconds.
        services: Names of services and their numbers of backend servers.
        headroom: Rates of the document as a multiple of the loads; the burst is
            one second of the rate.
        false_ejection_days: Wanted mean time between false ejections.
        latency_ms: Latency objective.
    """

    name = ""
    aliases = ()
    data_centres = ()
    delay_s = 0.005
    client_delay_s = 0.0
    services = ()
    organisations = 8
    large = 3
    requests_per_s = 900.0
    headroom = 1.5
    false_ejection_days = 30.0
    latency_ms = 250

    def list_loads(self):
        """Return the `Load` of each organisation; a few are large."""
        small = self.organisations - self.large
        rates = [self.requests_per_s * LARGE_SHARE / self.large] * self.large
        rates += [self.requests_per_s * (1 - LARGE_SHARE) / small] * small
        return [Load(f"organisation-{n}", rate) for n, rate in enumerate(rates)]

    def build_document(self, detector=DETECTOR, balancing=BALANCING):
        """Return a document whose rates leave room above the loads."""
        detection = DetectionPolicy(
            detector=detector, false_ejection_days=self.false_ejection_days
        )
        return Document(
            fleet=FleetPolicy(key_salt=SALT),
            services=tuple(
                Service(
                    name=name,
                    slots=SLOTS,
                    balancing=balancing,
                    detection=detection,
                    response_timeout_ms=1000,
                    objectives=Objectives(latency_ms=self.latency_ms),
                )
                for name, _ in self.services
            ),
            organisations=tuple(
                Organisation(
                    name=load.organisation,
                    rate=load.rate * self.headroom,
                    burst=load.rate * self.headroom,
                    keys=(describe_example_key(number),),
                )
                for number, load in enumerate(self.list_loads())
            ),
        )

    def list_servers(self):
        """Return the backend servers, spread over the data centres."""
        servers = []
        for index, (service, count) in enumerate(self.services):
            for number in range(count):
                data_centre = self.data_centres[number % len(self.data_centres)]
                address = f"10.0.{index}.{number + 1}:80"
                servers.append(
                    BackendServer(address, service, data_centre, SLOTS, since=-1e6)
                )
        return servers


@sites.register
class Cooperativa(Site):
    """Three data centres in uy-sur."""

    name = "cooperativa"
    data_centres = ("uy-sur-a", "uy-sur-b", "uy-sur-c")
    delay_s = 0.005
    client_delay_s = 0.008
    services = (("baskets", 10), ("submissions", 15), ("photos", 6))
    false_ejection_days = 10.0


@sites.register
class Agence(Site):
    """Three data centres in be-central."""

    name = "agence"
    data_centres = ("be-central-a", "be-central-b", "be-central-c")
    delay_s = 0.004
    client_delay_s = 0.001
    services = (("status", 10), ("declarations", 15), ("certificates", 6))
    false_ejection_days = 100.0
