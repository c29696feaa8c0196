#!/usr/bin/env bash
# Installs the Debian packages that the build, the tests and the linter need; does nothing when all are there.
set -euo pipefail
packages=(g++ cmake curl python3 ninja-build ccache make clang-format clang-tidy-16
  libboost1.81-dev libboost-log1.81-dev libboost-test1.81-dev libboost-json1.81-dev
  libboost-url1.81-dev libboost-thread1.81-dev libboost-filesystem1.81-dev libtclap-dev libcereal-dev prometheus-cpp-dev
  libxxhash-dev libssl-dev zlib1g-dev librapidcheck-dev)
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || missing+=("$package")
done
if [ ${#missing[@]} -gt 0 ]; then
  echo "installing: ${missing[*]}"
  export DEBIAN_FRONTEND=noninteractive
  apt-get update -q >/dev/null
  apt-get install -y -q "${missing[@]}" >/dev/null
fi
