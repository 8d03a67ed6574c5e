// Package fixedseed sets a fixed seed for rapid, so that property tests are
// reproducible. Tests import it for its side effect. The flag -rapid.seed still
// overrides the seed.
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
