#!/bin/bash
# Plays the case and exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x bin/starlingwinch ] || [ ! -x bin/review-player ]; then
	echo "build first: the build of deploy/balancer.toml, then review/build.sh"
	exit 2
fi
exec bin/review-player pipelined-writes review/3/record.txt
