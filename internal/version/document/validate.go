package document

import (
	"fmt"
	"regexp"
	"strings"
)

// Defaults of omitted fields.
const (
	DefaultWeight         = 1
	DefaultSlots          = 1
	DefaultMilliCPU       = 1000
	DefaultMemoryMiB      = 256
	DefaultMilliwatts     = 15_000 // not 0: a task without power draw would fit under any power cap
	DefaultRunMillis      = 200
	DefaultDeadlineMillis = 10_000
	DefaultMaxTasks       = 1
)

// Limits that Validate and Parse enforce.
const (
	// MaxEncodedBytes stays below the store's limit of one megabyte per value.
	MaxEncodedBytes = 900_000
	// MaxTasksPerSubmission is the largest submission that the system is sized for.
	MaxTasksPerSubmission = 920
	// MaxTemplates and MaxAccounts limit the cost of processing one document.
	MaxTemplates = 2000
	MaxAccounts  = 500
	// MaxKeyHashes allows two overlapping key rotations.
	MaxKeyHashes = 4
	// MaxWeight limits the ratio between the shares of two accounts.
	MaxWeight = 10_000
	// MaxSlots to MaxMilliwatts limit the resources of one task.
	MaxSlots        = 64
	MaxMilliCPU     = 256_000
	MaxMemoryMiB    = 4 << 20
	MaxAccelerators = 64
	MaxMilliwatts   = 10_000_000
	// MaxDeadlineMillis is ten minutes.
	MaxDeadlineMillis = 600_000
	// MaxAccountDepth limits the levels of the account hierarchy.
	MaxAccountDepth = 4
	// MaxPowerCapMilliwatts is a hundred megawatts.
	MaxPowerCapMilliwatts = 100_000_000_000
	// MaxDomains limits the number of failure domains of a site.
	MaxDomains = 200

	// maxLabelBytes limits the change id and the author.
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

// FieldError reports a field whose value is not allowed.
type FieldError struct {
	Path    string // such as templates[quote].deadline_millis
	Value   string // as given
	Allowed string // description of the accepted values
}

func (e FieldError) Error() string {
	return fmt.Sprintf("%s: %q not allowed; allowed: %s", e.Path, e.Value, e.Allowed)
}

// InvalidError rejects a document as a whole and lists all its invalid fields.
type InvalidError struct {
	Fields []FieldError
}

func (e *InvalidError) Error() string {
	lines := make([]string, len(e.Fields))
	for i, field := range e.Fields {
		lines[i] = field.Error()
	}
	return "invalid document: " + strings.Join(lines, "; ")
}

// Validate checks the whole document and returns an *InvalidError that lists
// all invalid fields, or nil.
func (d *Document) Validate() error {
	var c validator
	c.checkLabels(d)
	c.checkTemplates(d.Templates)
	c.checkAccounts(d)
	c.checkSite(&d.Site)
	if len(c.invalid) == 0 {
		return nil
	}
	return &InvalidError{Fields: c.invalid}
}

// validator collects the invalid fields of one document.
type validator struct {
	invalid []FieldError
}

func (c *validator) reject(path string, value any, allowed string) {
	c.invalid = append(c.invalid, FieldError{Path: path, Value: fmt.Sprint(value), Allowed: allowed})
}

func (c *validator) checkRange(path string, value, low, high uint64) {
	if value < low || value > high {
		c.reject(path, value, fmt.Sprintf("%d to %d", low, high))
	}
}

func (c *validator) checkName(path, checkName string) {
	if !namePattern.MatchString(checkName) {
		c.reject(path, checkName, allowedName)
	}
}

func (c *validator) checkLabels(d *Document) {
	allowed := fmt.Sprintf("at most %d bytes", maxLabelBytes)
	if len(d.ChangeID) > maxLabelBytes {
		c.reject("change_id", d.ChangeID, allowed)
	}
	if len(d.Author) > maxLabelBytes {
		c.reject("author", d.Author, allowed)
	}
}

func (c *validator) checkTemplates(checkTemplates []Template) {
	c.checkRange("templates", uint64(len(checkTemplates)), 0, MaxTemplates)
	seen := make(map[string]bool)
	for i := range checkTemplates {
		t := &checkTemplates[i]
		path := fmt.Sprintf("templates[%s]", t.Name)
		c.checkName(path+".name", t.Name)
		if seen[t.Name] {
			c.reject(path+".name", t.Name, "a name that no other template has")
		}
		seen[t.Name] = true
		c.checkTemplate(path, t)
	}
}

func (c *validator) checkTemplate(path string, t *Template) {
	if t.Class != Urgent && t.Class != Normal && t.Class != Bulk {
		c.reject(path+".class", t.Class, "urgent, normal or bulk")
	}
	declared := path + ".declared"
	c.checkRange(declared+".slots", uint64(t.Declared.Slots), 1, MaxSlots)
	c.checkRange(declared+".milli_cpu", uint64(t.Declared.MilliCPU), 1, MaxMilliCPU)
	c.checkRange(declared+".memory_mib", uint64(t.Declared.MemoryMiB), 1, MaxMemoryMiB)
	c.checkRange(declared+".accelerators", uint64(t.Declared.Accelerators), 0, MaxAccelerators)
	c.checkRange(declared+".milliwatts", uint64(t.Declared.Milliwatts), 1, MaxMilliwatts)
	c.checkRange(path+".deadline_millis", uint64(t.DeadlineMillis), 1, MaxDeadlineMillis)
	if t.Declared.RunMillis < 1 || t.Declared.RunMillis > t.DeadlineMillis {
		c.reject(declared+".run_millis", t.Declared.RunMillis, "1 to deadline_millis")
	}
	c.checkRange(path+".max_tasks", uint64(t.MaxTasks), 1, MaxTasksPerSubmission)
}

func (c *validator) checkAccounts(d *Document) {
	c.checkRange("accounts", uint64(len(d.Accounts)), 0, MaxAccounts)
	seen := make(map[string]bool)
	keyOwner := make(map[string]string)
	parents := make(map[string]string)
	for _, a := range d.Accounts {
		parents[a.Name] = a.Parent
	}
	for i := range d.Accounts {
		a := &d.Accounts[i]
		path := fmt.Sprintf("accounts[%s]", a.Name)
		c.checkName(path+".name", a.Name)
		if seen[a.Name] {
			c.reject(path+".name", a.Name, "a name that no other account has")
		}
		seen[a.Name] = true
		c.checkRange(path+".weight", uint64(a.Weight), 1, MaxWeight)
		c.checkParent(path+".parent", a, parents)
		c.checkKeyHashes(path+".key_hashes", a, keyOwner)
	}
}

// checkParent follows the parents up from the account. A cycle, which would
// leave the fair shares undefined, is rejected as a hierarchy that is too deep.
func (c *validator) checkParent(path string, a *Account, parents map[string]string) {
	depth := 1
	for parent := a.Parent; parent != ""; parent = parents[parent] {
		if _, known := parents[parent]; !known {
			c.reject(path, parent, "empty, or the name of an account in the document")
			return
		}
		depth++
		if depth > MaxAccountDepth {
			c.reject(path, a.Parent, fmt.Sprintf("no cycle, and at most %d levels", MaxAccountDepth))
			return
		}
	}
}

func (c *validator) checkKeyHashes(path string, a *Account, owner map[string]string) {
	c.checkRange(path, uint64(len(a.KeyHashes)), 0, MaxKeyHashes)
	for i, hash := range a.KeyHashes {
		at := fmt.Sprintf("%s[%d]", path, i)
		if !hashPattern.MatchString(hash) {
			c.reject(at, hash, allowedHash)
			continue
		}
		if other, taken := owner[hash]; taken {
			c.reject(at, hash, "a key that is not already a key of "+other)
		}
		owner[hash] = a.Name
	}
}

func (c *validator) checkSite(s *Site) {
	c.checkRange("site.power_cap_milliwatts", s.PowerCapMilliwatts, 1, MaxPowerCapMilliwatts)
	c.checkRange("site.domains", uint64(len(s.Domains)), 1, MaxDomains)
	var sum uint64
	for domain, part := range s.Domains {
		path := fmt.Sprintf("site.domains[%s]", domain)
		c.checkName(path, domain)
		c.checkRange(path, part, 1, MaxPowerCapMilliwatts)
		sum += min(part, MaxPowerCapMilliwatts)
	}
	if sum > s.PowerCapMilliwatts {
		allowed := fmt.Sprintf("parts that sum to at most the cap of %d", s.PowerCapMilliwatts)
		c.reject("site.domains", sum, allowed)
	}
}
