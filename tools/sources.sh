#!/usr/bin/env bash
# Lists the C++ sources and headers of the project.
cd "$(dirname "$0")/.." && find include src apps platform tools tests bench examples fuzz -name '*.hpp' -o -name '*.cpp' | sort
