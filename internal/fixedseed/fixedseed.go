// Package fixedseed, imported for its effect by tests, gives rapid a fixed seed,
// so that a test run always has the same verdict. The flags -rapid.seed and
// -rapid.checks still override it.
package fixedseed

import (
	"flag"

	// rapid registers its flags when it is imported.
	_ "pgregory.net/rapid"
)

func init() {
	set("rapid.seed", "20261202")
	set("rapid.nofailfile", "true")
}

func set(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic("fixedseed: " + err.Error())
	}
}
