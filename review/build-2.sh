#!/bin/sh
# Builds the stand-ins that the scripts of cases 6 to 10 start. Run after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --locked --offline -p decknode -p deckstandin
mkdir -p target/review-2
for driver in endless_events many_items end_lost slow_readers blocked_loads; do
  rustc --edition 2024 -O -o "target/review-2/$driver" "review/tools-2/$driver.rs"
done
