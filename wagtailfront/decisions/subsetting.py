"""Stable subsets of a fleet by rendezvous hashing."""

import heapq

import xxhash

__all__ = ["score", "ranked", "subset", "Candidates"]


def score(key, name, digest=xxhash.xxh3_64_intdigest):
    """Return the 64-bit rendezvous score of `name` for `key`.

    Parameters
    ----------
    key : str
        Identity that chooses, such as an instance or a request fingerprint.
    name : str
        A candidate.
    digest : callable, optional
        Returns a 64-bit integer for bytes.
    """
    return digest(f"{key}\0{name}".encode())


def ranked(names, *, key, digest=xxhash.xxh3_64_intdigest):
    """Return `names` from the highest to the lowest score for `key`.

    Instances must agree on the order, so each use keeps its `digest`.

    Examples
    --------
    >>> ranked(["a", "b", "c"], key="instance-1")
    ['b', 'c', 'a']
    """
    return sorted(
        names, key=lambda name: (score(key, name, digest), name), reverse=True
    )


def subset(names, *, key, size, home=frozenset(), remote=0):
    """Choose `size` of `names`, those in the local data centre first.

    Parameters
    ----------
    names : iterable of str
        Candidates without repetition.
    key : str
        Identity that chooses; different keys give independent subsets.
    size : int
        Number of names wanted.
    home : collection of str, optional
        Candidates in the local data centre.
    remote : int, optional
        Places reserved for candidates of other data centres if there are
        any, so that some remain when the local data centre is lost.

    Returns
    -------
    list of str
        At most `size` names: local ones by score, then the others by score.

    Notes
    -----
    When a candidate is removed, the other chosen names stay chosen and at
    most one is added; when a candidate is added, at most one is replaced.
    The cost is linear, as the hash is computed once per candidate, so the
    result should be reused until the fleet changes.

    References
    ----------
    .. [1] D. Thaler and C. Ravishankar, "Using Name-Based Mappings to
       Increase Hit Rates", IEEE/ACM Transactions on Networking 6(1), 1998.

    Examples
    --------
    >>> fleet = ["e1", "e2", "e3", "e4", "e5", "e6"]
    >>> subset(fleet, key="instance-1", size=3, home={"e1", "e4"})
    ['e1', 'e4', 'e6']
    >>> subset(fleet, key="instance-1", size=3, home={"e1", "e4"}, remote=2)
    ['e1', 'e6', 'e2']
    """
    names = list(names)
    near = _best((name for name in names if name in home), key, size)
    far = _best((name for name in names if name not in home), key, size)
    far_count = min(len(far), max(min(remote, size), size - len(near)))
    return near[: size - far_count] + far[:far_count]


class Candidates:
    """Random choice of the engines to compare for a request.

    Parameters
    ----------
    names : iterable of str
        All engines of the service.
    key : str
        The instance's name.
    rng : random.Random
    size : int, optional
        Number of engines that the instance uses.
    compared : int, optional
        Number of those that one decision compares. The cost of a decision is
        proportional to it, and beyond a few random choices the balance
        hardly improves.

    References
    ----------
    .. [1] M. Mitzenmacher, "The Power of Two Choices in Randomized Load
       Balancing", IEEE Transactions on Parallel and Distributed Systems
       12(10), 2001.

    Examples
    --------
    >>> import random
    >>> names = [f"e{number}" for number in range(100)]
    >>> candidates = Candidates(names, key="i1", rng=random.Random(1))
    >>> len(candidates("any request"))
    8
    """

    def __init__(self, names, *, key, rng, size=24, compared=8):
        self.chosen = subset(names, key=key, size=size)
        self.rng = rng
        self.compared = min(compared, len(self.chosen))

    def __call__(self, work):
        """Return the engines to compare for `work`."""
        return self.rng.sample(self.chosen, self.compared)


def _best(names, key, size):
    """Return the `size` names with the highest scores, highest first."""
    return heapq.nlargest(size, names, key=lambda name: (score(key, name), name))
