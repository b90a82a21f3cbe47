package note

import (
	"net"
	"slices"
	"strings"
	"time"

	"briarcroft/internal/document"
)

// Default values of optional keys.
const (
	defaultQueueLimit  = 256
	defaultHomes       = 1
	defaultRetryRatio  = 0.1
	defaultSlots       = 4
	defaultConnections = 200
	defaultWeight      = 1
	defaultDeadline    = 10 * time.Second
)

// Parse parses a release note in INI format; file is the name used in errors, which are document.ErrSyntax or
// document.ErrField.
func Parse(file string, content []byte) (Note, error) {
	var n Note
	d, err := document.Parse(file, content)
	if err != nil {
		return n, err
	}
	for _, section := range d.Sections() {
		if err := n.parseSection(d, section); err != nil {
			return n, err
		}
	}
	if !slices.Contains(d.Sections(), "Note") {
		return n, d.FieldError("Note", "", "is missing; add [Note] with Follows, Operator and Reason")
	}
	return n, nil
}

func (n *Note) parseSection(d *document.Document, section string) error {
	kind, name, _ := strings.Cut(section, " ")
	name = strings.TrimSpace(name)
	switch kind {
	case "Note":
		return n.parseHead(d, section)
	case "Withdraw":
		return d.Decode(section, &n.Withdraw)
	case "Service", "Target", "Rule", "Account":
		if name == "" || strings.ContainsAny(name, " ,/\"") {
			return d.FieldError(section, "", "needs one name of letters, digits, - . and _, as in ["+kind+" lookup-1]")
		}
	}
	switch kind {
	case "Service":
		return n.parseService(d, section, name)
	case "Target":
		return n.parseTarget(d, section, name)
	case "Rule":
		return n.parseRule(d, section, name)
	case "Account":
		return n.parseAccount(d, section, name)
	}
	return d.FieldError(section, "", "is unknown; allowed: Note, Service NAME, Target NAME, Rule NAME, Account NAME, Withdraw")
}

func (n *Note) parseHead(d *document.Document, section string) error {
	var head struct {
		Follows  int    `required:"true"`
		Operator string `required:"true"`
		Reason   string `required:"true"`
	}
	if err := d.Decode(section, &head); err != nil {
		return err
	}
	n.Follows, n.Operator, n.Reason = head.Follows, head.Operator, head.Reason
	return nil
}

func (n *Note) parseService(d *document.Document, section, name string) error {
	s := Service{Name: name, QueueLimit: defaultQueueLimit, Homes: defaultHomes, RetryRatio: defaultRetryRatio}
	if err := d.Decode(section, &s); err != nil {
		return err
	}
	switch {
	case s.Homes < 1:
		return d.FieldError(section, "Homes", "must be 1 or more")
	case s.QueueLimit < 1:
		return d.FieldError(section, "QueueLimit", "must be 1 or more")
	case s.SecondRuns != nil && *s.SecondRuns > 100:
		return d.FieldError(section, "SecondRuns", "must be between 0 and 100")
	case s.SecondRunWork != nil && *s.SecondRunWork > 100:
		return d.FieldError(section, "SecondRunWork", "must be between 0 and 100")
	case s.RetryRatio > 1:
		return d.FieldError(section, "RetryRatio", "must be between 0 and 1")
	case s.ReportPath != "" && !strings.HasPrefix(s.ReportPath, "/"):
		return d.FieldError(section, "ReportPath", "must start with /")
	}
	n.Services = append(n.Services, s)
	return nil
}

func (n *Note) parseTarget(d *document.Document, section, name string) error {
	t := Target{Name: name, Slots: defaultSlots, Connections: defaultConnections}
	if err := d.Decode(section, &t); err != nil {
		return err
	}
	ip, port, err := net.SplitHostPort(t.Address)
	switch {
	case err != nil || net.ParseIP(ip) == nil || port == "":
		return d.FieldError(section, "Address", "must be an IP address and port such as 127.0.0.1:7001")
	case t.Slots < 1:
		return d.FieldError(section, "Slots", "must be 1 or more")
	case t.Connections < t.Slots:
		return d.FieldError(section, "Connections", "must be at least Slots")
	}
	n.Targets = append(n.Targets, t)
	return nil
}

func (n *Note) parseRule(d *document.Document, section, name string) error {
	r := Rule{Name: name, Class: "default", Weight: defaultWeight, Deadline: defaultDeadline, Idempotent: "Auto", NotRunStatuses: nil}
	if err := d.Decode(section, &r); err != nil {
		return err
	}
	switch {
	case !strings.HasPrefix(r.Path, "/"):
		return d.FieldError(section, "Path", "must start with /")
	case r.Weight < 1:
		return d.FieldError(section, "Weight", "must be 1 or more")
	case r.Deadline <= 0 || r.Deadline > maxDeadline:
		return d.FieldError(section, "Deadline", "must be above zero and at most "+maxDeadline.String())
	}
	for _, status := range r.NotRunStatuses {
		if status < 400 || status > 599 {
			return d.FieldError(section, "NotRunStatuses", "may hold statuses from 400 to 599 only")
		}
	}
	n.Rules = append(n.Rules, r)
	return nil
}

func (n *Note) parseAccount(d *document.Document, section, name string) error {
	var fields struct {
		Keys     []string
		Priority int
		Rate     float64
		Burst    float64
	}
	if err := d.Decode(section, &fields); err != nil {
		return err
	}
	a := Account{Name: name, Keys: fields.Keys, Priority: fields.Priority, Rate: fields.Rate, Burst: fields.Burst}
	if problem := a.problem(); problem != "" {
		return d.FieldError(section, "", problem)
	}
	n.Accounts = append(n.Accounts, a)
	return nil
}

// maxDeadline is the longest deadline that a rule may have.
const maxDeadline = 5 * time.Minute
