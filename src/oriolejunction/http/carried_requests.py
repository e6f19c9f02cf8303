"""Ids of the requests that a connection to a backend server has carried.

A server may write an earlier answer once more on the same connection, so that
an answer which names a request proves nothing about its second sending there.
"""

from oriolejunction import ids

# A connection that has carried as many is not used again, so that none of its
# requests is forgotten. Each id takes some 150 bytes.
MAX_CARRIED = 256


class CarriedRequests:
    """The requests of one connection."""

    def __init__(self) -> None:
        self._ids: set[ids.RequestId] = set()

    def add(self, request_id: ids.RequestId) -> None:
        """Record a request that is about to be sent."""
        self._ids.add(request_id)

    def __contains__(self, request_id: ids.RequestId) -> bool:
        return request_id in self._ids

    def __len__(self) -> int:
        return len(self._ids)
