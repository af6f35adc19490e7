#!/usr/bin/env bash
# Fuzzes the decoders of bytes from outside, SECONDS (default 15) for each
# target, with the seed SEED (default 1). New inputs stay in the build folder;
# a crash leaves its input there and fails.
set -euo pipefail
cd "$(dirname "$0")/.."
seconds=${1:-15}
seed=${2:-1}
build=build-fuzz
targets=(http_messages inner_messages stored_frames platform_bodies)
cmake -S . -B $build -G Ninja -DCMAKE_CXX_COMPILER=clang++ -DCMAKE_C_COMPILER=clang \
  -DCMAKE_BUILD_TYPE=Debug -DALMONDGATE_BUILD_TESTS=OFF -DALMONDGATE_FUZZ=ON >/dev/null
cmake --build $build --target "${targets[@]/%/_fuzz}"
failed=0
for name in "${targets[@]}"; do
  mkdir -p "$build/found/$name"
  (cd "$build" && "./${name}_fuzz" -seed="$seed" -max_total_time="$seconds" -max_len=4096 \
    -timeout=5 -rss_limit_mb=1024 -print_final_stats=1 -verbosity=0 \
    "found/$name" "../fuzz/corpus/$name" 2>&1 | grep -v -e '^INFO' -e '^"' -e 'dictionary') || failed=1
done
exit $failed
