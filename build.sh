#!/usr/bin/env bash
# Builds, tests and measures the project: ./build.sh COMMAND [OPTIONS]
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")"

usage() {
  cat <<'TEXT'
usage: ./build.sh COMMAND [OPTIONS]

  build [--sanitize] [TARGET...]  build everything, or the named targets, into out/
  test [--sanitize]    build, then run every test; without --sanitize also format and lint
  demo                 run the whole system on loopback, step by step
  bench [NAME...]      run the measurements; --capacity measures the slopes of docs/CAPACITY.md
  soak [OPTIONS]       long randomised runs of the pure steps (--seed N --steps M --seeds K)
  fault-soak [OPTIONS] the real programs under faults (--seed N --seeds K --seconds S --entries E)
  proto                regenerate libs/wire/generated (needs protobuf-compiler)
  format               rewrite the sources with clang-format
  check-format         fail when clang-format would change something
  lint                 run clang-tidy on the sources
  install-packages     install the Debian packages that all of this needs
TEXT
}

packages=(libevent-dev libzmq3-dev cppzmq-dev libprotobuf-dev protobuf-compiler
  libboost-dev libboost-program-options-dev libfmt-dev catch2 nlohmann-json3-dev
  libvalijson-dev librapidcheck-dev libsodium-dev libxxhash-dev ccache gnuplot-nox
  ninja-build libclang-rt-14-dev valgrind cmake g++ pkg-config clang-format clang-tidy curl)

install_packages() {
  export DEBIAN_FRONTEND=noninteractive
  apt-get update -qq
  apt-get install -y -qq --no-install-recommends "${packages[@]}"
}

jobs="${JOBS:-$(nproc)}"
export CCACHE_BASEDIR=$PWD CCACHE_NOHASHDIR=1

list_sources() {
  git ls-files --cached --others --exclude-standard 'libs/*.cpp' 'libs/*.h' 'apps/*.cpp' 'apps/*.h' \
    'tools/*.cpp' 'tools/*.h' 'platform/*.cpp' 'platform/*.h' | grep -v '/generated/'
}

configure() { # FOLDER CMAKE_OPTIONS...
  local folder=$1
  shift
  cmake -S . -B "$folder" -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo "$@" >"$folder.configure.log" 2>&1 ||
    { cat "$folder.configure.log"; return 1; }
}

build() {
  mkdir -p out
  local folder=out/build options=()
  if [[ "${1:-}" == --sanitize ]]; then
    folder=out/sanitize
    options=(-DWASABIVALE_SANITIZE=ON)
    shift
  fi
  configure "$folder" "${options[@]}"
  ninja -C "$folder" -j "$jobs" --quiet "$@"
}

check_format() {
  list_sources | xargs -r clang-format --dry-run --Werror
  echo "format: clean"
}

# Prints each compiled source followed by the project headers it depends on.
list_sources_with_headers() {
  ninja -C out/build -t deps 2>/dev/null | awk -v root="$PWD/" '
    function flush() { if (source != "") print source deps }
    /^[^ ].*: #deps/ { flush(); source = ""; deps = ""; next }
    NF == 1 {
      file = $1
      sub(/^\.\.\/\.\.\//, "", file)
      if (index(file, root) == 1) file = substr(file, length(root) + 1)
      if (file !~ /^(libs|apps|platform|tools)\//) next
      if (source == "" && file ~ /\.cpp$/) source = file
      else deps = deps " " file
    }
    END { flush() }' | grep -v '^[^ ]*/generated/' | sort -u -k1,1
}

# Lints the sources that changed, or whose included headers changed, since their
# last clean run. Needs a build, because ninja records the header dependencies.
lint() {
  mkdir -p out/lint
  [[ -f out/build/.ninja_deps ]] || build
  list_sources_with_headers | xargs -P "$jobs" -d '\n' -n 1 bash -c '
    read -r source headers <<<"$1"
    [[ -f "$source" ]] || exit 0
    key="out/lint/$(cat .clang-tidy "$source" $headers 2>/dev/null | sha256sum | cut -c1-32)"
    [[ -e "$key" ]] && exit 0
    clang-tidy --quiet -p out/build "$source" 2>"out/lint/stderr.$$" >"out/lint/stdout.$$" || {
      cat "out/lint/stdout.$$"; grep -E "error" "out/lint/stderr.$$"; rm -f out/lint/std*.$$; exit 1; }
    rm -f out/lint/std*.$$; touch "$key"' lint || { echo "lint: failed"; return 1; }
  echo "lint: clean ($(list_sources_with_headers | wc -l) files)"
}

run_tests() {
  local folder=out/build
  if [[ "${1:-}" == --sanitize ]]; then
    build --sanitize
    folder=out/sanitize
  else
    check_format
    build
    lint
  fi
  ctest --test-dir "$folder" --output-on-failure -j "$((jobs / 2 > 0 ? jobs / 2 : 1))"
  if [[ -f KNOWN-RED.txt ]]; then
    echo "known to be red (KNOWN-RED.txt):"
    cat KNOWN-RED.txt
  fi
}

proto() {
  protoc --proto_path=libs/wire/proto --cpp_out=libs/wire/generated libs/wire/proto/*.proto
}

command=${1:-help}
shift || true
case "$command" in
build) build "$@" ;;
test) run_tests "$@" ;;
demo) build && exec tools/demo/demo.sh "$@" ;;
bench) build && exec tools/bench/bench.sh "$@" ;;
soak) build wasabivale-soak && exec out/build/bin/wasabivale-soak "$@" ;;
fault-soak)
  build wasabivale-fault-soak && exec out/build/bin/wasabivale-fault-soak --logs out/fault-soak "$@"
  ;;
proto) proto ;;
format) list_sources | xargs -r clang-format -i ;;
check-format) check_format ;;
lint) lint ;;
install-packages) install_packages ;;
help | --help | -h) usage ;;
*) usage >&2; exit 2 ;;
esac
