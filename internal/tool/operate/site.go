// Package operate is what the command-line tool does for operators: it talks to
// the operators' listeners of the entry VMs.
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

// Site is a site as seen through the operators' listeners of its entry VMs.
type Site struct {
	operators []string // base URLs
	port      string   // of operators' listeners that are not named
	scheme    string   // of the same
	http      *http.Client
}

// callTimeout bounds one request; a store that is slow answers within it.
const callTimeout = 5 * time.Second

// NewSite returns a site. Entry VMs whose listener is not among the operators'
// base URLs are looked for at the host that the platform's list names, on the
// given port, by https:// with a TLS configuration and by http:// without.
func NewSite(operators []string, port string, config *tls.Config) (*Site, error) {
	if len(operators) == 0 {
		return nil, errors.New("no entry VM is named: give --operators URL, or set PUMICEYARD_OPERATORS")
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
	// HTTP/2 hides the alert by which an entry VM refuses a certificate: one would
	// read only that no connection could be established.
	transport.Protocols = new(http.Protocols)
	transport.Protocols.SetHTTP1(true)
	transport.TLSClientConfig.NextProtos = []string{"http/1.1"}
	client := &http.Client{Timeout: callTimeout, Transport: transport}
	return &Site{operators: operators, port: port, scheme: secureScheme, http: client}, nil
}

// call makes one request of one entry VM. The error is an *operator.Problem when
// the entry VM refused, and another when it could not be reached.
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
		return fmt.Errorf("%s answers %s: is it an operators' listener, and is it http:// or https://?", url, resp.Status)
	}
	return problem
}

// again lists the reasons for which another entry VM may know or do better.
var again = []reason.Code{operator.StoreDown, operator.StoreUnresolved}

// ask makes a request of the first entry VM that can answer. A publication that
// is asked for twice takes effect once, by its change id.
func (s *Site) ask(ctx context.Context, method, path string, body, into any) error {
	var errs []error
	for _, base := range s.operators {
		err := s.call(ctx, method, base+path, body, into)
		var problem *operator.Problem
		if err == nil || errors.As(err, &problem) && !slices.Contains(again, problem.Reason) {
			return err
		}
		errs = append(errs, err)
	}
	return errors.Join(errs...)
}

// VMStatus is what one entry VM says of itself, or why it can not be asked.
type VMStatus struct {
	Name   string           `json:"name"`
	URL    string           `json:"url"`
	Status *operator.Status `json:"status,omitempty"`
	Error  string           `json:"error,omitempty"`
}

// Statuses asks all entry VMs: those that are named, and those in the platform's
// list.
func (s *Site) Statuses(ctx context.Context) []VMStatus {
	found := s.statuses(ctx, s.operators)
	var fleet operator.Fleet
	if err := s.ask(ctx, http.MethodGet, "/v1/fleet", nil, &fleet); err != nil {
		return found
	}
	var missing []operator.EntryVM
	for _, e := range fleet.Entries {
		if !slices.ContainsFunc(found, func(v VMStatus) bool { return v.Name == e.Name }) {
			missing = append(missing, e)
		}
	}
	listed := s.listed(ctx, missing)
	found = slices.DeleteFunc(found, func(v VMStatus) bool {
		return v.Status == nil && slices.ContainsFunc(listed, func(l VMStatus) bool { return l.URL == v.URL })
	})
	found = append(found, listed...)
	slices.SortFunc(found, func(a, b VMStatus) int { return strings.Compare(a.Name+a.URL, b.Name+b.URL) })
	return found
}

// listed asks entry VMs that only the platform's list names.
func (s *Site) listed(ctx context.Context, missing []operator.EntryVM) []VMStatus {
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
			v.Error = fmt.Sprintf("not asked: at %s is %s; name its operators' listener", v.URL, v.Name)
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
