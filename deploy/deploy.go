// Package deploy holds the sample deployments of both first users, and profiles
// of load for `pumiceyard load`.
package deploy

import "embed"

// Files holds one folder per deployment, and profiles that go with either.
//
//go:embed tsagaan-shavar ventilsvaz burst.json
var Files embed.FS
