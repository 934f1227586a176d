package distribution

import "github.com/pumiceyard/pumiceyard/internal/version/publication"

// Decode reads what the store holds under publication.HeadKey, or what a peer
// pushed, and validates it. A value that is damaged must not be stepped in: it
// would be spread, and put in force by nobody.
func Decode(value []byte, version uint64) (Snapshot, *publication.Head, error) {
	head, err := publication.DecodeHead(value)
	if err != nil {
		return Snapshot{}, nil, err
	}
	snapshot := Snapshot{Revision: head.Document.Revision, Version: version, Encoded: value}
	return snapshot, head, nil
}
