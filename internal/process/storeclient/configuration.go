package storeclient

import (
	"context"

	"github.com/pumiceyard/pumiceyard/internal/version/publication"
)

// Configuration is the store as publication uses it.
type Configuration struct {
	client *Client
}

var _ publication.Store = Configuration{}

// Configuration returns the client as a store of publications.
func (c *Client) Configuration() Configuration { return Configuration{client: c} }

// Get reads a key, at the floor's version or a later one.
func (s Configuration) Get(ctx context.Context, key string, floor uint64) (publication.Stored, error) {
	found, err := s.client.Get(ctx, ForPublication, key, floor)
	if err != nil {
		return publication.Stored{}, err
	}
	return publication.Stored{Value: found.Value, Version: found.Version}, nil
}

// CompareAndSet writes a key if it is at the expected version.
func (s Configuration) CompareAndSet(ctx context.Context, key string, value []byte, expected uint64, mine func([]byte) bool) (publication.Outcome, error) {
	result, err := s.client.CompareAndSet(ctx, ForPublication, Write{
		Key: key, Value: value, Expected: expected, Mine: mine,
	})
	if err != nil {
		return publication.Outcome{}, err
	}
	return publication.Outcome{
		Swapped:  result.Swapped,
		ReadBack: result.ReadBack,
		Current:  publication.Stored{Value: result.Value, Version: result.Version},
	}, nil
}
