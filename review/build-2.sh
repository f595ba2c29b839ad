#!/bin/sh
# The stand-ins of the cases 6 to 10 need Python 3.11 and its standard library only, so
# there is nothing to compile or install. This checks that they can be loaded.
cd "$(dirname "$0")" || exit 1
exec python3 -B -c 'import sys; assert sys.version_info >= (3, 11); import platform_standins'
