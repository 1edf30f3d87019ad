#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
mkdir -p target/review-2
g++ -std=c++20 -O1 -Wall -Wextra -pthread -o target/review-2/standin review/standin-2/standin.cpp
