"""A store of merged values with digests to find differences.

Two stores with the same content have the same root digest. When the roots
differ, digests of buckets narrow the search to a few keys, so the cost depends
on the size of the difference and not on that of the store.
"""

from collections import OrderedDict
from collections.abc import Callable
from hashlib import blake2b

from msgspec import Struct

BUCKET_COUNT = 256
DIGEST_SIZE = 8
#: Hashes in one answer; further buckets follow in the next round.
MAX_HASHES = 1024
#: Dropped keys that are remembered, so that no peer can restore them.
MAX_DROPPED_KEYS = 4096

Merge = Callable[[bytes | None, bytes], bytes]


class Update(Struct, frozen=True, array_like=True):
    """One value of a topic."""

    topic: str
    key: str
    value: bytes


class KeyValueHash(Struct, frozen=True, array_like=True):
    """The hash of a key and the hash of its value."""

    key: bytes
    value: bytes


def include_all(value: bytes) -> bool:
    """Include every value in the digests."""
    return True


class _Topic(Struct):
    merge: Merge
    is_in_digest: Callable[[bytes], bool]
    entries: dict[str, bytes]


class Store:
    """Values of several topics, merged by each topic's function."""

    def __init__(self) -> None:
        self._topics: dict[str, _Topic] = {}
        self._value_hashes: list[dict[bytes, bytes]] = [
            {} for _ in range(BUCKET_COUNT)
        ]
        self._digests = [0 for _ in range(BUCKET_COUNT)]
        self._topic_keys: dict[bytes, tuple[str, str]] = {}
        self._dropped_keys: OrderedDict[bytes, None] = OrderedDict()
        self._root: bytes | None = None

    def add_topic(
        self,
        name: str,
        merge: Merge,
        *,
        is_in_digest: Callable[[bytes], bool] = include_all,
    ) -> None:
        """Add a topic.

        :param merge: commutative, associative and idempotent; equal values
            must have equal bytes.
        :param is_in_digest: whether a value is included in the digests.
            Excluded values are still sent to peers that hold an older one.
        """
        assert name not in self._topics, f'topic {name} is already registered'
        self._topics[name] = _Topic(merge, is_in_digest, {})

    def entries(self, topic: str) -> dict[str, bytes]:
        """Values of a topic by key."""
        return self._topics[topic].entries

    def merge(self, update: Update) -> bool:
        """Merge a value.

        :returns: whether the stored value changed.
        """
        topic = self._topics.get(update.topic)
        key = _key_of(update.topic, update.key)
        if topic is None or key in self._dropped_keys:
            return False
        current = topic.entries.get(update.key)
        merged = topic.merge(current, update.value)
        if merged == current:
            return False
        topic.entries[update.key] = merged
        self._topic_keys[key] = (update.topic, update.key)
        in_digest = topic.is_in_digest(merged)
        self._set_hash(key, _hash_of(merged) if in_digest else None)
        return True

    def find_newer(self, update: Update) -> Update | None:
        """The stored value, when it differs from that of a merged update."""
        topic = self._topics.get(update.topic)
        if topic is None:
            return None
        current = topic.entries.get(update.key)
        if current is None or current == update.value:
            return None
        return Update(update.topic, update.key, current)

    def forget(self, topic: str, key: str) -> None:
        """Remove a value; a peer that still has it may restore it."""
        self._topics[topic].entries.pop(key, None)
        hashed = _key_of(topic, key)
        self._topic_keys.pop(hashed, None)
        self._set_hash(hashed, None)

    def drop(self, topic: str, keep: Callable[[str], bool]) -> None:
        """Remove values permanently; late copies of them are ignored."""
        ended = [key for key in self._topics[topic].entries if not keep(key)]
        for key in ended:
            self.forget(topic, key)
            self._dropped_keys[_key_of(topic, key)] = None
        while len(self._dropped_keys) > MAX_DROPPED_KEYS:
            self._dropped_keys.popitem(last=False)

    def root(self) -> bytes:
        """Digest over all values that are included in digests."""
        if self._root is None:
            self._root = _hash_of(self.buckets())
        return self._root

    def buckets(self) -> bytes:
        """Digests of all buckets, concatenated."""
        return b''.join(
            digest.to_bytes(DIGEST_SIZE) for digest in self._digests
        )

    def find_differing_buckets(
        self, buckets: bytes
    ) -> tuple[tuple[int, ...], list[KeyValueHash]]:
        """Find buckets that differ from a peer's, with their hashes.

        :returns: at least one bucket if any differs; no further buckets once
            that would exceed ``MAX_HASHES`` hashes.
        """
        differing: list[int] = []
        hashes: list[KeyValueHash] = []
        for bucket, digest in enumerate(self._digests):
            start = bucket * DIGEST_SIZE
            peer_digest = buckets[start : start + DIGEST_SIZE]
            if digest.to_bytes(DIGEST_SIZE) == peer_digest:
                continue
            bucket_hashes = self._value_hashes[bucket]
            if differing and len(hashes) + len(bucket_hashes) > MAX_HASHES:
                break
            differing.append(bucket)
            hashes.extend(
                KeyValueHash(key, value_hash)
                for key, value_hash in bucket_hashes.items()
            )
        return tuple(differing), hashes

    def plan_exchange(
        self,
        buckets: tuple[int, ...],
        hashes: tuple[KeyValueHash, ...],
    ) -> tuple[list[bytes], list[Update]]:
        """Compare the own hashes with a peer's.

        :returns: keys whose values to fetch, and values that the peer lacks.
        """
        peer_hashes = {pair.key: pair.value for pair in hashes}
        to_fetch = [
            key
            for key, value_hash in peer_hashes.items()
            if key not in self._dropped_keys
            and self._value_hash_of(key) != value_hash
        ]
        to_push = [
            key
            for bucket in buckets
            if bucket < BUCKET_COUNT
            for key in self._value_hashes[bucket]
            if key not in peer_hashes
        ]
        return to_fetch, self.look_up(tuple(to_push))

    def look_up(self, keys: tuple[bytes, ...]) -> list[Update]:
        """Values of those keys that the store has."""
        found = (self._topic_keys.get(key) for key in keys)
        return [
            Update(name[0], name[1], self._topics[name[0]].entries[name[1]])
            for name in found
            if name is not None
        ]

    def size(self) -> int:
        """Bytes of all keys and values."""
        return sum(
            len(key) + len(value)
            for topic in self._topics.values()
            for key, value in topic.entries.items()
        )

    def _value_hash_of(self, key: bytes) -> bytes | None:
        return self._value_hashes[key[0]].get(key)

    def _set_hash(self, key: bytes, value: bytes | None) -> None:
        bucket = key[0]
        hashes = self._value_hashes[bucket]
        before = hashes.pop(key, None)
        self._root = None
        if before is not None:
            self._digests[bucket] ^= _combine_hashes(key, before)
        if value is not None:
            hashes[key] = value
            self._digests[bucket] ^= _combine_hashes(key, value)


def _key_of(topic: str, key: str) -> bytes:
    return _hash_of(f'{topic}|{key}'.encode())


def _combine_hashes(key: bytes, value: bytes) -> int:
    return int.from_bytes(_hash_of(key + value))


def _hash_of(body: bytes) -> bytes:
    return blake2b(body, digest_size=DIGEST_SIZE).digest()
