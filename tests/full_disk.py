"""A disk that refuses every write, by the limit on the size of files."""

import contextlib
import resource


@contextlib.contextmanager
def refused_writes(after_bytes: int = 0, process_id: int = 0):
    """Refuse writes beyond `after_bytes` of a file, of one process.

    The kernel refuses them with `EFBIG`, and cuts off a write that crosses
    the limit. In the test's own process, nothing may be logged to a file
    meanwhile.
    """
    kind = resource.RLIMIT_FSIZE
    former = resource.prlimit(process_id, kind)
    resource.prlimit(process_id, kind, (after_bytes, former[1]))
    try:
        yield
    finally:
        resource.prlimit(process_id, kind, former)
