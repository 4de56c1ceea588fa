"""Events.

What an ejector did, for logs and measures.
"""


class Event:
    """Base of the events of one backend server.

    Attributes:
        address: Address of the backend server.
        at: Monotonic seconds.
        symptom: Name of the symptom that led to it, empty where there is none.
    """

    __slots__ = ("address", "at", "symptom")
    name = "event"

    def __init__(self, address, at, symptom=""):
        self.address = address
        self.at = at
        self.symptom = symptom


class Suspected(Event):
    """This node sends the server less work; other nodes are not concerned."""

    __slots__ = ()
    name = "suspected"


class Cleared(Event):
    """The suspicion of this node has gone."""

    __slots__ = ()
    name = "cleared"


class Ejected(Event):
    """The server gets no work.

    Attributes:
        until: Monotonic seconds at which probing begins.
    """

    __slots__ = ("until",)
    name = "ejected"

    def __init__(self, address, at, symptom, until):
        super().__init__(address, at, symptom)
        self.until = until


class Spared(Event):
    """The server would have been ejected but for the floor."""

    __slots__ = ()
    name = "spared"


class TrialBegan(Event):
    """Probes succeeded and idempotent requests trickle in."""

    __slots__ = ()
    name = "trial"


class Returned(Event):
    """The server is back in service."""

    __slots__ = ()
    name = "returned"
