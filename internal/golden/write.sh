#!/bin/sh
# Writes the golden files of a commit; see README.md. Run this script from the repository's root.
set -eu
commit=$1
old=/tmp/golden-$commit
[ -d "$old" ] || git worktree add --detach "$old" "$commit"
cp -r internal/golden "$old/internal/"
run() { (cd "$old" && go test -count=1 "./$1" -run "^$2\$" -golden.write "testdata/golden/$3"); }
for package in server runner protocol directory ledger storage; do
	rm -rf "$old/$package/testdata/golden"
	cp "$package/golden_test.go" "$old/$package/"
done
for package in server runner protocol; do run $package TestGoldenMessages "kinds-$commit.json"; done
for package in directory ledger; do
	run $package TestGoldenCommands "kinds-$commit.json"
	run $package TestGoldenLog "log-$commit.json"
done
run storage TestGoldenFolder "folder-$commit"
for package in server runner protocol directory ledger storage; do
	mkdir -p "$package/testdata"
	cp -r "$old/$package/testdata/golden" "$package/testdata/"
done
