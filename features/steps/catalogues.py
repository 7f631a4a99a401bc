"""Steps about the docs' catalogues and the import rules."""

import ast
import sys
from pathlib import Path

from behave import then, when

ROOT = Path(__file__).resolve().parent.parent.parent
PURE = (
    "config",
    "fleet",
    "jobs",
    "planning",
    "request",
    "scheduling",
    "teams",
)
FORBIDDEN = ("asyncio", "socket", "selectors", "threading", "primrosepitch.net")


@when("the catalogue pages are written from the registries")
def step_pages(context):
    sys.path.insert(0, str(ROOT / "scripts"))
    import write_catalogues

    context.pages = write_catalogues.pages()


@then("they equal the pages in docs")
def step_equal(context):
    assert len(context.pages) == 2
    for path, text in context.pages.items():
        assert path.read_text(encoding="utf-8") == text, f"run make catalogues: {path}"


@when("the imports of the pure packages are read")
def step_imports(context):
    context.imports = []
    for package in PURE:
        for path in (ROOT / "primrosepitch" / package).glob("*.py"):
            for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
                if isinstance(node, ast.Import):
                    context.imports += [(path.name, a.name) for a in node.names]
                elif isinstance(node, ast.ImportFrom):
                    context.imports.append((path.name, node.module or ""))
    assert context.imports


@then("none of them names asyncio, socket or primrosepitch.net")
def step_none(context):
    bad = [(f, n) for f, n in context.imports if n.startswith(FORBIDDEN)]
    assert not bad, bad
