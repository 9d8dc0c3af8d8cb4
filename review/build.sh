#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. Needs a C++ compiler and no library.
set -eu
cd "$(dirname "$0")"
mkdir -p build
"${CXX:-g++}" -std=c++20 -O2 -Wall -Wextra -Wno-missing-field-initializers -pthread standin/main.cpp -o build/standin
