#!/usr/bin/env bash
# Builds the stand-ins of the scripts, after the build of the deploy file. They are built from a
# copy below target/, at the same depth, with the versions of the project's own lock file. Their
# program is placed below the folder of the project's program, where the project's own
# stand-ins look for it.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/release/review
rm -rf target/standins
cp -r review/standins target/standins
cp Cargo.lock target/standins/Cargo.lock
cargo build --release --offline \
  --manifest-path target/standins/Cargo.toml --target-dir target/review
cp target/review/release/review-standins target/release/review/standins
