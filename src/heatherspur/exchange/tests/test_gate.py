from heatherspur.exchange import Arrival, ExchangeKey, ExitGate, Refuse, Start

NOW = 100.0


def gate(slots=1, max_queue=4) -> ExitGate:
    made = ExitGate("i", 3.0)
    made.set_target("t", slots, max_queue)
    return made


def arrive(made, number, customer="c", **fields):
    values = {
        "key": ExchangeKey("e", number),
        "incarnation": "i",
        "echo_clock_s": NOW,
        "target": "t",
        "customer": customer,
        "deadline_ms": 60_000,
        "idempotent": True,
    }
    return list(made.arrive(Arrival(**{**values, **fields}), None, NOW))


def finish(made, number, now=NOW):
    return list(made.finish(ExchangeKey("e", number), 10.0, now))


def test_slots_bound_what_runs():
    made = gate(slots=2)
    assert [type(m) for n in (1, 2, 3) for m in arrive(made, n)] == [Start, Start]
    assert finish(made, 1)[0].key.number == 3


def test_customers_take_turns():
    made = gate(max_queue=50)
    arrive(made, 1)
    for number in range(2, 12):
        arrive(made, number, "flood")
    arrive(made, 12, "small")
    started = []
    running = 1
    for _ in range(4):
        running = finish(made, running)[0].key.number
        started.append(running)
    assert 12 in started[:2]


def test_a_full_queue_drops_from_the_longest():
    made = gate(max_queue=3)
    arrive(made, 1)
    for number in (2, 3, 4):
        arrive(made, number, "flood")
    dropped = arrive(made, 5, "small")
    assert dropped == [Refuse(ExchangeKey("e", 4), "queue-full", 200)]
    assert arrive(made, 6, "flood")[0].key.number == 6


def test_a_request_that_can_not_start_in_time_is_refused_at_once():
    made = gate(max_queue=50)
    arrive(made, 1)
    for number in range(2, 9):
        arrive(made, number)
    refusal = arrive(made, 9, deadline_ms=30)
    assert refusal[0].reason == "deadline-short"


def test_refusals_of_old_misdirected_and_late_requests():
    made = gate()
    assert arrive(made, 1, echo_clock_s=NOW - 4)[0].reason == "too-old"
    assert arrive(made, 2, incarnation="other")[0].reason == "other-incarnation"
    assert arrive(made, 3, target="gone")[0].reason == "draining"
    arrive(made, 4)
    arrive(made, 5, deadline_ms=100)
    assert list(made.tick(NOW + 0.2))[0].reason == "deadline"


def test_a_refused_number_never_runs():
    made = gate()
    arrive(made, 7, incarnation="other")
    assert arrive(made, 7) == []
    assert arrive(made, 6) == []


def test_a_closed_target_refuses_what_waits_and_lets_the_rest_end():
    made = gate()
    arrive(made, 1)
    arrive(made, 2)
    assert [r.reason for r in made.close_target("t")] == ["draining"]
    assert finish(made, 1) == []
    assert arrive(made, 3)[0].reason == "draining"


def test_a_probed_target_takes_one_idempotent_request():
    made = gate(slots=3)
    made.set_probing("t", True)
    assert arrive(made, 1, idempotent=False)[0].reason == "probing"
    assert isinstance(arrive(made, 2)[0], Start)
    assert arrive(made, 3)[0].reason == "probing"


def test_cancel_frees_the_queue():
    made = gate()
    arrive(made, 1)
    arrive(made, 2)
    assert made.cancel(ExchangeKey("e", 2))
    assert not made.cancel(ExchangeKey("e", 1))
    assert finish(made, 1) == []
