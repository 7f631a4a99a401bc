"""Steps about configuration folders."""

import tempfile
from pathlib import Path

from behave import given, then

from primrosepitch.config.diff import changed_files, diff
from primrosepitch.config.loader import ConfigMistakesError, load_folder
from primrosepitch.config.model import merge


def folder(context):
    if "folder" not in context:
        holder = tempfile.TemporaryDirectory()
        context.add_cleanup(holder.cleanup)
        context.folder = Path(holder.name)
    return context.folder


@given('the configuration file "{name}"')
def step_file(context, name):
    text = context.text.replace("<64 digits>", "ab" * 32)
    (folder(context) / name).write_text(text, encoding="utf-8")


@given('the configuration file "{name}" with the line "{line}" after a comment')
def step_line(context, name, line):
    text = f"# a comment\n{line}\n"
    (folder(context) / name).write_text(text, encoding="utf-8")


@given("the folder as it is in force")
def step_in_force(context):
    context.in_force = load_folder(folder(context))


@then("the folder holds 2 documents with the teams growers and press-staff")
def step_loaded(context):
    documents = load_folder(folder(context))
    assert list(documents) == ["10-base.yaml", "20-more.yaml"]
    cfg = merge(documents)
    assert list(cfg.teams) == ["growers", "press-staff"]
    assert cfg.fleet.max_parallel == 2


def mistakes(context):
    try:
        load_folder(folder(context))
    except ConfigMistakesError as exc:
        return exc.mistakes
    return []


@then('the folder is refused with exactly "{message}"')
def step_refused(context, message):
    found = [str(m) for m in mistakes(context)]
    assert found == [message], found


@then("the folder is refused at {places}")
def step_refused_at(context, places):
    found = [f"{m.file}:{m.line}" for m in mistakes(context)]
    assert found == places.replace(" and ", ", ").split(", "), mistakes(context)


@then("1 file is new, 1 has changed and these settings differ")
def step_diff(context):
    new = load_folder(folder(context))
    documents, removed = changed_files(context.in_force, new)
    assert sorted(documents) == ["10-base.yaml", "20-teams.yaml"]
    assert removed == []
    expected = [tuple(row) for row in context.table]
    found = [(c.setting, c.old, c.new) for c in diff(context.in_force, new)]
    assert [row for row in found if "instances." not in row[0]] == expected, found
