package main

import "time"

// now is the clock of the stand-ins.
var now = time.Now //nolint:forbidigo // a stand-in owns its clock
