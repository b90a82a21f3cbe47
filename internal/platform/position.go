package platform

// eraShift is the number of bits of a position that hold the store's revision.
const eraShift = 44

// MaxEra is the highest era that a position can hold.
const MaxEra = 1<<(62-eraShift) - 1

// Position returns the position in the history of a store at a revision of one of its eras. A store that comes back from an older
// copy begins a new era, in which revisions are given out again; positions keep rising. Entry.Revision and all other revisions
// outside the clients of stores are positions.
func Position(era, revision int64) int64 { return era<<eraShift | revision&(1<<eraShift-1) }

// EraOf returns the era of a position.
func EraOf(position int64) int64 { return position >> eraShift }

// RevisionOf returns the store's own revision at a position.
func RevisionOf(position int64) int64 { return position & (1<<eraShift - 1) }
