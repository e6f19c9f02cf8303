"""Search for stop strings in text that is still growing."""


def first_position(text: str, stops: tuple[str, ...]) -> int | None:
    """Return where the first stop string begins, or None."""
    positions = [text.find(stop) for stop in stops]
    found = [position for position in positions if position >= 0]
    return min(found) if found else None


def partial_match_length(text: str, stops: tuple[str, ...]) -> int:
    """Return the length of the longest suffix that may begin a stop."""
    return max(
        (
            length
            for stop in stops
            for length in range(1, min(len(stop), len(text) + 1))
            if text.endswith(stop[:length])
        ),
        default=0,
    )
