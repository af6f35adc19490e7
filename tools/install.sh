#!/usr/bin/env bash
# Installs the packages listed in packages.txt that are not yet installed.
set -euo pipefail
cd "$(dirname "$0")/.."
missing=()
while read -r name; do
  dpkg-query -W -f='${Status}' "$name" 2>/dev/null | grep -q 'install ok installed' || missing+=("$name")
done < packages.txt
[ ${#missing[@]} -eq 0 ] && exit 0
sudo=""
[ "$(id -u)" -eq 0 ] || sudo=sudo
$sudo apt-get update
DEBIAN_FRONTEND=noninteractive $sudo apt-get install -y "${missing[@]}"
