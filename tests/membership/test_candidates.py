"""Choice of the permanent planner candidates."""

from cardamomdyke.membership.candidates import count_candidates, rank_peers
from cardamomdyke.membership.peers import Peer


def make_peers(*rows: tuple[str, str, float]) -> list[Peer]:
    return [Peer(vm, f"{vm}:7000", domain, power) for vm, domain, power in rows]


def test_most_powerful_vm_of_each_domain_comes_first() -> None:
    """Guards against a planner on a weak VM while a powerful one is available.

    On vjf-orders-grown trouble-1, seed 11, the planner ran on a VM with a quarter of
    the others' power; the median start took 0.58 s instead of 0.18 s.
    """
    peers = make_peers(
        ("a-weak", "gent", 0.5),
        ("b-strong", "gent", 2.1),
        ("c-strong", "gent", 2.1),
        ("d-weak", "kortrijk", 0.5),
        ("e-strong", "kortrijk", 2.1),
        ("f-weak", "lokeren", 0.5),
    )
    ranked = rank_peers(peers)
    assert ranked[:3] == ["b-strong", "e-strong", "f-weak"]
    assert rank_peers(reversed(peers)) == ranked


def test_single_domain_has_three_candidates() -> None:
    """Guards against a single candidate, without which no daemon could plan."""
    peers = make_peers(*((f"vm{number}", "gent", 1.0) for number in range(5)))
    assert count_candidates(peers) == 3
    assert count_candidates([]) == 3


def test_every_domain_has_a_candidate() -> None:
    """Guards against losing all candidates with one failure domain."""
    domains = ("a", "b", "c", "d")
    peers = make_peers(*((f"{d}{n}", d, 1.0) for d in domains for n in range(3)))
    first = rank_peers(peers)[: count_candidates(peers)]
    assert sorted(vm[0] for vm in first) == list(domains)
