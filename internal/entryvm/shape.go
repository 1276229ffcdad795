package entryvm

import "fireflyrudder.example/fireflyrudder/internal/statement"

// single reports whether the request is at most one statement, so that its refusal by a server means
// that nothing of it ran.
func (r *request) isSingle() bool {
	return len(r.runs) <= 1 && (len(r.runs) == 0 || r.runs[0].Kind != statement.Multiple)
}

// begins reports whether the request is just BEGIN.
func (r *request) isBegin() bool {
	return len(r.runs) == 1 && r.runs[0].Kind == statement.Begin
}

// beginsReadOnly reports whether the request is just BEGIN READ ONLY.
func (r *request) isBeginReadOnly() bool {
	return len(r.runs) == 1 && r.runs[0].Kind == statement.Begin && r.runs[0].ReadOnly
}

// readOnly reports whether the request states that its transaction only reads.
func (r *request) readOnly() bool {
	for _, kind := range r.runs {
		if kind.ReadOnly {
			return true
		}
		for i := range kind.Parts {
			if kind.Parts[i].ReadOnly {
				return true
			}
		}
	}
	return false
}

// ends reports whether the request ends a transaction by COMMIT.
func (r *request) isCommit() bool {
	return len(r.runs) == 1 && r.runs[0].Kind == statement.Commit
}
