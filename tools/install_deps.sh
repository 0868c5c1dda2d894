#!/usr/bin/env bash
# Installs the Debian 12 packages that the build, the tests and the plots need.
set -euo pipefail

PACKAGES=(
  g++ cmake ninja-build make git clang-format-14 clang-tidy-14 clang-format clang-tidy
  libh2o-dev libuv1-dev libssl-dev libcapnp-dev libabsl-dev
  libtomlplusplus-dev nlohmann-json3-dev libboost-dev
  libhttp-parser-dev libdocopt-dev libgoogle-glog-dev doctest-dev librapidcheck-dev
  gnuplot-nox curl
)

missing=()
for package in "${PACKAGES[@]}"; do
  if ! dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed'; then
    missing+=("$package")
  fi
done
[ ${#missing[@]} -eq 0 ] && exit 0

as_root=()
[ "$(id -u)" -eq 0 ] || as_root=(sudo)
"${as_root[@]}" apt-get update -qq
DEBIAN_FRONTEND=noninteractive "${as_root[@]}" apt-get install -y -qq --no-install-recommends "${missing[@]}"
