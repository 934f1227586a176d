// Package evacuations asks, for an operator, that nothing starts in a failure domain. The request
// is a key in the platform's store, which the entry VMs watch; it holds until it is taken away.
package evacuations

import (
	"context"
	"fmt"
	"net/http"
	"strings"

	"github.com/pumiceyard/pumiceyard/internal/kept/daemon"
	"github.com/pumiceyard/pumiceyard/internal/kept/relay"
	"github.com/pumiceyard/pumiceyard/internal/kept/store"
	"github.com/pumiceyard/pumiceyard/internal/kept/store/kvcall"
)

// Requests reads and writes operators' requests in a store.
type Requests struct{ Store store.Store }

// At reaches the requests in the store at host:port.
func NewRequests(address string) Requests {
	return Requests{Store: &kvcall.Client{Calls: &relay.HTTP{Address: address, Client: http.DefaultClient}}}
}

// NameError says that a text cannot name a failure domain.
type NameError struct{ Domain string }

func (e *NameError) Error() string { return fmt.Sprintf("%q names no failure domain", e.Domain) }

func key(domain string) (string, error) {
	if domain == "" || strings.Contains(domain, "/") {
		return "", &NameError{Domain: domain}
	}
	return daemon.EvacuationPrefix + domain, nil
}

// Evacuate asks that nothing starts in a domain. Asked twice it is one request.
func (r Requests) Evacuate(ctx context.Context, domain string) error {
	k, err := key(domain)
	if err != nil {
		return err
	}
	_, err = r.Store.Commit(ctx, store.Txn{Put: []store.Put{{Key: k, Value: []byte("{}")}}})
	return err
}

// Return gives a domain back to use. It is no error if it was not evacuated.
func (r Requests) CancelEvacuation(ctx context.Context, domain string) error {
	k, err := key(domain)
	if err != nil {
		return err
	}
	_, err = r.Store.Commit(ctx, store.Txn{Delete: []string{k}})
	return err
}

// List returns the evacuated domains, in order.
func (r Requests) List(ctx context.Context) ([]string, error) {
	var out []string
	after := ""
	for {
		p, err := r.Store.Range(ctx, daemon.EvacuationPrefix, after, false)
		if err != nil {
			return nil, err
		}
		for _, it := range p.Items {
			out = append(out, strings.TrimPrefix(it.Key, daemon.EvacuationPrefix))
		}
		if !p.More || len(p.Items) == 0 {
			return out, nil
		}
		after = p.Items[len(p.Items)-1].Key
	}
}
