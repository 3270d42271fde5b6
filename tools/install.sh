#!/usr/bin/env bash
# Installs the packages for building and testing, and those in EXTRA_PACKAGES, unless all are present.
set -eu
packages="build-essential cmake ninja-build pkg-config clang clang-format clang-tidy cppcheck libclang-rt-14-dev
libglib2.0-dev libjansson-dev libyaml-dev liburcu-dev libzmq3-dev libmicrohttpd-dev
libneon27-gnutls-dev libprotobuf-c-dev libuv1-dev libhttp-parser-dev libxxhash-dev libgsl-dev check librapidcheck-dev
${EXTRA_PACKAGES:-}"
missing=""
for package in $packages; do
	dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' ||
		missing="$missing $package"
done
[ -z "$missing" ] && exit 0
sudo=""
[ "$(id -u)" = 0 ] || sudo=sudo
$sudo apt-get update -qq
# shellcheck disable=SC2086
$sudo env DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends $missing >/dev/null
