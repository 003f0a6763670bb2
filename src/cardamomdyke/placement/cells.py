"""Bit masks of accelerators, and the buddy blocks of a backend server.

In a mask, bit ``i`` stands for the accelerator with index ``i`` of one backend
server. ``ServerMasks`` is a set in a pool: a mask by server name.
"""

from collections.abc import Iterable, Iterator
from functools import lru_cache

from cardamomdyke.model.jobs import MemberPlacement
from cardamomdyke.model.tables import BackendServer, Pool

ServerMasks = dict[str, int]


def make_mask(accelerators: Iterable[int]) -> int:
    """Return the mask of accelerator indices."""
    mask = 0
    for index in accelerators:
        mask |= 1 << index
    return mask


def list_indices(mask: int) -> tuple[int, ...]:
    """Return the accelerator indices of a mask, ascending."""
    return tuple(index for index in range(mask.bit_length()) if mask >> index & 1)


def make_full_mask(accelerators: int) -> int:
    """Return the mask of a whole backend server."""
    return (1 << accelerators) - 1


def round_up_to_block(accelerators: int) -> int:
    """Round accelerators up to a buddy block size, a power of two."""
    return 1 << max(accelerators - 1, 0).bit_length()


@lru_cache(maxsize=1024)
def list_blocks(size: int, accelerators: int) -> tuple[int, ...]:
    """Return the buddy blocks of one size on a backend server.

    What exceeds a power of two is made of smaller blocks: 6 accelerators are a
    block of 4 and a block of 2.

    Parameters
    ----------
    size : int
        Accelerators per block, a power of two.
    accelerators : int
        Accelerators of the backend server.

    Returns
    -------
    tuple of int
        One mask per block.
    """
    block = make_full_mask(size)
    return tuple(block << first for first in range(0, accelerators - size + 1, size))


@lru_cache(maxsize=65536)
def list_free_blocks(free: int, size: int, accelerators: int) -> tuple[int, ...]:
    """Return the free buddy blocks of one size, the tightest fit first.

    They are sorted by the size of the largest free block that contains them, so
    that the first one splits the smallest.
    """
    blocks = [b for b in list_blocks(size, accelerators) if b & free == b]
    return tuple(
        sorted(blocks, key=lambda b: measure_enclosing_block(b, free, accelerators))
    )


def measure_enclosing_block(block: int, free: int, accelerators: int) -> int:
    """Return the size of the largest free block that contains a block."""
    size = block.bit_count()
    while True:
        larger = next(
            (b for b in list_blocks(size * 2, accelerators) if b & block == block), 0
        )
        if not larger or larger & free != larger:
            return size
        size *= 2


@lru_cache(maxsize=65536)
def measure_split_block(mask: int, available: int, accelerators: int) -> int:
    """Return the size of the largest free block that a member would split.

    It is 0 for accelerators in no common free block: they split none that is
    larger than themselves.
    """
    size = round_up_to_block(mask.bit_count())
    for block in list_free_blocks(available, size, accelerators):
        if block & mask == mask:
            return measure_enclosing_block(block, available, accelerators)
    return 0


@lru_cache(maxsize=65536)
def choose_accelerators(free: int, size: int, accelerators: int) -> int:
    """Choose accelerators for one member, by the tightest fit.

    Parameters
    ----------
    free : int
        Mask of the available accelerators.
    size : int
        Accelerators of the member.
    accelerators : int
        Accelerators of the backend server.

    Returns
    -------
    int
        The chosen mask; 0 when too few are available.
    """
    if free.bit_count() < size:
        return 0
    blocks = list_free_blocks(free, round_up_to_block(size), accelerators)
    candidates = list_indices(blocks[0] if blocks else free)
    return make_mask(candidates[:size])


def measure_largest_block(free: int, accelerators: int) -> int:
    """Return the size of the largest free buddy block; 0 when none is free."""
    size = round_up_to_block(accelerators)
    while size and not any(b & free == b for b in list_blocks(size, accelerators)):
        size //= 2
    return size


def group_racks(servers: Iterable[BackendServer]) -> dict[str, list[BackendServer]]:
    """Return the backend servers by rack, in table order."""
    racks: dict[str, list[BackendServer]] = {}
    for server in servers:
        racks.setdefault(server.rack, []).append(server)
    return racks


def make_pool_masks(pool: Pool, excluded: frozenset[str] = frozenset()) -> ServerMasks:
    """Return all accelerators of a pool, except on excluded servers."""
    return {
        server.name: make_full_mask(server.accelerators)
        for server in pool.servers
        if server.name not in excluded
    }


def iterate_member_masks(
    placements: Iterable[MemberPlacement],
) -> Iterator[tuple[str, int]]:
    """Yield each member's server name and mask."""
    for placement in placements:
        yield placement.server, make_mask(placement.accelerators)


def add_members(masks: ServerMasks, placements: Iterable[MemberPlacement]) -> None:
    """Add the accelerators of gang members to a set, in place."""
    for server, mask in iterate_member_masks(placements):
        masks[server] = masks.get(server, 0) | mask
