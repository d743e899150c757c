"""Run lacewinglift with ``python -m lacewinglift``."""

import sys

from lacewinglift.main import main

sys.exit(main())
