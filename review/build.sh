#!/usr/bin/env bash
# Builds the stand-ins of the scripts. Needs the packages of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
g++ -std=c++17 -O1 -Wall -pthread -o bin/standin standin/*.cc
