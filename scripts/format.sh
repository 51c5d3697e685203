#!/bin/sh
# Formats the sources in place (--write), or fails if one is not formatted (--check, the default).
set -eu
cd "$(dirname "$0")/.."
files=$(git ls-files --cached --others --exclude-standard '*.h' '*.cpp')
case "${1:---check}" in
--write) echo "$files" | xargs clang-format-14 -i ;;
--check) echo "$files" | xargs clang-format-14 --dry-run -Werror ;;
*) echo "usage: format.sh --write|--check" >&2; exit 2 ;;
esac
