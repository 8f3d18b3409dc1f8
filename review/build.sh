#!/usr/bin/env bash
# Builds the stand-ins and the cases that the scripts below review/ start. Needs no network; the
# build of the deploy file comes first.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline -p deckstandin
mkdir -p target/review
for source in review/tools/*.rs; do
    name=$(basename "$source" .rs)
    [ "$name" = common ] && continue
    rustc --edition 2024 -O -o "target/review/$name" "$source"
done
