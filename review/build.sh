#!/usr/bin/env bash
# Builds the stand-ins of the scripts, after the build of the deploy file. Their program is
# placed below the folder of the project's program, where the project's own stand-ins look
# for it.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --locked --offline \
  --manifest-path review/standins/Cargo.toml --target-dir target/review
mkdir -p target/release/review
cp target/review/release/review-standins target/release/review/standins
