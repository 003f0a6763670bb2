"""Numbers that the platform's messages may hold."""

from typing import Annotated

from msgspec import Meta

# JSON numbers are exact up to this size. Larger ones cannot be encoded again, neither
# in records of the store nor in requests.
MAX_NUMBER = 2**53 - 1

Integer = Annotated[int, Meta(ge=0, le=MAX_NUMBER)]
Number = Annotated[float, Meta(ge=0, le=MAX_NUMBER)]
