#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into target/review/.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
mkdir -p target/review
g++ -std=c++20 -O1 -Wall -Wextra -pthread -o target/review/standin review/standin/standin.cpp
