#!/bin/sh
# Fails where a word of the users' platform stands outside platform/ and deploy/. The words are the
# quoted names of platform/names.h that can't be ordinary words: with a capital, a dash or a slash.
set -eu
cd "$(dirname "$0")/.."
words=$(sed -n 's/.*= "\([^"]*\)";.*/\1/p' platform/names.h | grep -E '[A-Z/-]' | grep -v '^poplarspool')
found=0
for word in $words; do
    if grep -rnF "\"$word\"" src include; then
        echo "wire_words: $word belongs to platform/names.h" >&2
        found=1
    fi
done
exit $found
