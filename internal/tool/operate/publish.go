package operate

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/connection/operator"
	"github.com/pumiceyard/pumiceyard/internal/pause"
	"github.com/pumiceyard/pumiceyard/internal/tool/exit"
	"github.com/pumiceyard/pumiceyard/internal/version/document"
	"github.com/pumiceyard/pumiceyard/internal/version/publication"
)

// Change describes a publication or rollback that an operator requests.
type Change struct {
	Author       string
	ID           string // empty: derived from the base revision and the document
	BaseRevision uint64
	// Wait is the longest time to wait until the revision is in force on every
	// entry VM; 0: do not wait.
	Wait time.Duration
}

// Publish publishes a configuration document.
func (s *Site) Publish(ctx context.Context, text []byte, c Change, w io.Writer) error {
	if _, err := document.Parse(text); err != nil {
		return err
	}
	if c.ID == "" {
		c.ID = changeID(text, c.BaseRevision)
	}
	body := operator.PublishBody{ChangeID: c.ID, Author: c.Author, BaseRevision: c.BaseRevision, Document: text}
	return s.change(ctx, "/v1/configuration", body, c, w)
}

// Rollback publishes the document of an earlier revision again, as a new revision.
func (s *Site) Rollback(ctx context.Context, revision uint64, c Change, w io.Writer) error {
	if c.ID == "" {
		c.ID = changeID(strconv.AppendUint([]byte("rollback to "), revision, 10), c.BaseRevision)
	}
	body := operator.RollbackBody{ChangeID: c.ID, Author: c.Author, BaseRevision: c.BaseRevision, Revision: revision}
	return s.change(ctx, "/v1/rollback", body, c, w)
}

// changeID derives a change id from the content of the change, so that a retry
// after a lost reply is recognised as the same change.
func changeID(text []byte, base uint64) string {
	sum := sha256.Sum256(strconv.AppendUint(text, base, 10))
	return "auto-" + hex.EncodeToString(sum[:8])
}

func (s *Site) change(ctx context.Context, path string, body any, c Change, w io.Writer) error {
	var receipt publication.Receipt
	if err := s.callAny(ctx, http.MethodPost, path, body, &receipt); err != nil {
		return WithAdvice(err)
	}
	earlier := ""
	if receipt.Earlier {
		earlier = " (by an earlier request of the same change)"
	}
	fmt.Fprintf(w, "published as revision %d, change %s by %s%s\n", receipt.Revision, receipt.ChangeID, receipt.Author, earlier)
	if c.Wait == 0 {
		return nil
	}
	return s.awaitRevision(ctx, receipt.Revision, c.Wait, w)
}

const statusPollInterval = 100 * time.Millisecond

// awaitRevision waits until every entry VM has a revision in force. It prints
// after what time each one had it, and on timeout which ones still lack it.
func (s *Site) awaitRevision(ctx context.Context, revision uint64, timeout time.Duration, w io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	start := time.Now()
	reported := make(map[string]bool)
	for {
		all := s.Statuses(ctx)
		waiting := 0
		for _, v := range all {
			if v.Status == nil || v.Status.Revision < revision {
				waiting++
			} else if !reported[v.Name] {
				reported[v.Name] = true
				fmt.Fprintf(w, "  %-12s in force after %.1fs\n", v.Name, time.Since(start).Seconds())
			}
		}
		if waiting == 0 {
			return nil
		}
		if !pause.For(ctx, statusPollInterval) {
			return s.reportMissing(revision, w)
		}
	}
}

// reportMissing prints the entry VMs that are not known to have a revision in
// force, and returns an error if there are any.
func (s *Site) reportMissing(revision uint64, w io.Writer) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	missing := 0
	all := s.Statuses(ctx)
	for _, v := range all {
		switch {
		case v.Status == nil:
			missing++
			fmt.Fprintf(w, "  %-12s can not be reached at %s: %s\n", v.Name, v.URL, v.Error)
		case v.Status.Revision < revision:
			missing++
			fmt.Fprintf(w, "  %-12s still at revision %d\n", v.Name, v.Status.Revision)
		}
	}
	if missing == 0 {
		return nil
	}
	printSuspicions(all, w)
	return fmt.Errorf("published, but revision %d is not known to be in force on %d entry VMs\n  what to do: nothing if they are stopped; they load it before they serve again. Otherwise look at their logs", revision, missing)
}

// WithAdvice returns an error of a call to an entry VM with advice on what to do
// about it.
func WithAdvice(err error) error {
	var problem *operator.Problem
	if !errors.As(err, &problem) {
		return fmt.Errorf("no entry VM could be reached: %w\n  what to do: check that the addresses are those of operator listeners. Nothing is known to have changed; retrying is safe", err)
	}
	message := problem.Error()
	for _, f := range problem.Fields {
		message += fmt.Sprintf("\n  %s: %q, allowed is %s", f.Path, f.Value, f.Allowed)
	}
	return errors.New(exit.WithAdvice(message, string(problem.Reason)))
}

// Get prints the document of a revision that is still stored, or the document in
// force if revision is 0.
func (s *Site) Get(ctx context.Context, revision uint64, w io.Writer) error {
	doc, err := s.document(ctx, revision)
	if err != nil {
		return WithAdvice(err)
	}
	text, err := doc.Encode()
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(w, "%s\n", text)
	return err
}

func (s *Site) document(ctx context.Context, revision uint64) (*document.Document, error) {
	path := "/v1/configuration"
	if revision != 0 {
		path += "?revision=" + strconv.FormatUint(revision, 10)
	}
	doc := new(document.Document)
	return doc, s.callAny(ctx, http.MethodGet, path, nil, doc)
}

// Revision returns the revision in force, or 0 if nothing has been published.
func (s *Site) Revision(ctx context.Context) (uint64, error) {
	doc, err := s.document(ctx, 0)
	var problem *operator.Problem
	if errors.As(err, &problem) && problem.Reason == operator.NoRevision {
		return 0, nil
	}
	if err != nil {
		return 0, WithAdvice(err)
	}
	return doc.Revision, nil
}

// Diff prints the changes between two revisions that are still stored.
func (s *Site) Diff(ctx context.Context, from, to uint64, w io.Writer) error {
	query := url.Values{"from": {strconv.FormatUint(from, 10)}, "to": {strconv.FormatUint(to, 10)}}
	var out operator.Differences
	if err := s.callAny(ctx, http.MethodGet, "/v1/diff?"+query.Encode(), nil, &out); err != nil {
		return WithAdvice(err)
	}
	for _, d := range out.Differences {
		fmt.Fprintf(w, "%s: %s -> %s\n", d.Path, orNone(d.Old), orNone(d.New))
	}
	return nil
}

func orNone(text string) string {
	if text == "" {
		return "(none)"
	}
	return text
}

// History prints the publications that are still stored, newest first.
func (s *Site) History(ctx context.Context, asJSON bool, w io.Writer) error {
	var out operator.History
	if err := s.callAny(ctx, http.MethodGet, "/v1/history", nil, &out); err != nil {
		return WithAdvice(err)
	}
	if asJSON {
		return json.NewEncoder(w).Encode(out)
	}
	table := tabwriter.NewWriter(w, 2, 8, 2, ' ', 0)
	fmt.Fprintln(table, "REVISION\tPUBLISHED\tAUTHOR\tCHANGE")
	for _, p := range out.Publications {
		at := time.UnixMilli(p.PublishedUnixMillis).Format(time.DateTime)
		fmt.Fprintf(table, "%d\t%s\t%s\t%s\n", p.Revision, at, p.Author, p.ChangeID)
	}
	return table.Flush()
}
