package sycamorerun

// Run identifies one run of a node: the time from the start of its process to the
// end. Boot is a random id that the process chooses at its start.
type Run struct {
	Name string
	Boot int64
}

// Session identifies a session between two nodes as one of its ends knows it: the run
// of that end and the number that it gave the session. A session ends with either of
// the two runs.
type Session struct {
	Run
	// Number is zero if the end has not given one.
	Number uint64
}

// CallID identifies an attempt of a call at the node that it was sent to: the number
// that this node gave the session, and the number that the sender gave the attempt. The
// zero CallID stands for an attempt that no peer has sent.
type CallID struct {
	Session, Sequence uint64
}
