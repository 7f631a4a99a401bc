"""Steps for configuration folders."""

import random
import tempfile
from collections import Counter
from pathlib import Path

from behave import given, then, when

from primrosepitch.config.diff import changed_files, diff
from primrosepitch.config.loader import InvalidConfigError, load_folder
from primrosepitch.config.model import merge
from primrosepitch.settings import load_settings

DAMAGING_BYTES = (
    b"{", b"}", b"]", b":", b"- ", b"\n", b"  ", b"&a ", b"*a", b"&a [*a]", b"!!int ",
    b"!!bool ", b"!!timestamp ", b"!!binary ", b"!!python/name:os.system ", b"null",
    b".inf", b"-1", b"\xff", b"\x00", b"<<: ", b"? ", b"2026-13-45", b"9" * 30, b"'",
)  # fmt: skip
EXAMPLES = Path(__file__).resolve().parents[2] / "examples"


def folder(context):
    if "folder" not in context:
        directory = tempfile.TemporaryDirectory()
        context.add_cleanup(directory.cleanup)
        context.folder = Path(directory.name)
    return context.folder


@given('the configuration file "{name}"')
def step_file(context, name):
    text = context.text.replace("<64 digits>", "ab" * 32)
    (folder(context) / name).write_text(text, encoding="utf-8")


@given('the configuration file "{name}" with the line "{line}" after a comment')
def step_file_with_line(context, name, line):
    text = f"# a comment\n{line}\n"
    (folder(context) / name).write_text(text, encoding="utf-8")


@given("the folder is in force")
def step_in_force(context):
    context.in_force = load_folder(folder(context))


@then("the folder holds 2 documents with the teams growers and press-staff")
def step_merged(context):
    documents = load_folder(folder(context))
    assert list(documents) == ["10-base.yaml", "20-more.yaml"]
    cfg = merge(documents)
    assert list(cfg.teams) == ["growers", "press-staff"]
    assert cfg.fleet.max_parallel == 2


def reported_issues(context):
    try:
        load_folder(folder(context))
    except InvalidConfigError as exc:
        return exc.issues
    return []


@then('the folder is refused with exactly "{message}"')
def step_refused(context, message):
    found = [str(issue) for issue in reported_issues(context)]
    assert found == [message], found


@when('the file "{name}" is damaged at random 300 times with seed {seed:d}')
def step_damage(context, name, seed):
    rng = random.Random(seed)
    path = folder(context) / name
    original = path.read_bytes()
    context.results = []
    for _ in range(300):
        data = original
        for _ in range(rng.randrange(1, 4)):
            start = rng.randrange(len(data))
            end = start + rng.randrange(6)
            data = data[:start] + rng.choice(DAMAGING_BYTES) + data[end:]
        path.write_bytes(data)
        context.results.append(reported_issues(context))


@then("each folder was valid or refused with file, problem and remedy")
def step_valid_or_refused(context):
    assert len(context.results) == 300
    assert sum(bool(found) for found in context.results) > 100
    issues = [m for found in context.results for m in found]
    assert all(m.file and m.problem and m.remedy for m in issues)


@then("the folder is refused at {places}")
def step_refused_at(context, places):
    found = [f"{m.file}:{m.line}" for m in reported_issues(context)]
    assert found == places.replace(" and ", ", ").split(", "), reported_issues(context)


@then("1 file is new, 1 has changed and these settings differ")
def step_diff(context):
    new = load_folder(folder(context))
    documents, removed = changed_files(context.in_force, new)
    assert sorted(documents) == ["10-base.yaml", "20-teams.yaml"]
    assert removed == []
    expected = [tuple(row) for row in context.table]
    found = [(c.setting, c.old, c.new) for c in diff(context.in_force, new)]
    assert [row for row in found if "instances." not in row[0]] == expected, found


@then('the example "{name}" has 3 data centres, 5 pools of 6 and 6 teams')
def step_example(context, name):
    context.example = EXAMPLES / name
    context.cfg = cfg = merge(load_folder(context.example))
    per_pool = Counter((i.pool, i.dc) for i in cfg.instances.values())
    assert len({dc for _, dc in per_pool}) == 3
    assert len(cfg.pools) == len(cfg.services) == 5
    assert len(per_pool) == 15 and set(per_pool.values()) == {2}
    assert len(cfg.teams) == 6
    assert max(Counter((i.dc, i.rack) for i in cfg.instances.values()).values()) == 4


@then("its budgets hold when any rack fails while one instance is in maintenance")
def step_example_budgets(context):
    instances = context.cfg.instances.values()
    for service in context.cfg.services.values():
        racks = Counter((i.dc, i.rack) for i in instances if i.pool == service.pool)
        assert sum(racks.values()) - max(racks.values()) - 1 >= service.min_available


@then("its process settings name two entries and a planner in two data centres")
def step_example_processes(context):
    files = sorted((context.example / "processes").iterdir())
    settings = [load_settings(path, {}) for path in files]
    roles = Counter((s.dc, "entry" in s.name) for s in settings)
    assert sorted(roles.values()) == [1, 1, 2, 2] and len(settings) == 6
    assert len({s.address for s in settings}) == 6
