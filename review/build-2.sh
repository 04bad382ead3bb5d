#!/bin/sh
# Builds the programs that the cases 6 to 10 start, with the Rust compiler alone. Run after the build of deploy/balancer.toml.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/standins-2/*.rs; do
    name=$(basename "$source" .rs)
    if [ "$name" != common ]; then
        rustc --edition 2021 -O -o "target/review-2/$name" "$source"
    fi
done
