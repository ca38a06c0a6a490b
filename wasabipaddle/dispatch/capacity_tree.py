"""Search tree over the free capacity and the scores of runners."""

__all__ = ["CapacityTree"]

NOTHING = float("-inf")
ROOT = 1


class CapacityTree:
    """Binary tree whose nodes hold the largest score and free capacities below them.

    A leaf is called a slot. An update and a typical search visit a number of nodes that
    grows with the logarithm of the number of slots.

    Parameters
    ----------
    slots : int
        Number of slots; all are empty at first.

    Attributes
    ----------
    size : int
        Number of leaves, a power of two; slot `i` is node `size + i`.
    score, cpu, memory_mb, gpus : list of float
        Largest values below each node, minus infinity without a filled slot.
    first : list of int
        Lowest slot below each node.
    """

    def __init__(self, *, slots):
        self.size = 1 << max(slots - 1, 0).bit_length()
        self.score = [NOTHING] * (2 * self.size)
        self.cpu = [NOTHING] * (2 * self.size)
        self.memory_mb = [NOTHING] * (2 * self.size)
        self.gpus = [NOTHING] * (2 * self.size)
        self.first = [0] * self.size + list(range(self.size))
        for node in range(self.size - 1, 0, -1):
            self.first[node] = self.first[2 * node]

    @property
    def empty(self) -> bool:
        """Whether all slots are empty."""
        return self.score[ROOT] == NOTHING

    def clear(self, slot):
        """Empty a slot."""
        self.fill(slot, NOTHING, NOTHING, NOTHING, NOTHING)

    def fill(self, slot, score, cpu, memory_mb, gpus):
        """Set the score and the free capacities of a slot."""
        values = (score, cpu, memory_mb, gpus)
        columns = (self.score, self.cpu, self.memory_mb, self.gpus)
        for column, value in zip(columns, values, strict=True):
            node = self.size + slot
            if column[node] == value:
                continue
            column[node] = value
            while node > ROOT:
                other = column[node ^ 1]
                value = max(value, other)
                node >>= 1
                if column[node] == value:
                    break
                column[node] = value

    def may_hold(self, cpu, memory_mb, gpus) -> bool:
        """Return whether each free capacity suffices on some runner."""
        return (
            self.cpu[ROOT] >= cpu
            and self.memory_mb[ROOT] >= memory_mb
            and self.gpus[ROOT] >= gpus
        )

    def find(self, demand, evaluate, *, best=NOTHING, best_slot=-1) -> int:
        """Return the slot of highest value among those with enough free capacity.

        Of slots of equal value, the lowest one counts.

        Parameters
        ----------
        demand : tuple of (int, int, int)
            Processors, memory and accelerators that must be free.
        evaluate : callable
            Returns the value of a slot, which is at most its score, or None if the slot
            is excluded.
        best, best_slot : float, int
            Value and number of a slot that is known already.

        Returns
        -------
        int
            Slot, `best_slot` if there is no better one.
        """
        cpu, memory_mb, gpus = demand
        score, first = self.score, self.first
        stack = [ROOT]
        while stack:
            node = stack.pop()
            if (
                score[node] < best
                or (score[node] == best and first[node] > best_slot)
                or self.cpu[node] < cpu
                or self.memory_mb[node] < memory_mb
                or self.gpus[node] < gpus
            ):
                continue
            if node < self.size:
                left, right = 2 * node, 2 * node + 1
                better_right = score[right] > score[left]
                stack += (left, right) if better_right else (right, left)
                continue
            slot = node - self.size
            value = evaluate(slot)
            if value is None or value < best:
                continue
            if value > best or slot < best_slot:
                best, best_slot = value, slot
        return best_slot
