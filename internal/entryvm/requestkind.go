package entryvm

import "fireflyrudder.example/fireflyrudder/internal/statement"

// isSingle reports whether the request has at most one statement, so that if a server refuses it, no part of it ran.
func (r *request) isSingle() bool {
	return len(r.runs) <= 1 && (len(r.runs) == 0 || r.runs[0].Kind != statement.Multiple)
}

// isBegin reports whether the request is a single BEGIN.
func (r *request) isBegin() bool {
	return len(r.runs) == 1 && r.runs[0].Kind == statement.Begin
}

// isBeginReadOnly reports whether the request is a single BEGIN READ ONLY.
func (r *request) isBeginReadOnly() bool {
	return len(r.runs) == 1 && r.runs[0].Kind == statement.Begin && r.runs[0].ReadOnly
}

// readOnly reports whether the request declares its transaction read-only.
func (r *request) readOnly() bool {
	for _, st := range r.runs {
		if st.ReadOnly {
			return true
		}
		for i := range st.Parts {
			if st.Parts[i].ReadOnly {
				return true
			}
		}
	}
	return false
}

// isCommit reports whether the request is a single COMMIT.
func (r *request) isCommit() bool {
	return len(r.runs) == 1 && r.runs[0].Kind == statement.Commit
}
