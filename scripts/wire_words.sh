#!/bin/sh
# Names of the users' platform belong in platform/ and deploy/ only: fails if one is used in src/ or
# include/. It checks the quoted names of platform/names.h that cannot be ordinary words: those with
# a capital letter, a dash or a slash.
set -eu
cd "$(dirname "$0")/.."
platformNames=$(sed -n 's/.*= "\([^"]*\)";.*/\1/p' platform/names.h | grep -E '[A-Z/-]' \
    | grep -v '^poplarspool')
failed=0
for name in $platformNames; do
    if grep -rnF "\"$name\"" src include; then
        echo "wire_words: $name is a name of the platform and belongs to platform/names.h" >&2
        failed=1
    fi
done
exit $failed
