package inner

import (
	"bytes"
	"compress/flate"
	"io"

	"google.golang.org/protobuf/proto"
)

// Sizes of the messages that carry an update of the store.
const (
	// partBytes is the size of one part of a large update. Its receiver sees progress after each part, and other messages
	// on the sender's link wait for one part at most.
	partBytes = 16 << 10
	// maxUpdateBytes limits the size of an update, so that a broken peer cannot exhaust the receiver's memory.
	maxUpdateBytes = 64 << 20
)

// ErrUpdateBroken reports parts of an update that cannot be put together; following the peer again starts over.
var ErrUpdateBroken = namespace.NewType("update")

// SplitUpdate returns the messages that carry an update: the update itself, or the parts of its compressed form if it is
// large. Errors are ErrUpdateBroken.
func SplitUpdate(update *FollowStoreReply) ([]*FollowStoreReply, error) {
	if proto.Size(update) <= partBytes {
		return []*FollowStoreReply{update}, nil
	}
	compressed, err := compress(update)
	if err != nil {
		return nil, ErrUpdateBroken.New("cannot compress the update to revision %d: %v; report this as a bug", update.Revision, err)
	}
	var parts []*FollowStoreReply
	for len(compressed) > 0 {
		size := min(partBytes, len(compressed))
		parts = append(parts, &FollowStoreReply{Part: compressed[:size], More: size < len(compressed)})
		compressed = compressed[size:]
	}
	return parts, nil
}

func compress(update *FollowStoreReply) ([]byte, error) {
	data, err := proto.Marshal(update)
	if err != nil {
		return nil, err
	}
	var compressed bytes.Buffer
	w, err := flate.NewWriter(&compressed, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(data); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return compressed.Bytes(), nil
}

// UpdateJoiner puts the updates of one stream together from the messages of SplitUpdate. The zero value is ready to use.
type UpdateJoiner struct {
	compressed bytes.Buffer
}

// Add adds the next message and returns the update that it completes, or nil if more parts follow. Errors are
// ErrUpdateBroken.
func (j *UpdateJoiner) Add(message *FollowStoreReply) (*FollowStoreReply, error) {
	if len(message.Part) == 0 {
		return message, nil
	}
	if j.compressed.Len()+len(message.Part) > maxUpdateBytes {
		return nil, ErrUpdateBroken.New("an update has more than %d bytes; check the version of the peer", maxUpdateBytes)
	}
	j.compressed.Write(message.Part)
	if message.More {
		return nil, nil
	}
	defer j.compressed.Reset()
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(&j.compressed), maxUpdateBytes))
	if err != nil {
		return nil, ErrUpdateBroken.New("cannot decompress an update: %v; follow the peer again", err)
	}
	update := &FollowStoreReply{}
	if err := proto.Unmarshal(data, update); err != nil {
		return nil, ErrUpdateBroken.New("cannot decode an update: %v; follow the peer again", err)
	}
	return update, nil
}

// Partial reports whether an update has begun to arrive that is not complete yet.
func (j *UpdateJoiner) Partial() bool { return j.compressed.Len() > 0 }
