package record

import "briarcroft/internal/host"

// FromMembershipEvent returns the record of a change of the membership; noteNumber is the number of the note in force.
func FromMembershipEvent(e host.Event, noteNumber int) Record {
	r := Record{Note: noteNumber, Evidence: Evidence{Peer: e.Member.Name, Detail: e.Member.Inner}}
	switch e.Kind {
	case host.Joined:
		r.Kind, r.Cause = HostJoined, "Heartbeat"
	case host.Returned:
		r.Kind, r.Cause = HostJoined, "HeartbeatReturned"
	case host.Left:
		r.Kind, r.Cause = HostLeft, "GracefulStop"
	case host.Died:
		r.Kind, r.Cause = HostLeft, "HeartbeatMissing"
	}
	return r
}
