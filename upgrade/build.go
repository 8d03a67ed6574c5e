package upgrade

import "runtime/debug"

// buildLength is the number of characters that name a commit.
const buildLength = 12

// Build returns the commit that this program was built from, empty where the builder did not note it.
func Build() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return ""
	}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			return setting.Value[:min(buildLength, len(setting.Value))]
		}
	}
	return ""
}
