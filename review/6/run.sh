#!/usr/bin/env bash
# Freezes the machine that has taken a best-effort job, and kills the process that runs its tasks.
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
set -u
cd "$(dirname "$0")/../.."
exec target/review-2/standin2 frozen-home review/6/record.txt
