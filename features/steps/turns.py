"""Steps for learning and predicting the turns of queues."""

import itertools
import random

from behave import given, then, when

from primrosepitch.scheduling.turns import Arrival, TurnForecast

SEEDS = range(1, 21)
POOLS = ("a", "b", "c", "d")
WORK = 10_000.0
LEAD_S = 1.8
TICK_S = 0.05
START_S = 1_000.0


def draw(rng, rate, begin, end):
    """Return Poisson arrivals within an interval."""
    times, at = [], begin
    while rate and (at := at + rng.expovariate(rate)) < end:
        times.append(at)
    return times


def arrivals_in_turns(turns, rates, duration_s, seed):
    """Return Poisson arrivals: the given rate in turns, and a 70th of it between."""
    rng = random.Random(seed)
    found = []
    for pool, rate in rates.items():
        own = [turn for turn in turns if turn[0] == pool]
        edges = {START_S, START_S + duration_s}
        edges |= {t for _, *times in own for t in times if t < START_S + duration_s}
        for begin, end in itertools.pairwise(sorted(edges)):
            busy = any(b <= begin < e for _, b, e in own)
            times = draw(rng, rate if busy else rate / 70, begin, end)
            found += [Arrival(at, pool, WORK) for at in times]
    return sorted(found)


def play(arrivals, until):
    """Pass arrivals to a forecast.

    :returns: the forecast, the times at which begins became known, and the demand ahead
        at each tick
    """
    forecast = TurnForecast(queued=frozenset(POOLS))
    known, ahead = {}, []
    waiting = list(arrivals)[::-1]
    now = START_S
    while now < until:
        now += TICK_S
        while waiting and waiting[-1].at <= now:
            forecast.record(waiting.pop())
            for pool, state in forecast.pools.items():
                if state.turn is not None:
                    known.setdefault((pool, state.turn.begin), now)
        forecast.advance(now)
        for pool, demand in forecast.demand_ahead(now, LEAD_S).items():
            expected = forecast.prediction.expected
            ahead.append((now, pool, demand, expected))
    return forecast, known, ahead


@given("queues with turns of {turn:g} s and gaps of {gap:g} s, {rates} jobs a second")
def step_turns(context, turn, gap, rates):
    context.rates = dict(zip(POOLS, map(float, rates.split(",")), strict=True))
    begins = itertools.count(START_S + 1.0, turn + gap)
    context.turns = [
        (pool, begin, begin + turn)
        for pool, begin in zip(
            itertools.islice(itertools.cycle(POOLS), 20), begins, strict=False
        )
    ]
    context.make = lambda seed, s: arrivals_in_turns(
        context.turns, context.rates, s, seed
    )


@given("four queues with {kind} arrivals")
def step_no_turns(context, kind):
    rates = {"no": 0.0, "steady few": 1.5, "steady many": 12.0, "rising": 12.0}
    rates["random"] = 5.0

    def make(seed, duration_s):
        rng = random.Random(seed)
        found = []
        for pool in POOLS:
            for second in range(int(duration_s)):
                rate = rates[kind] * (second / duration_s if kind == "rising" else 1)
                if kind == "random":
                    rate *= rng.lognormvariate(-0.5, 1.0)
                begin = START_S + second
                times = draw(rng, rate, begin, begin + 1)
                found += [Arrival(at, pool, WORK) for at in times]
        return sorted(found)

    context.make = make


@when("they send for {duration:g} s")
def step_send(context, duration):
    until = START_S + duration
    context.until = until
    context.jobs = {seed: context.make(seed, duration) for seed in SEEDS}
    context.played = {s: play(jobs, until) for s, jobs in context.jobs.items()}
    context.turns = [t for t in getattr(context, "turns", []) if t[1] < until - 1.0]


def matches(context, turns):
    """Return pairs of a real turn and the learned one of its pool, or ``None``."""
    return [
        (
            real,
            next((t for t in turns if t.service == real[0] and near(t, real)), None),
        )
        for real in context.turns
    ]


def near(turn, real):
    return abs(turn.begin - real[1]) < 2.0


def assert_part(hits, percent):
    part = 100 * sum(hits) / len(hits)
    assert part >= percent, f"{part:.1f} % of {len(hits)}"


@then("{percent:d} % of the begins are known {delay:g} s after they came")
def step_known(context, percent, delay):
    hits = []
    for _, known, _ in context.played.values():
        for pool, begin, _ in context.turns:
            hits.append(
                any(
                    p == pool and abs(b - begin) < 2.0 and at <= begin + delay
                    for (p, b), at in known.items()
                )
            )
    assert_part(hits, percent)


@then("{percent:d} % of the learned begins and ends are within {error:g} s")
def step_edges(context, percent, error):
    hits = []
    for forecast, _, _ in context.played.values():
        for real, turn in matches(context, forecast.turns):
            if turn is not None:
                hits.append(abs(turn.begin - real[1]) <= error)
                if turn.ended:
                    hits.append(abs(turn.end - real[2]) <= error)
    assert_part(hits, percent)


@then("the learned heights are within {percent:d} % on the mean")
def step_heights(context, percent):
    off = [
        abs(turn.height / (context.rates[turn.service] * WORK) - 1)
        for forecast, _, _ in context.played.values()
        for turn in forecast.turns
        if turn.ended
    ]
    assert sum(off) / len(off) <= percent / 100, sum(off) / len(off)


@then("at most {percent:d} % of the turns found are none")
def step_false_turns(context, percent):
    false = [
        not any(turn.service == real[0] and near(turn, real) for real in context.turns)
        for forecast, _, _ in context.played.values()
        for turn in forecast.turns
        if turn.ended
    ]
    assert sum(false) <= percent / 100 * len(false), (sum(false), len(false))


@then(
    "from turn {first:d} on, {percent:d} % of the begins are predicted {lead:g} s "
    "ahead, within {error:g} s"
)
def step_predicted(context, first, percent, lead, error):
    hits = []
    for _, _, ahead in context.played.values():
        for pool, begin, _ in context.turns[first - 1 :]:
            hits.append(
                any(
                    p == pool and abs(expected - begin) <= error and now <= begin - 0.8
                    for now, p, _, expected in ahead
                )
            )
    assert_part(hits, percent)


@then("no demand was forecast")
def step_no_demand(context):
    found = {seed: ahead[0] for seed, (_, _, ahead) in context.played.items() if ahead}
    assert not found, found


@then("demand was forecast on at most {count:d} of {days:d} days")
def step_rare_demand(context, count, days):
    found = {seed for seed, (_, _, ahead) in context.played.items() if ahead}
    assert len(context.played) == days
    assert len(found) <= count, found


@given("a tenth of the jobs is dated {off:g} s off")
def step_clock(context, off):
    context.off = off


@when("a successor learns from the jobs")
def step_successor(context):
    context.successors = {}
    for seed, jobs in context.jobs.items():
        rng = random.Random(seed)
        dated = [
            job._replace(at=min(job.at + context.off, context.until))
            if rng.random() < 0.1
            else job
            for job in jobs
        ]
        successor = TurnForecast(queued=frozenset(POOLS))
        successor.rebuild(dated, context.until)
        context.successors[seed] = successor


@then("{percent:d} % of the successor's begins are within {error:g} s")
def step_successor_begins(context, percent, error):
    hits = []
    for successor in context.successors.values():
        for real, turn in matches(context, successor.turns):
            if real[2] < context.until - 1.0:
                hits.append(turn is not None and abs(turn.begin - real[1]) <= error)
    assert_part(hits, percent)


@then(
    "the successor predicts the same queue within {error:g} s in {percent:d} % of "
    "the cases"
)
def step_same_prediction(context, error, percent):
    hits = []
    for seed, successor in context.successors.items():
        own = context.played[seed][0].prediction
        if own is not None:
            other = successor.prediction
            hits.append(
                other is not None
                and other.service == own.service
                and abs(other.expected - own.expected) <= error
            )
    assert_part(hits, percent)


@given("turns of pools a, b, c, d every {gap:g} s, of which d skips rounds 3 and 5")
def step_skipping(context, gap):
    context.turns = []
    begin = START_S + 1.0
    for number in range(1, 10):
        for pool in POOLS:
            if pool != "d" or number not in (3, 5):
                context.turns.append((pool, begin, begin + gap))
            begin += gap
    context.round_s = 4 * gap
    context.until = begin
    rates = dict.fromkeys(POOLS, 45.0)
    context.arrivals = arrivals_in_turns(context.turns, rates, begin - START_S, 1)


@when("9 rounds have passed")
def step_rounds(context):
    _, _, context.ahead = play(context.arrivals, context.until)


@then("capacity was asked for pool d in rounds {rounds}")
def step_rounds_asked(context, rounds):
    expected = {int(n) for n in rounds.replace(" and", ",").split(",")}
    asked = {
        1 + int((due - START_S) // context.round_s)
        for _, pool, _, due in context.ahead
        if pool == "d"
    }
    assert asked == expected, asked


@then("no demand of pool d was held longer than 1 s after the expected begin")
def step_held(context):
    held = max(now - due for now, pool, _, due in context.ahead if pool == "d")
    assert held <= 1.0, held


@given("{count:d} queues that send {jobs:d} jobs each within the same {seconds:g} s")
def step_bursts(context, count, jobs, seconds):
    context.arrivals = [
        Arrival(START_S + seconds * number / jobs, f"pool-{pool}", WORK)
        for number in range(jobs)
        for pool in range(count)
    ]


@when("they have been quiet for {seconds:g} s")
def step_quiet(context, seconds):
    context.forecast, _, _ = play(context.arrivals, START_S + seconds)


@then("no turn was learned")
def step_no_turn(context):
    assert not context.forecast.turns, context.forecast.turns


@given("pools a, b and c that had turns of {turn:g} s, one after another")
def step_three_turns(context, turn):
    gap_s = 0.1
    context.arrivals = [
        Arrival(START_S + turn * number + gap_s * job, pool, WORK)
        for number, pool in enumerate("abc")
        for job in range(int(turn / gap_s))
    ]
    # Two jobs ahead of the third turn hide its begin until its edges are fitted.
    begin = START_S + 2 * turn
    early = [Arrival(begin - 1.2 + 0.1 * job, "c", WORK) for job in range(2)]
    context.arrivals = sorted([*context.arrivals, *early])


@when("they have been quiet for {seconds:g} s, and pool d has sent nothing")
def step_quiet_and_silent(context, seconds):
    forecast = TurnForecast(queued=frozenset("abcd"))
    context.expected = set()
    last = context.arrivals[-1].at
    pending = iter([*context.arrivals, None])
    arrival = next(pending)
    now = START_S
    while now < last + seconds:
        now += 0.1
        while arrival is not None and arrival.at <= now:
            forecast.record(arrival)
            arrival = next(pending)
        forecast.advance(now)
        if forecast.prediction is not None:
            context.expected.add(forecast.prediction.service)


@then("the next turn was expected of pool d")
def step_expected(context):
    assert context.expected == {"d"}, context.expected
