"""Step that runs primrosectl against a real entry and a platform stand-in."""

import asyncio
import shlex

from behave import when
from typer.testing import CliRunner

from primrosepitch.bin.ctl import app
from primrosepitch.bin.entry import Entry
from primrosepitch.settings import Settings
from primrosepitch.trace import NullRecorder
from standins.platform import Platform

SCENARIO_S = 60


@when("primrosectl runs these commands against an entry and a platform stand-in")
def step_commands(context):
    asyncio.run(asyncio.wait_for(run(context), SCENARIO_S))


async def run(context):
    platform = Platform()
    await platform.start()
    settings = Settings(
        name="e1", dc="linz", instance="i1", address="127.0.0.1", http_port=0,
        peer_port=0, platform=f"127.0.0.1:{platform.server.port}",
    )  # fmt: skip
    entry = Entry(settings, NullRecorder())
    task = asyncio.ensure_future(entry.run())
    try:
        while not entry.state.may_dispatch:
            await asyncio.sleep(0.005)
        key_id = ""
        for row in context.table:
            line = row["command"].replace("KEYID", key_id)
            result = await asyncio.to_thread(run_command, context, entry, line)
            expected = row["prints"].replace("KEYID", key_id)
            assert result.exit_code == int(row["code"]), (line, result.output)
            assert expected in result.output, (line, result.output)
            if line.startswith("key give") and not key_id:
                key_id = result.output.split()[-1].split(".")[0]
    finally:
        entry.stop()
        await task
        await platform.stop()


def run_command(context, entry, line):
    """Run one command line while the entry runs in the event loop's thread."""
    args = [str(context.folder) if a == "FOLDER" else a for a in shlex.split(line)]
    env = {"PRIMROSE_ENTRY": entry.http_address(), "USER": "tester", "COLUMNS": "200"}
    return CliRunner().invoke(app, args, env=env)
