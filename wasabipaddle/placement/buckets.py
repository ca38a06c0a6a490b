"""Index of names by resources; the cost of a search is independent of their number."""

__all__ = ["BucketIndex", "level"]

# Members inspected per bucket in which some members may be too small for the need.
BOUNDARY_MEMBERS = 16


def level(value) -> int:
    """Return a logarithmic level of `value`, with four levels per power of two."""
    if value < 8:
        return max(value, 0)
    bits = value.bit_length()
    return (bits << 2) | ((value >> (bits - 3)) & 3)


class BucketIndex:
    """Names in buckets by accelerator count, processor level and memory level.

    Each accelerator count has a bit mask of its non-empty processor levels, and each
    of these a bit mask of its non-empty memory levels. A search visits only non-empty
    buckets, smallest first, so its cost depends on the number of levels and not on the
    number of names. It may miss fitting names in buckets at the border of the need, of
    which it inspects only the first `BOUNDARY_MEMBERS` members.
    """

    def __init__(self):
        self.resources = {}
        self.keys = {}
        self.members = {}
        self.cpu_masks = {}
        self.memory_masks = {}
        self.accelerator_counts = []

    def __contains__(self, name):
        return name in self.keys

    def put(self, name, amount):
        """Insert `name`, or change its resources."""
        key = (amount.accelerators, level(amount.cpu_milli), level(amount.memory_mb))
        self.resources[name] = amount
        previous = self.keys.get(name)
        if previous == key:
            return
        if previous is not None:
            self._remove_from_bucket(name, previous)
        self.keys[name] = key
        bucket = self.members.get(key)
        if bucket is None:
            bucket = self.members[key] = {}
            self._mark(key)
        bucket[name] = None

    def remove(self, name):
        """Remove `name` if it is present."""
        key = self.keys.pop(name, None)
        if key is not None:
            del self.resources[name]
            self._remove_from_bucket(name, key)

    def candidates(self, need, limit) -> list[str]:
        """Return up to `limit` names whose resources cover `need`.

        Names in buckets of smaller resources come first.
        """
        found = []
        lowest = level(need.cpu_milli), level(need.memory_mb)
        for count in self.accelerator_counts:
            if count >= need.accelerators and self.cpu_masks[count] >> lowest[0]:
                self._search(count, need, lowest, limit, found)
                if len(found) >= limit:
                    break
        return found

    def _search(self, count, need, lowest, limit, found):
        lowest_cpu, lowest_memory = lowest
        cpu_mask = self.cpu_masks[count] >> lowest_cpu << lowest_cpu
        while cpu_mask:
            cpu_bit = cpu_mask & -cpu_mask
            cpu_mask ^= cpu_bit
            cpu = cpu_bit.bit_length() - 1
            mask = self.memory_masks[count, cpu] >> lowest_memory << lowest_memory
            while mask:
                bit = mask & -mask
                mask ^= bit
                memory = bit.bit_length() - 1
                bucket = self.members[count, cpu, memory]
                if cpu == lowest_cpu or memory == lowest_memory:
                    self._collect_fitting(bucket, need, limit, found)
                else:
                    for name in bucket:
                        found.append(name)
                        if len(found) >= limit:
                            break
                if len(found) >= limit:
                    return

    def _collect_fitting(self, bucket, need, limit, found):
        for inspected, name in enumerate(bucket):
            if inspected >= BOUNDARY_MEMBERS or len(found) >= limit:
                return
            if need.fits(self.resources[name]):
                found.append(name)

    def _mark(self, key):
        count, cpu, memory = key
        if count not in self.cpu_masks:
            self.cpu_masks[count] = 0
            self.accelerator_counts = sorted(self.cpu_masks)
        self.cpu_masks[count] |= 1 << cpu
        pair = (count, cpu)
        self.memory_masks[pair] = self.memory_masks.get(pair, 0) | (1 << memory)

    def _remove_from_bucket(self, name, key):
        bucket = self.members[key]
        del bucket[name]
        if bucket:
            return
        del self.members[key]
        count, cpu, memory = key
        self.memory_masks[count, cpu] &= ~(1 << memory)
        if not self.memory_masks[count, cpu]:
            del self.memory_masks[count, cpu]
            self.cpu_masks[count] &= ~(1 << cpu)
