#!/usr/bin/env bash
# Records what an earlier release writes for other instances: record.sh COMMIT [--cfg knows_eras]
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
root=$(git -C "$here" rev-parse --show-toplevel)
commit=$(git -C "$root" rev-parse --short=7 "$1")
shift
copy=$(mktemp -d)
trap 'rm -rf "$copy"' EXIT
git -C "$root" archive "$commit" | tar -x -C "$copy"
mkdir -p "$copy/examples"
cp "$here/record.rs" "$copy/examples/record.rs"
cd "$copy"
# The files of an archive are as old as the commit: cargo would take them for built.
find . -name '*.rs' -exec touch {} +
export CARGO_TARGET_DIR="${CARGO_TARGET_DIR:-$root/target/recorded}"
cargo rustc --quiet --locked -p skylarkhook --example record -- "$@"
"$CARGO_TARGET_DIR/debug/examples/record" > "$here/$commit.txt"
