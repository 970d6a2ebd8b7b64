"""The baseline of `spread`: a plain consistent hash with equal hosts (Karger et al., STOC 1997)."""
import bisect
import hashlib
import random

POINTS_PER_HOST = 160


def _point(text):
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest(), "big")


def baseline_shares(seed, names, flows):
    """The share of `flows` random flows that each host gets."""
    ring = sorted((_point(f"{name}/{index}"), name) for name in names for index in range(POINTS_PER_HOST))
    points = [point for point, _ in ring]
    generator = random.Random(seed)
    counts = dict.fromkeys(names, 0)
    for _ in range(flows):
        where = bisect.bisect(points, generator.getrandbits(64)) % len(ring)
        counts[ring[where][1]] += 1
    return {name: count / flows for name, count in counts.items()}
