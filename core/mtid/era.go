package mtid

// Era counts how often the platform's store has come back from an older copy. Everything that
// was written between the copy and the return is lost then, and the store gives out the same
// numbers again. Zero stands for a store that names none.
//
// Numbers that must only grow therefore carry the era in their upper bits: a Version, a Revision
// and an Epoch of a later era are higher than all of earlier eras.
type Era uint32

const (
	numberBits = 44 // of a Version or a Revision, below the era
	epochBits  = 32 // of an Epoch, below the era
	eraBits    = 64 - numberBits
)

// MaxEra is the highest Era. With it, an Epoch has 52 bits, which every JSON decoder reads
// exactly.
const MaxEra Era = 1<<eraBits - 1

// VersionOf returns the version with a number that the store gave out in an era. A number of
// zero stands for a value that does not exist, in every era.
func VersionOf(era Era, number uint64) Version {
	if number == 0 {
		return 0
	}
	return Version(uint64(era)<<numberBits | number&(1<<numberBits-1))
}

// Era returns the era in which the store gave out the version.
func (v Version) Era() Era { return Era(v >> numberBits) }

// Number returns the version as the store names it.
func (v Version) Number() uint64 { return uint64(v) & (1<<numberBits - 1) }

// RevisionOf returns the revision with a number that the store gave out in an era.
func RevisionOf(era Era, number uint64) Revision { return Revision(VersionOf(era, number)) }

// Era returns the era in which the store gave out the revision.
func (r Revision) Era() Era { return Era(r >> numberBits) }

// Number returns the revision as the store names it.
func (r Revision) Number() uint64 { return uint64(r) & (1<<numberBits - 1) }

// FirstEpoch returns the lowest epoch of an era.
func FirstEpoch(era Era) Epoch { return Epoch(era)<<epochBits + 1 }

// Era returns the era of the store in which the epoch was given.
func (e Epoch) Era() Era { return Era(e >> epochBits) }
