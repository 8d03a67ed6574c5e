#!/bin/sh
# Tests that an earlier commit can read the data that this build writes; see README.md. Run this
# script from the repository's root, after write.sh has created the worktree.
set -u
commit=$1
old=/tmp/golden-$commit
made=$(mktemp -d)
for package in server runner protocol directory ledger; do
	kinds=TestGoldenMessages
	case $package in directory | ledger) kinds=TestGoldenCommands ;; esac
	go test -count=1 "./$package" -run "^$kinds\$" -golden.write "$made/$package-kinds.json" &&
		(cd "$old" && go test -count=1 "./$package" -run "^$kinds\$" -golden.read "$made/$package-kinds.json")
done
for package in directory ledger; do
	go test -count=1 "./$package" -run '^TestGoldenLog$' -golden.write "$made/$package-log-.json" &&
		(cd "$old" && go test -count=1 "./$package" -run '^TestGoldenLog$' -golden.read "$made/$package-log-.json")
done
