#!/bin/bash
# Builds the stand-ins of the cases of the third review, with the compiler alone. Run it in the root of the repository.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/stand_ins_3/*.rs; do
    name=$(basename "$source" .rs)
    if [ "$name" != world ]; then
        rustc --edition 2024 -O "$source" -o "target/review-3/$name"
    fi
done
