"""Numbers that others send, and the largest one that is taken."""

__all__ = ["MAX_NUMBER", "decimal_number"]

# Larger numbers lose digits as floats, and much larger ones can be neither converted nor stored.
MAX_NUMBER = 2**53
MAX_DIGITS = 16


def decimal_number(text: str) -> int | None:
    """Return the number that a text states in decimal digits, or None if it states none.

    A number above ``MAX_NUMBER`` is none: nothing that others count is as large.
    """
    digits = text.strip()
    # str.isdecimal() also accepts the digits of other scripts.
    if not digits.isascii() or not digits.isdecimal():
        return None
    significant = digits.lstrip("0")
    if len(significant) > MAX_DIGITS:
        return None
    number = int(significant or "0")
    return number if number <= MAX_NUMBER else None
