"""Entry point of `python -m bench`."""

import sys

from bench.ui import main

sys.exit(main())
