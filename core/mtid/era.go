package mtid

// Era counts how often the platform's store has come back from an older copy. Everything that
// was written between the copy and the return is lost then, and the store gives out the same
// revisions again. Zero stands for a store that names none.
type Era uint32
