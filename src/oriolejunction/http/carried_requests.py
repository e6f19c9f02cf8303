"""The requests that a connection to a backend server has carried.

A server may write an answer once more on the same connection. One that names a
request is about its sending there only if the connection carries it once.
"""

from oriolejunction.http import answer_parser
from oriolejunction import ids

# A connection that has carried as many is not used again, so that none of its
# requests is forgotten. Each takes some 100 bytes.
MAX_CARRIED = 256


class CarriedRequests:
    """The requests of one connection.

    Callers choose the ids, which may be long; only hashes are kept.
    """

    def __init__(self) -> None:
        self._has_body_by_hash: dict[int, bool] = {}

    def add(self, request_id: ids.RequestId, method: str) -> None:
        """Record a request that is about to be sent."""
        self._has_body_by_hash[hash(request_id)] = _may_have_body(method)

    def __contains__(self, request_id: ids.RequestId) -> bool:
        return hash(request_id) in self._has_body_by_hash

    @property
    def are_too_many(self) -> bool:
        """Return whether the connection may carry no more."""
        return len(self._has_body_by_hash) >= MAX_CARRIED

    def has_framing_of(self, request_id: ids.RequestId, method: str) -> bool:
        """Return whether an answer to a request ends as one to `method`."""
        has_body = self._has_body_by_hash[hash(request_id)]
        return has_body == _may_have_body(method)


def _may_have_body(method: str) -> bool:
    return method not in answer_parser.METHODS_WITHOUT_BODY
