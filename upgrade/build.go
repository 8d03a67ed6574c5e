package upgrade

import "runtime/debug"

// commitLength is the number of hex digits of the commit that are kept.
const commitLength = 12

// Build returns the commit this program was built from, or "" if it is unknown.
func Build() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return ""
	}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			return setting.Value[:min(commitLength, len(setting.Value))]
		}
	}
	return ""
}
