package settings

import (
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// renderTemplate fills in a template as the platform does: a section in {{#field}} and {{/field}} stays only if the field has a
// value.
func renderTemplate(template string, fields map[string]string) string {
	section := regexp.MustCompile(`(?s)\{\{#([^}]+)\}\}(.*?)\{\{/[^}]+\}\}`)
	template = section.ReplaceAllStringFunc(template, func(s string) string {
		parts := section.FindStringSubmatch(s)
		if fields[parts[1]] == "" {
			return ""
		}
		return parts[2]
	})
	return regexp.MustCompile(`\{\{([^}]+)\}\}`).ReplaceAllStringFunc(template, func(s string) string { return fields[strings.Trim(s, "{}")] })
}

// TestTemplate guards against a template that lacks fields of a deployment, or that needs fields which older deployments do not
// have.
func TestTemplate(t *testing.T) {
	template, err := os.ReadFile("../../deploy/settings.ini")
	if err != nil {
		t.Fatal(err)
	}
	older := map[string]string{
		"node": "h0", "zone": "a", "region": "home", "listen.front": "127.0.0.1:1", "listen.control": "127.0.0.1:2", "listen.ready": "127.0.0.1:3",
		"listen.directory": "127.0.0.1:4", "ip": "127.0.0.1", "limits.cores": "2", "limits.cpu-share": "0.5", "limits.link-mbps": "50",
		"platform.address": "127.0.0.1:5", "seeds": "127.0.0.1:6", "bounds.grace-s": "6", "bounds.retry-budget-ratio": "0.2",
		"bounds.retry-window-s": "10", "bounds.retry-slack": "20", "bounds.probes-per-s": "20",
	}
	for _, c := range []struct {
		name  string
		more  map[string]string
		check func(*is.I, Settings)
	}{
		{"older deployment", nil, func(is *is.I, s Settings) {
			is.Equal(s.Accounts, Default().Accounts)
			is.Equal(s.Limits.Descriptors, 0)
		}},
		{"descriptors", map[string]string{"limits.max-fds": "4100"}, func(is *is.I, s Settings) { is.Equal(s.Limits.Descriptors, 4100) }},
		{"accounts", map[string]string{
			"bounds.revoke-ms": "5000", "bounds.strict-revocation": "true", "bounds.quota-window-s": "4", "bounds.quota-overage": "0.2", "bounds.quota-slack": "30",
		}, func(is *is.I, s Settings) {
			is.Equal(s.Accounts, Accounts{
				WithdrawalLimit: 5 * time.Second, StrictWithdrawal: true, AllowanceWindow: 4 * time.Second, AllowanceOverage: 0.2, AllowanceSlack: 30,
			})
		}},
		{"memory limit", map[string]string{"limits.memory-mb": "284"}, func(is *is.I, s Settings) { is.Equal(s.Host.MemoryLimit(), int64(284_000_000)) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			fields := map[string]string{}
			for _, source := range []map[string]string{older, c.more} {
				for name, value := range source {
					fields[name] = value
				}
			}
			s, err := Parse("settings.ini", []byte(renderTemplate(string(template), fields)))
			is.NoErr(err)
			c.check(is, s)
		})
	}
}
