// Package operate implements the operator commands of the command-line tool:
// publishing configuration, showing the status of a site and explaining
// submissions. It calls the operator listeners of the entry VMs over HTTP.
package operate

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/connection/operator"
	"github.com/pumiceyard/pumiceyard/internal/request/reason"
)

// Site is a client of the operator listeners of a site's entry VMs.
type Site struct {
	operators []string // base URLs of the operator listeners that were given
	port      string   // port of the operator listeners that were not given
	scheme    string   // scheme of the operator listeners that were not given
	http      *http.Client
}

// callTimeout bounds one request. It leaves time for a slow store to answer.
const callTimeout = 5 * time.Second

// NewSite returns a client for the operator listeners at the given base URLs.
// Other entry VMs in the platform's list are called at their listed host and the
// given port, over https:// if there is a TLS configuration and over http:// if
// config is nil.
func NewSite(operators []string, port string, config *tls.Config) (*Site, error) {
	if len(operators) == 0 {
		return nil, errors.New("no entry VM given: pass --operators URL or set PUMICEYARD_OPERATORS")
	}
	if config == nil {
		for _, url := range operators {
			if strings.HasPrefix(url, secureScheme) {
				return nil, &NoCertificateError{URL: url}
			}
		}
		return &Site{operators: operators, port: port, scheme: plainScheme, http: &http.Client{Timeout: callTimeout}}, nil
	}
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.TLSClientConfig = config.Clone()
	// Use HTTP/1.1 only. With HTTP/2 the TLS alert by which an entry VM rejects a
	// client certificate is lost, and the error says only that no connection could
	// be established.
	transport.Protocols = new(http.Protocols)
	transport.Protocols.SetHTTP1(true)
	transport.TLSClientConfig.NextProtos = []string{"http/1.1"}
	client := &http.Client{Timeout: callTimeout, Transport: transport}
	return &Site{operators: operators, port: port, scheme: secureScheme, http: client}, nil
}

// call sends one request to one entry VM and decodes the reply into into. The
// error is an *operator.Problem if the entry VM refused the request. Any other
// error means that it could not be reached or sent no valid reply.
func (s *Site) call(ctx context.Context, method, url string, body, into any) error {
	var text []byte
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return err
		}
		text = encoded
	}
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(text))
	if err != nil {
		return err
	}
	resp, err := s.http.Do(req)
	if err != nil {
		return adviseTLS(err)
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode == http.StatusOK {
		return json.Unmarshal(answer, into)
	}
	problem := new(operator.Problem)
	if json.Unmarshal(answer, problem) != nil || problem.Reason == "" {
		return fmt.Errorf("%s answered %s: check that it is an operator listener and that the scheme (http:// or https://) is right", url, resp.Status)
	}
	return problem
}

// retryReasons are the refusals after which another entry VM is tried, since that
// one may reach the store, or find out what became of a write.
var retryReasons = []reason.Code{operator.StoreDown, operator.StoreUnresolved}

// callAny sends a request to the given entry VMs in order until one answers it.
// A publication may be sent more than once this way: its change id makes it
// idempotent.
func (s *Site) callAny(ctx context.Context, method, path string, body, into any) error {
	var errs []error
	for _, base := range s.operators {
		err := s.call(ctx, method, base+path, body, into)
		var problem *operator.Problem
		if err == nil || errors.As(err, &problem) && !slices.Contains(retryReasons, problem.Reason) {
			return err
		}
		errs = append(errs, err)
	}
	return errors.Join(errs...)
}

// VMStatus is the status that one entry VM reports, or the error of asking it.
type VMStatus struct {
	Name   string           `json:"name"`
	URL    string           `json:"url"`
	Status *operator.Status `json:"status,omitempty"`
	Error  string           `json:"error,omitempty"`
}

// Statuses returns the status of every entry VM: of those at the given base URLs
// and of those in the platform's list.
func (s *Site) Statuses(ctx context.Context) []VMStatus {
	found := s.statuses(ctx, s.operators)
	var fleet operator.Fleet
	if err := s.callAny(ctx, http.MethodGet, "/v1/fleet", nil, &fleet); err != nil {
		return found
	}
	var missing []operator.EntryVM
	for _, e := range fleet.Entries {
		if !slices.ContainsFunc(found, func(v VMStatus) bool { return v.Name == e.Name }) {
			missing = append(missing, e)
		}
	}
	listed := s.listedStatuses(ctx, missing)
	found = slices.DeleteFunc(found, func(v VMStatus) bool {
		return v.Status == nil && slices.ContainsFunc(listed, func(l VMStatus) bool { return l.URL == v.URL })
	})
	found = append(found, listed...)
	slices.SortFunc(found, func(a, b VMStatus) int { return strings.Compare(a.Name+a.URL, b.Name+b.URL) })
	return found
}

// listedStatuses asks the entry VMs in missing, which appear only in the
// platform's list. A reply from a VM of another name is dropped and reported as
// an error.
func (s *Site) listedStatuses(ctx context.Context, missing []operator.EntryVM) []VMStatus {
	urls := make([]string, len(missing))
	for i, e := range missing {
		host, _, err := net.SplitHostPort(e.Address)
		if err != nil {
			host = e.Address
		}
		urls[i] = s.scheme + net.JoinHostPort(host, s.port)
	}
	out := s.statuses(ctx, urls)
	for i := range out {
		if v := &out[i]; v.Status != nil && v.Name != missing[i].Name {
			v.Error = fmt.Sprintf("status unknown: %s is the listener of %s; add this VM's operator listener to --operators", v.URL, v.Name)
			v.Status = nil
		}
		out[i].Name = missing[i].Name
	}
	return out
}

func (s *Site) statuses(ctx context.Context, urls []string) []VMStatus {
	out := make([]VMStatus, len(urls))
	var calls sync.WaitGroup
	for i, url := range urls {
		calls.Go(func() {
			out[i] = VMStatus{URL: url}
			var status operator.Status
			if err := s.call(ctx, http.MethodGet, url+"/v1/status", nil, &status); err != nil {
				out[i].Error = err.Error()
				return
			}
			out[i].Name, out[i].Status = status.Name, &status
		})
	}
	calls.Wait()
	return out
}
