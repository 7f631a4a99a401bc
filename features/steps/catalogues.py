"""Steps for the generated catalogues in docs and the import rules."""

import ast
import sys
from pathlib import Path

from behave import then, when

ROOT = Path(__file__).resolve().parent.parent.parent
PURE_PACKAGES = (
    "config",
    "fleet",
    "jobs",
    "planning",
    "request",
    "scheduling",
    "teams",
)
FORBIDDEN_MODULES = ("asyncio", "socket", "selectors", "threading", "primrosepitch.net")


@when("the catalogue pages are written from the registries")
def step_write_pages(context):
    sys.path.insert(0, str(ROOT / "scripts"))
    import write_catalogues

    context.pages = write_catalogues.pages()


@then("they equal the pages in docs")
def step_pages_equal(context):
    assert len(context.pages) == 2
    for path, text in context.pages.items():
        assert path.read_text(encoding="utf-8") == text, (
            f"{path} is out of date; run make catalogues"
        )


@when("the imports of the pure packages are read")
def step_read_imports(context):
    context.imports = []
    for package in PURE_PACKAGES:
        for path in (ROOT / "primrosepitch" / package).glob("*.py"):
            for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
                if isinstance(node, ast.Import):
                    context.imports += [(path.name, a.name) for a in node.names]
                elif isinstance(node, ast.ImportFrom):
                    context.imports.append((path.name, node.module or ""))
    assert context.imports


@then("none of them names asyncio, socket or primrosepitch.net")
def step_no_forbidden_import(context):
    bad = [(f, n) for f, n in context.imports if n.startswith(FORBIDDEN_MODULES)]
    assert not bad, bad
