package gateway_test

import (
	"bufio"
	"fmt"
	"net/http"
	"testing"
	"time"
)

// withFieldTarget runs a test with two client accounts and a rule for requests without keys.
func withFieldTarget(t *testing.T, connection string, run func(f *fleet, target *recordingTarget)) {
	withFleet(t, 2, 0, func(f *fleet) {
		f.tenants = []tenant{{"name": "north", "api-keys": []string{"key-north"}}, {"name": "south", "api-keys": []string{"key-south"}}}
		public := safeRule("public", "/public/")
		public["public"] = true
		f.configure(2, safeRule("lookup", "/lookup/"), public)
		x := f.addRecordingTarget("x")
		x.connection = connection
		time.Sleep(2 * time.Second)
		run(f, x)
	})
}

// TestCallerCannotChangeOwnFields guards against requests whose target gets another account, time limit or ID than the host has set,
// because the caller sets the field or lists it in its Connection field.
func TestCallerCannotChangeOwnFields(t *testing.T) {
	const all = "X-Tenant, x-attempt-id, X-DEADLINE-MS, X-Expect-Instance, X-Other"
	for _, c := range []struct{ name, path, fields, tenant string }{
		{"plain", "/lookup/1", "X-Credential: key-north\r\n", "north"},
		{"listed", "/lookup/1", "X-Credential: key-north\r\nConnection: " + all + "\r\n", "north"},
		{"listed apart", "/lookup/1", "X-Credential: key-north\r\nConnection: X-Tenant\r\nConnection: X-Attempt-Id,X-Deadline-Ms\r\nX-Other: a\r\nConnection: X-Other\r\n", "north"},
		{"set", "/lookup/1", "X-Credential: key-north\r\nX-Tenant: south\r\nX-Expect-Instance: other\r\n", "north"},
		{"set and listed", "/lookup/1", "X-Credential: key-north\r\nX-Tenant: south\r\nConnection: " + all + "\r\n", "north"},
		{"set without an account", "/public/1", "X-Tenant: south\r\n", ""},
	} {
		for _, relayed := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, relayed %v", c.name, relayed), func(t *testing.T) {
				withFieldTarget(t, "", func(f *fleet, target *recordingTarget) {
					if relayed {
						f.net.Refuse("h0", "x", true)
					}
					conn := f.dial("h0")
					defer conn.Close()
					_, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: www.example\r\nX-Attempt-Id: sent\r\nX-Deadline-Ms: 800\r\n%s\r\n", c.path, c.fields)
					f.is.NoErr(err)
					status, _ := f.read(bufio.NewReader(conn))
					f.is.Equal(status, http.StatusOK)
					got, found := target.received("sent")
					f.is.True(found) // the ID reaches the target
					header := got.header
					f.is.Equal(header.Get("X-Tenant"), c.tenant)
					f.is.Equal(len(header["X-Tenant"]) <= 1, true)
					f.is.Equal(header.Get("X-Expect-Instance"), "x")
					f.is.True(header.Get("X-Deadline-Ms") != "")
					f.is.Equal(header.Get("X-Credential"), "")
					f.is.Equal(header.Get("X-Other"), "")
					f.is.Equal(f.hosts["h0"].gateway.RelayedRequests() > 0, relayed)
				})
			})
		}
	}
}

// TestTargetCannotRemoveFields guards against responses without the fields that prove them, because the target lists these in its
// Connection field.
func TestTargetCannotRemoveFields(t *testing.T) {
	withFieldTarget(t, "X-Response-Seal, X-Attempt-Id, Content-Type, X-Server-Load", func(f *fleet, _ *recordingTarget) {
		r := f.callWith("caller", "h0", http.MethodGet, "/lookup/1", "sent", http.Header{"X-Credential": {"key-north"}})
		f.is.NoErr(r.err)
		f.is.Equal(r.status, http.StatusOK)
		f.is.Equal(r.header.Get("X-Response-Seal"), "seal.sent")
		f.is.Equal(r.header.Get("X-Attempt-Id"), "sent")
		f.is.True(r.header.Get("Content-Type") != "")
		f.is.Equal(r.header.Get("X-Server-Load"), "")
	})
}
