// Package deploy holds the sample deployments of both first users.
package deploy

import "embed"

// Files holds one folder per deployment.
//
//go:embed tsagaan-shavar ventilsvaz
var Files embed.FS
