package placement

// Reports returns the number of client accounts for which reports are kept.
func Reports(w *Waits) int { return len(w.accounts) }
