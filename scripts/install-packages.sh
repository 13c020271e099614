#!/usr/bin/env bash
# Installs the Debian packages that lavenderhall is built and tested with.
# Does nothing when all of them are there already.
set -euo pipefail

packages=(
    g++ cmake ninja-build clang-format clang-tidy python3
    libhttp-parser-dev libuv1-dev libzmq3-dev cppzmq-dev libprotobuf-dev
    prometheus-cpp-dev libpopt-dev liblog4cxx-dev libboost1.81-dev
    libcriterion-dev nlohmann-json3-dev libxxhash-dev libpcg-cpp-dev
    libsodium-dev libbenchmark-dev libclang-rt-14-dev
)

missing=()
for package in "${packages[@]}"; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' && continue
    missing+=("$package")
done
if [ ${#missing[@]} -eq 0 ]; then
    exit 0
fi
if [ "$(id -u)" -ne 0 ]; then
    echo "install-packages: run as root once; missing: ${missing[*]}" >&2
    exit 1
fi
export DEBIAN_FRONTEND=noninteractive
apt-get update -qq
apt-get install -y -qq --no-install-recommends "${missing[@]}"
