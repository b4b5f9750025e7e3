#!/bin/sh
# Builds the stand-ins of the cases, which need nothing but the standard library.
set -e
cd "$(dirname "$0")/tool"
go build -o ../../target/reviewtool .
