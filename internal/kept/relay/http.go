package relay

import (
	"bytes"
	"context"
	"io"
	"net/http"
)

// HTTP is a Transport that makes calls to the store at an address over HTTP/1.1.
type HTTP struct {
	Address string // host:port
	Client  *http.Client
}

const maxReplyBytes = 16 << 20 // bytes

// Do implements Transport.
func (t *HTTP) Do(ctx context.Context, c Call) (Reply, error) {
	req, err := http.NewRequestWithContext(ctx, c.Method, "http://"+t.Address+c.Target, bytes.NewReader(c.Body))
	if err != nil {
		return Reply{}, err
	}
	if len(c.Body) > 0 {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := t.Client.Do(req)
	if err != nil {
		return Reply{}, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err != nil {
		return Reply{}, err
	}
	return Reply{Status: resp.StatusCode, Body: body}, nil
}
