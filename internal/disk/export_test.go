package disk

// Undo removes what was written to the write-ahead file after the last append.
func Undo(f *Folder) error { return f.undo() }
