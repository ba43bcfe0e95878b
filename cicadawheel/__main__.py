"""Entry point for ``python -m cicadawheel``."""

import sys

from cicadawheel.ui import main

if __name__ == "__main__":
    sys.exit(main())
