#!/usr/bin/env bash
# Stops a node with SIGTERM while a best-effort job that it took waits for capacity.
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
set -u
cd "$(dirname "$0")/../.."
exec target/review-2/standin2 stop-while-waiting review/7/record.txt
