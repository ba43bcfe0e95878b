"""Runs one case: its exit code, its time limit and its record."""

import asyncio
import os
import shutil
import sys
import traceback
from pathlib import Path

RULE_BROKEN, RULE_HELD, NOT_RUN = 1, 0, 2
TIME_LIMIT_S = 115.0


def with_trouble():
    """Return whether the case is played with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(path, make_site, play):
    """Play a case and exit with its code.

    ``play`` is called with the site and returns a text that tells how the rule was
    broken, or an empty one.
    """
    folder = Path(path).resolve().parent
    code, site = NOT_RUN, None
    try:
        site = make_site()
        broken = asyncio.run(_within_limit(site, play))
        site.note("result:", broken or "the rule held")
        print(broken or "the rule held")
        code = RULE_BROKEN if broken else RULE_HELD
    except Exception:
        traceback.print_exc()
    finally:
        if site is not None:
            site.stop()
            record = "\n".join(site.record) + "\n"
            (folder / "record.txt").write_text(record)
            shutil.rmtree(site.folder, ignore_errors=True)
    sys.exit(code)


async def _within_limit(site, play):
    async with asyncio.timeout(TIME_LIMIT_S):
        return await play(site)
