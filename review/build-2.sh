#!/bin/sh
# Builds the stand-ins, clients and checks of the cases from 6 on. It needs no network.
cd "$(dirname "$0")/.." || exit 1
exec go build -o target/review-lab2 ./review/lab2
