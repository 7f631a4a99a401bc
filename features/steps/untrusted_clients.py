"""Steps for crowds of misbehaving clients at a node that runs as a process."""

import asyncio

from behave import given, then, when

from standins.client_crowd import BEHAVIOURS, Crowd
from standins.node_process import running_node

CROWD_S = 2.0
"""Time for which the clients send; longer floods show no other figures."""

ANSWER_S = 15.0
"""Time after which an ordinary request counts as not answered."""

SCENARIO_S = 60.0
"""Time after which a scenario fails, whatever hangs."""

SAMPLE_S = 0.02


@given("a node with {memory_mb:d} MB and {descriptors:d} descriptors")
def step_node(context, memory_mb, descriptors):
    context.limits = {"memory_mb": memory_mb, "file_descriptors": descriptors}


async def _sample_descriptors(node, counts):
    while node.alive:
        counts.append(node.descriptors())
        await asyncio.sleep(SAMPLE_S)


async def _play(context, address, behaviour, clients):
    async with running_node(context.limits) as node:
        counts = context.descriptors = []
        sampler = asyncio.ensure_future(_sample_descriptors(node, counts))
        crowd = Crowd(getattr(node, address), clients, CROWD_S)
        try:
            await crowd.run(BEHAVIOURS[behaviour])
            context.answered = await node.answers(ANSWER_S)
        finally:
            crowd.close()
            sampler.cancel()
        context.alive = node.alive
        context.peak_mb = node.peak_mb() if node.alive else None
        context.log = node.log()
        context.ended = await asyncio.to_thread(node.end)


def _run(context, address, behaviour, clients):
    play = _play(context, address, behaviour, clients)
    asyncio.run(asyncio.wait_for(play, SCENARIO_S))


@when("{clients:d} clients of its callers' address {behaviour}")
def step_callers(context, clients, behaviour):
    _run(context, "front", behaviour, clients)


@when("{clients:d} clients of its readiness address {behaviour}")
def step_readiness(context, clients, behaviour):
    _run(context, "readiness", behaviour, clients)


@when("{clients:d} clients of its metrics address {behaviour}")
def step_metrics(context, clients, behaviour):
    _run(context, "metrics", behaviour, clients)


@then("the process lives, with at most {memory_mb:d} MB and {most:d} descriptors")
def step_bounds(context, memory_mb, most):
    figures = f"{context.peak_mb} MB, {max(context.descriptors)} descriptors"
    assert context.alive, "the process has ended"
    assert context.peak_mb <= memory_mb, figures
    assert max(context.descriptors) <= most, figures


@then("ordinary requests are answered, and the process ends when asked to")
def step_answered(context):
    assert context.answered, "an ordinary request got no answer"
    assert context.ended, "the process had to be killed"
