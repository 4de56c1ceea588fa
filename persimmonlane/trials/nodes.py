"""Nodes.

The nodes of a trial, and the requests that they take.
"""

import collections


class Request:
    """A caller's request.

    Attributes:
        number: Number of the request.
        organisation: Name of its organisation.
        service: Name of its service.
        idempotent: Whether it may run more than once.
        at: Time at which it came, in seconds of the trial.
        attempts: Its `RequestAttempts`, once admitted.
    """

    __slots__ = ("number", "organisation", "service", "idempotent", "at", "attempts")

    def __init__(self, number, organisation, service, idempotent, at):
        self.number = number
        self.organisation = organisation
        self.service = service
        self.idempotent = idempotent
        self.at = at
        self.attempts = None


class Desk:
    """What one node has for one service.

    Attributes:
        service: The `Service`.
        servers: Its backend servers that take new work.
        ejector: The ejector.
        balancer: The balancer.
        budget: The retry budget.
        idle: Times at which the idle connections were opened, by address.
    """

    __slots__ = ("service", "servers", "ejector", "balancer", "budget", "idle")

    def __init__(self, service, servers, ejector, balancer, budget):
        self.service = service
        self.servers = servers
        self.ejector = ejector
        self.balancer = balancer
        self.budget = budget
        self.idle = collections.defaultdict(list)


class Node:
    """One node of the trial.

    Attributes:
        name: Its name.
        data_centre: Name of its data centre.
        clock: Its clock.
        desks: A `Desk` for each service, by name.
        paused_until: Time at which its present pause ends.
    """

    __slots__ = (
        "name",
        "data_centre",
        "clock",
        "desks",
        "paused_until",
        "_schedule",
    )

    def __init__(self, name, data_centre, clock, schedule):
        self.name = name
        self.data_centre = data_centre
        self.clock = clock
        self.desks = {}
        self.paused_until = 0.0
        self._schedule = schedule

    def run(self, function, *arguments):
        """Call a function now, or once the pause is over."""
        left_s = self.paused_until - self._schedule.clock.seconds
        if left_s > 0:
            self._schedule.call_later(left_s, self.run, function, *arguments)
        else:
            function(*arguments)
