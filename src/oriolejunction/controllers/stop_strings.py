"""Search for stop strings in streamed text."""


def first_position(text: str, stops: tuple[str, ...]) -> int | None:
    """Return the position of the first stop string, or None."""
    positions = [text.find(stop) for stop in stops]
    found = [position for position in positions if position >= 0]
    return min(found) if found else None


def partial_match_length(text: str, stops: tuple[str, ...]) -> int:
    """Return the length of the longest suffix that may begin a stop string."""
    return max(
        (
            length
            for stop in stops
            for length in range(1, min(len(stop), len(text) + 1))
            if text.endswith(stop[:length])
        ),
        default=0,
    )
