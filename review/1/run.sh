#!/usr/bin/env bash
# Case 1 with processes on loopback; see claim.txt. TROUBLE=0 leaves the outage of the store out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/unanswered_call ] && [ -x target/release/pollenpin-edge ] || exit 2
exec target/review/unanswered_call review/1/record.txt
