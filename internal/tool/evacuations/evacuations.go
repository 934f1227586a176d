// Package evacuations lets an operator evacuate a failure domain: no task starts there any more.
// The request is a key in the platform's store, which the entry VMs watch; it holds until the key
// is deleted.
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

// Requests reads and writes evacuation requests in a store.
type Requests struct{ Store store.Store }

// NewRequests returns the requests in the store at the given host:port.
func NewRequests(address string) Requests {
	return Requests{Store: &kvcall.Client{Calls: &relay.HTTP{Address: address, Client: http.DefaultClient}}}
}

// NameError reports a text that cannot be the name of a failure domain.
type NameError struct{ Domain string }

func (e *NameError) Error() string {
	return fmt.Sprintf("%q is not a valid name of a failure domain", e.Domain)
}

func evacuationKey(domain string) (string, error) {
	if domain == "" || strings.Contains(domain, "/") {
		return "", &NameError{Domain: domain}
	}
	return daemon.EvacuationPrefix + domain, nil
}

// Evacuate requests that no task starts in a domain. It is idempotent.
func (r Requests) Evacuate(ctx context.Context, domain string) error {
	k, err := evacuationKey(domain)
	if err != nil {
		return err
	}
	_, err = r.Store.Commit(ctx, store.Txn{Put: []store.Put{{Key: k, Value: []byte("{}")}}})
	return err
}

// CancelEvacuation allows tasks to start in a domain again. It does nothing if the domain is
// not evacuated.
func (r Requests) CancelEvacuation(ctx context.Context, domain string) error {
	k, err := evacuationKey(domain)
	if err != nil {
		return err
	}
	_, err = r.Store.Commit(ctx, store.Txn{Delete: []string{k}})
	return err
}

// List returns the evacuated domains in the order of their keys.
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
