#!/bin/sh
# Lists the project's C++ files, except generated code.
find include src platform standins tests bench \( -name '*.h' -o -name '*.cpp' \) -print | grep -v '/generated/' | sort
