"""Buddy blocks, and the check that guaranteed cells fit."""

from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec.json import encode

from cardamomdyke.configuration.fold import FoldState, Verdict, fold_record
from cardamomdyke.configuration.records import Edit
from cardamomdyke.configuration.validation import find_table_faults
from cardamomdyke.model.tables import FailureDomain, Guarantee, Pool, Tables
from cardamomdyke.placement.cells import (
    choose_accelerators,
    list_blocks,
    list_indices,
    measure_largest_block,
)
from cardamomdyke.placement.guarantees import (
    find_missing_cells,
    find_missing_guarantees,
    find_short_guarantees,
)
from tests.placement.pools import list_places, make_gang, make_guarantee, make_pool


def test_buddy_cells_of_any_server_size() -> None:
    """Guards against blocks that are not aligned or exceed the backend server."""
    assert [list_indices(b) for b in list_blocks(2, 6)] == [(0, 1), (2, 3), (4, 5)]
    assert [list_indices(b) for b in list_blocks(4, 6)] == [(0, 1, 2, 3)]
    assert list_blocks(2, 1) == ()
    assert measure_largest_block(0b0111_1110, 8) == 2
    assert list_indices(choose_accelerators(0b1111_0010, 1, 8)) == (1,)
    assert list_indices(choose_accelerators(0b1111_0010, 3, 8)) == (4, 5, 6)
    assert choose_accelerators(0b11, 3, 8) == 0


def test_edit_that_guarantees_too_much_is_refused() -> None:
    """Guards against tables that guarantee one backend server to two accounts."""
    held = make_pool(
        [[8, 8]], make_guarantee("a", "server", 1), make_guarantee("b", "server", 1)
    )
    short = make_pool(
        [[8, 8]],
        make_guarantee("a", "server", 2),
        make_guarantee("b", "accelerators", 1, 4),
    )
    state, verdict, _ = fold_record(FoldState(), 0, encode(make_edit(held)))
    assert verdict is Verdict.ACCEPTED
    edit = make_edit(short, base=1)
    _, verdict, _ = fold_record(state, 1, encode(edit))
    assert verdict is Verdict.INVALID
    assert find_table_faults(edit.tables) == [
        "guarantee of 'b' in pool 'p' cannot be held together with the others: "
        "1 cells of 4 accelerators too many"
    ]


def make_edit(pool: Pool, base: int = 0) -> Edit:
    """Return an edit whose tables have one pool."""
    domains = (FailureDomain("gent", "vlaanderen"),)
    tables = Tables(pools=(pool,), failure_domains=domains)
    return Edit(f"edit-{base}", base, tables, 0.0)


def test_cells_that_fit_by_count_only_are_refused() -> None:
    """Guards against counting free accelerators where whole cells are guaranteed."""
    assert find_missing_guarantees(
        make_pool([[6, 6]], make_guarantee("a", "accelerators", 3, 4))
    )
    assert find_missing_guarantees(
        make_pool([[8], [8]], make_guarantee("a", "rack", 3))
    )
    assert not find_missing_guarantees(
        make_pool([[6, 6]], make_guarantee("a", "accelerators", 6, 2))
    )
    assert not find_missing_guarantees(
        make_pool(
            [[8, 1], [8]],
            make_guarantee("a", "rack", 1),
            make_guarantee("b", "server", 1),
        )
    )


def test_rows_that_are_no_cells_are_refused() -> None:
    """Guards against accepting impossible cell sizes and counts."""
    for row in (
        make_guarantee("a", "accelerators", 1, 3),
        make_guarantee("a", "accelerators", 1),
        make_guarantee("a", "server", 0),
        make_guarantee("a", "server", 1, 8),
    ):
        assert len(find_missing_guarantees(make_pool([[8, 8]], row))) == 1
    rows = make_guarantee("a", "server", 1), make_guarantee("a", "accelerators", 1, 2)
    faults = find_missing_guarantees(make_pool([[8, 8]], *rows))
    assert faults == [
        "guarantee of 'a' in pool 'p' has cells of 2 kinds; use one kind per client "
        "account and pool"
    ]


def test_guaranteed_work_in_cells_of_others_leaves_them_missing() -> None:
    """Guards against overlooking guaranteed work in a cell that others need."""
    rows = make_guarantee("a", "server", 1), make_guarantee("b", "server", 1)
    pool = make_pool([[8, 8]], *rows)
    packed = make_gang("1", "a", [("r0s0", [0]), ("r0s0", [4])], borrowed=False)
    spread = make_gang("1", "a", [("r0s0", [0]), ("r0s1", [4])], borrowed=False)
    borrower = make_gang("2", "b", [("r0s1", [0])], borrowed=True)
    assert not find_missing_cells(pool, [packed, borrower])
    missing = find_missing_cells(pool, [spread, borrower])
    assert [cells.client_account for cells in missing] == ["b"]


def test_short_guarantees_name_their_accounts() -> None:
    """Guards against lost capacity whose affected accounts are not named."""
    rows = make_guarantee("a", "server", 1), make_guarantee("b", "server", 1)
    pool = make_pool([[8, 8, 8]], *rows)
    assert find_short_guarantees(pool, frozenset({"r0s0"})) == ()
    dead = frozenset({"r0s0", "r0s1"})
    assert find_short_guarantees(pool, dead) == ("b",)
    running = make_gang("1", "b", [("r0s2", [3])], borrowed=False)
    assert find_short_guarantees(pool, dead, [running]) == ("a",)


def check_fit_exhaustively(
    cells: list[tuple[str, list[set[tuple[str, int]]]]],
    work: dict[str, set[tuple[str, int]]],
    taken: set[tuple[str, int]],
) -> bool:
    """Return whether some places fit, with all work inside its own cells."""
    if not cells:
        return all(not left for left in work.values())
    (account, places), rest = cells[0], cells[1:]
    others = {
        spot for other, spots in work.items() if other != account for spot in spots
    }
    return any(
        check_fit_exhaustively(
            rest, {**work, account: work.get(account, set()) - place}, taken | place
        )
        for place in places
        if not place & taken and not place & others
    )


@settings(max_examples=300, deadline=None, database=None)
@given(
    st.sampled_from([[[4, 2], [2]], [[2, 2], [2, 2]], [[1, 1], [1, 1]], [[3, 4]]]),
    st.lists(
        st.sampled_from(
            [
                ("server", 1, 0),
                ("rack", 1, 0),
                ("accelerators", 1, 1),
                ("accelerators", 1, 2),
                ("accelerators", 2, 2),
                ("server", 2, 0),
            ]
        ),
        min_size=1,
        max_size=3,
    ),
    st.lists(st.tuples(st.integers(0, 2), st.integers(0, 7)), max_size=4),
)
def test_assignment_agrees_with_exhaustive_search(
    layout: list[list[int]],
    kinds: list[tuple[str, int, int]],
    work: list[tuple[int, int]],
) -> None:
    """Guards against accepting cells that do not fit, and the reverse."""
    rows = [make_guarantee(f"a{n}", *kind) for n, kind in enumerate(kinds)]
    pool = make_pool(layout, *rows)
    spots = [(s.name, i) for s in pool.servers for i in range(s.accelerators)]
    held: dict[tuple[str, int], str] = {}
    for account, spot in work:
        if account < len(rows):
            held.setdefault(spots[spot % len(spots)], f"a{account}")
    gangs = [
        make_gang(str(n), account, [(spot[0], [spot[1]])], borrowed=False)
        for n, (spot, account) in enumerate(held.items())
    ]
    used = {a: {s for s, b in held.items() if a == b} for a in held.values()}
    cells = [
        (row.client_account, list_places(pool, row))
        for row in rows
        for _ in range(row.count)
    ]
    fits = check_fit_exhaustively(cells, used, set())
    if fits:
        assert not find_missing_cells(pool, gangs)
    else:
        assert find_missing_cells(pool, gangs) or exceeds_guarantee(pool, rows, used)


def exceeds_guarantee(
    pool: Pool, rows: list[Guarantee], used: dict[str, set[tuple[str, int]]]
) -> bool:
    """Return whether work needs more cells than guaranteed, or those of others."""
    for row in rows:
        places = list_places(pool, row)
        work = used.get(row.client_account, set())
        touched = [place for place in places if place & work]
        if len(touched) > row.count or work - set().union(*touched):
            return True
        others = set().union(*(u for a, u in used.items() if a != row.client_account))
        if any(place & others for place in touched):
            return True
    return False
