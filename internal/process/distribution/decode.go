package distribution

import "github.com/pumiceyard/pumiceyard/internal/version/publication"

// Decode decodes and validates a value that the store holds under
// publication.HeadKey or that a peer pushed. A damaged value must not reach
// Node.Step: the node would spread it to its peers although none can apply it.
func Decode(value []byte, version uint64) (Snapshot, *publication.Head, error) {
	head, err := publication.DecodeHead(value)
	if err != nil {
		return Snapshot{}, nil, err
	}
	snapshot := Snapshot{Revision: head.Document.Revision, Version: version, Encoded: value}
	return snapshot, head, nil
}
