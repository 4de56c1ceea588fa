"""Evidence pool.

Adds up the evidence of several nodes on one symptom of one backend server.
"""

from .evidence import RISE_WINDOWS

STALE_WINDOWS = 40
ROUND_WINDOWS = 8
WINDOW_BITS = 32
WINDOW_MASK = (1 << WINDOW_BITS) - 1
CEILING = 1.02


class WindowMask:
    """The windows with bad evidence in the present rise of a sum.

    Attributes:
        count: Weight of the windows, less what good evidence outweighs.
        index: Last window that was added.
    """

    __slots__ = ("count", "index", "_traits", "_bits")

    def __init__(self, traits):
        """Begin without windows.

        Args:
            traits: `SymptomTraits` of the symptom.
        """
        self._traits = traits
        self.count = 0.0
        self._bits = 0
        self.index = 0

    def add(self, bits, index):
        """Add windows; the lowest bit stands for window `index`."""
        known = self.read(index)
        fresh = bits & ~known
        self._bits = known | fresh
        self.index = index
        self.count += self.weigh(self._bits) - self.weigh(known)

    def weigh(self, bits):
        """Return the weight of some windows and their unbroken rows."""
        rows = bits & ~(bits << 1)
        return bits.bit_count() + self._traits.row_weight * rows.bit_count()

    def read(self, index):
        """Return the windows as bits whose lowest stands for window `index`."""
        shift = min(index - self.index, WINDOW_BITS)
        return (self._bits << shift) & WINDOW_MASK

    def outweigh(self, change):
        """Let good evidence, a negative change of the sum, count against windows."""
        self.count = max(0.0, self.count + change / self._traits.outweighing_nats)

    def copy(self):
        """Return an equal mask of its own."""
        other = WindowMask(self._traits)
        other.count = self.count
        other._bits = self._bits
        other.index = self.index
        return other

    def clear(self):
        """Forget all windows."""
        self.count = 0.0
        self._bits = 0


def measure_span(bits):
    """Return the number of windows from the first to the last of some."""
    return (bits // (bits & -bits)).bit_length() if bits else 0


class Arrival:
    """The last evidence of one other node.

    Attributes:
        index: Window of its arrival.
        evidence: The `SymptomEvidence`.
    """

    __slots__ = ("index", "evidence")

    def __init__(self, index, evidence):
        self.index = index
        self.evidence = evidence


class PooledSum:
    """Evidence of this and other nodes of one symptom of one backend server.

    A running sum is kept with its least value. Other nodes report once per round,
    so that the sum is whole only at the ends of rounds; what it has risen above
    its least value there is the pooled CUSUM.

    Attributes:
        mask: `WindowMask` of the present rise.
    """

    __slots__ = ("mask", "_sum", "_least", "_arrivals", "_closed")

    def __init__(self, score, mask):
        """Begin from what this node alone has seen.

        Args:
            score: CUSUM of this node.
            mask: `WindowMask` of this node, which is copied.
        """
        self.mask = mask.copy()
        self._sum = score
        self._least = 0.0
        self._arrivals = {}
        self._closed = 0

    @property
    def score(self):
        """The pooled CUSUM."""
        return self._sum - self._least

    def add(self, change, good, index, threshold):
        """Add this node's evidence of one window; see `SymptomTrack.add`."""
        self._sum += change
        if change > 0.0:
            self.mask.add(1, index)
        elif good:
            self.mask.outweigh(change)
        if index - self._closed >= ROUND_WINDOWS:
            self._close_round(index)
        self._limit(threshold)

    def merge(self, node, evidence, index, threshold):
        """Add what another node's cumulative sum has risen by."""
        last = self._arrivals.get(node)
        if last is None or index - last.index > STALE_WINDOWS:
            change = evidence.rises[self._choose_rise(evidence, index)]
        else:
            change = evidence.total - last.evidence.total
        self._arrivals[node] = Arrival(index, evidence)
        self._sum += change
        self.mask.add(evidence.windows, index)
        if change < 0.0:
            self.mask.outweigh(change)
        self._limit(threshold)

    def take_back(self, amount):
        """Take back evidence of this node."""
        self._sum -= amount

    def is_corroborated(self, own, score, windows, span, index):
        """Return whether the nodes other than the worst agree.

        The worst one may have a bad path of its own.

        Args:
            own: `SymptomEvidence` of this node.
            score: Sum of CUSUMs that the others must hold.
            windows: Weight of the bad windows that they must have seen.
            span: Windows from the first to the last of these.
            index: Present window.
        """
        views = [Arrival(index, own)]
        for arrival in self._arrivals.values():
            if index - arrival.index <= STALE_WINDOWS:
                views.append(arrival)
        views.sort(key=lambda view: view.evidence.score)
        seen, total = 0, 0.0
        for view in views[:-1]:
            seen |= view.evidence.windows << (index - view.index)
            total += view.evidence.score
        seen &= WINDOW_MASK
        enough = total >= score and self.mask.weigh(seen) >= windows
        return enough and measure_span(seen) >= span

    def forget(self, node):
        """Forget the evidence of a node whose sums began anew."""
        self._arrivals.pop(node, None)

    def has_reports(self):
        """Return whether another node reported lately."""
        return bool(self._arrivals)

    def reset(self):
        """Begin a new rise from the present sum."""
        self._least = self._sum
        self.mask.clear()

    def _close_round(self, index):
        self._closed = index
        if self._sum <= self._least:
            self.reset()
        arrivals = self._arrivals
        if arrivals:
            self._arrivals = {
                node: arrival
                for node, arrival in arrivals.items()
                if index - arrival.index <= STALE_WINDOWS
            }

    def _limit(self, threshold):
        self._least = max(self._least, self._sum - CEILING * threshold)

    def _choose_rise(self, evidence, index):
        windows = self.mask.read(index) | evidence.windows
        length = windows.bit_length()
        for place, limit in enumerate(RISE_WINDOWS):
            if length <= limit:
                return place
        return len(RISE_WINDOWS) - 1
