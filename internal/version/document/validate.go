package document

import (
	"fmt"
	"regexp"
	"strings"
)

// Values for fields that an operator left out.
const (
	DefaultWeight         = 1
	DefaultSlots          = 1
	DefaultMilliCPU       = 1000
	DefaultMemoryMiB      = 256
	DefaultMilliwatts     = 15_000 // not 0, which would pass under any power cap
	DefaultRunMillis      = 200
	DefaultDeadlineMillis = 10_000
	DefaultMaxTasks       = 1
)

// Limits of a document.
const (
	// MaxEncodedBytes leaves room for the store's limit of one megabyte.
	MaxEncodedBytes = 900_000
	// MaxTasksPerSubmission is the widest job that the system is sized for.
	MaxTasksPerSubmission = 920
	// MaxTemplates and MaxAccounts bound the work of one document.
	MaxTemplates = 2000
	MaxAccounts  = 500
	// MaxKeyHashes allows a rotation to overlap with one more.
	MaxKeyHashes = 4
	// MaxWeight bounds the ratio between two accounts.
	MaxWeight = 10_000
	// MaxSlots to MaxMilliwatts bound what one task can occupy.
	MaxSlots        = 64
	MaxMilliCPU     = 256_000
	MaxMemoryMiB    = 4 << 20
	MaxAccelerators = 64
	MaxMilliwatts   = 10_000_000
	// MaxDeadlineMillis is ten minutes.
	MaxDeadlineMillis = 600_000
	// MaxAccountDepth bounds the hierarchy of accounts.
	MaxAccountDepth = 4
	// MaxPowerCapMilliwatts is a hundred megawatts.
	MaxPowerCapMilliwatts = 100_000_000_000
	// MaxDomains bounds the failure domains of a site.
	MaxDomains = 200

	maxLabelBytes = 200
)

var (
	namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)
	hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

const (
	allowedName = "1 to 63 lower-case letters, digits and hyphens"
	allowedHash = "64 lower-case hex digits, the SHA-256 of the key"
)

// FieldError is one field that is not allowed.
type FieldError struct {
	Path    string // such as templates[quote].deadline_millis
	Value   string // as given
	Allowed string // what would be accepted
}

func (e FieldError) Error() string {
	return fmt.Sprintf("%s: %q not allowed; allowed: %s", e.Path, e.Value, e.Allowed)
}

// InvalidError refuses a whole document and names every field at fault.
type InvalidError struct {
	Fields []FieldError
}

func (e *InvalidError) Error() string {
	lines := make([]string, len(e.Fields))
	for i, field := range e.Fields {
		lines[i] = field.Error()
	}
	return "document refused: " + strings.Join(lines, "; ")
}

// Validate checks the whole document and returns an *InvalidError that names
// all faults, or nil.
func (d *Document) Validate() error {
	var c checker
	c.labels(d)
	c.templates(d.Templates)
	c.accounts(d)
	c.site(&d.Site)
	if len(c.faults) == 0 {
		return nil
	}
	return &InvalidError{Fields: c.faults}
}

// checker collects the faults of one document.
type checker struct {
	faults []FieldError
}

func (c *checker) refuse(path string, value any, allowed string) {
	c.faults = append(c.faults, FieldError{Path: path, Value: fmt.Sprint(value), Allowed: allowed})
}

func (c *checker) within(path string, value, low, high uint64) {
	if value < low || value > high {
		c.refuse(path, value, fmt.Sprintf("%d to %d", low, high))
	}
}

func (c *checker) name(path, name string) {
	if !namePattern.MatchString(name) {
		c.refuse(path, name, allowedName)
	}
}

func (c *checker) labels(d *Document) {
	allowed := fmt.Sprintf("at most %d bytes", maxLabelBytes)
	if len(d.ChangeID) > maxLabelBytes {
		c.refuse("change_id", d.ChangeID, allowed)
	}
	if len(d.Author) > maxLabelBytes {
		c.refuse("author", d.Author, allowed)
	}
}

func (c *checker) templates(templates []Template) {
	c.within("templates", uint64(len(templates)), 0, MaxTemplates)
	seen := make(map[string]bool)
	for i := range templates {
		t := &templates[i]
		path := fmt.Sprintf("templates[%s]", t.Name)
		c.name(path+".name", t.Name)
		if seen[t.Name] {
			c.refuse(path+".name", t.Name, "a name that no other template has")
		}
		seen[t.Name] = true
		c.template(path, t)
	}
}

func (c *checker) template(path string, t *Template) {
	if t.Class != Urgent && t.Class != Normal && t.Class != Bulk {
		c.refuse(path+".class", t.Class, "urgent, normal or bulk")
	}
	declared := path + ".declared"
	c.within(declared+".slots", uint64(t.Declared.Slots), 1, MaxSlots)
	c.within(declared+".milli_cpu", uint64(t.Declared.MilliCPU), 1, MaxMilliCPU)
	c.within(declared+".memory_mib", uint64(t.Declared.MemoryMiB), 1, MaxMemoryMiB)
	c.within(declared+".accelerators", uint64(t.Declared.Accelerators), 0, MaxAccelerators)
	c.within(declared+".milliwatts", uint64(t.Declared.Milliwatts), 1, MaxMilliwatts)
	c.within(path+".deadline_millis", uint64(t.DeadlineMillis), 1, MaxDeadlineMillis)
	if t.Declared.RunMillis < 1 || t.Declared.RunMillis > t.DeadlineMillis {
		c.refuse(declared+".run_millis", t.Declared.RunMillis, "1 to deadline_millis")
	}
	c.within(path+".max_tasks", uint64(t.MaxTasks), 1, MaxTasksPerSubmission)
}

func (c *checker) accounts(d *Document) {
	c.within("accounts", uint64(len(d.Accounts)), 0, MaxAccounts)
	seen := make(map[string]bool)
	keyOwner := make(map[string]string)
	parents := make(map[string]string)
	for _, a := range d.Accounts {
		parents[a.Name] = a.Parent
	}
	for i := range d.Accounts {
		a := &d.Accounts[i]
		path := fmt.Sprintf("accounts[%s]", a.Name)
		c.name(path+".name", a.Name)
		if seen[a.Name] {
			c.refuse(path+".name", a.Name, "a name that no other account has")
		}
		seen[a.Name] = true
		c.within(path+".weight", uint64(a.Weight), 1, MaxWeight)
		c.parent(path+".parent", a, parents)
		c.keyHashes(path+".key_hashes", a, keyOwner)
	}
}

// parent walks up from the account, so that a cycle, which would leave the
// fair shares undefined, shows as a hierarchy that is too deep.
func (c *checker) parent(path string, a *Account, parents map[string]string) {
	depth := 1
	for parent := a.Parent; parent != ""; parent = parents[parent] {
		if _, known := parents[parent]; !known {
			c.refuse(path, parent, "empty, or the name of an account in the document")
			return
		}
		depth++
		if depth > MaxAccountDepth {
			c.refuse(path, a.Parent, fmt.Sprintf("no cycle, and at most %d levels", MaxAccountDepth))
			return
		}
	}
}

func (c *checker) keyHashes(path string, a *Account, owner map[string]string) {
	c.within(path, uint64(len(a.KeyHashes)), 0, MaxKeyHashes)
	for i, hash := range a.KeyHashes {
		at := fmt.Sprintf("%s[%d]", path, i)
		if !hashPattern.MatchString(hash) {
			c.refuse(at, hash, allowedHash)
			continue
		}
		if other, taken := owner[hash]; taken {
			c.refuse(at, hash, "a key that is not already a key of "+other)
		}
		owner[hash] = a.Name
	}
}

func (c *checker) site(s *Site) {
	c.within("site.power_cap_milliwatts", s.PowerCapMilliwatts, 1, MaxPowerCapMilliwatts)
	c.within("site.domains", uint64(len(s.Domains)), 1, MaxDomains)
	var sum uint64
	for domain, part := range s.Domains {
		path := fmt.Sprintf("site.domains[%s]", domain)
		c.name(path, domain)
		c.within(path, part, 1, MaxPowerCapMilliwatts)
		sum += min(part, MaxPowerCapMilliwatts)
	}
	if sum > s.PowerCapMilliwatts {
		allowed := fmt.Sprintf("parts that sum to at most the cap of %d", s.PowerCapMilliwatts)
		c.refuse("site.domains", sum, allowed)
	}
}
