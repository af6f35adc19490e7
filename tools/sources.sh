#!/usr/bin/env bash
# Lists every C++ file of the project.
cd "$(dirname "$0")/.." && find include src apps platform tools tests bench examples -name '*.hpp' -o -name '*.cpp' | sort
